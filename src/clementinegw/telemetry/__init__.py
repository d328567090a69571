"""Log events, counters and histograms."""
