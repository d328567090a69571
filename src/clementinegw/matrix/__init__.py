"""The fault matrix: every fault at every step, against the real decisions."""
