"""Tests for the page of metrics."""

from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import histograms


def test_the_page_has_counters_and_quantiles(snapshot):
    counters = counters_lib.Counters()
    counters.add("direct.refused.busy", 3)
    latencies = histograms.Histograms()
    for milliseconds in range(1, 101):
        latencies.add("direct.answer", milliseconds / 1e3)
    latencies.add("direct.answer", 1e9)
    assert histograms.page(counters, latencies) == snapshot
