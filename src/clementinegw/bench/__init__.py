"""Benchmarks, each run together with the baselines it is compared to."""
