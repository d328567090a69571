"""Latency histograms and the text page of all metrics."""

from hdrh import histogram

from clementinegw.telemetry import counters as counters_lib

# The range of a histogram, in milliseconds: one millisecond to ten minutes.
_MIN_MS = 1
_MAX_MS = 600_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Histograms:
    """The latency histograms of a process by name."""

    def __init__(self) -> None:
        self._by_name: dict[str, histogram.HdrHistogram] = {}

    def add(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""
        latencies = self._by_name.get(name)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                _MIN_MS, _MAX_MS, _SIGNIFICANT_DIGITS
            )
            self._by_name[name] = latencies
        latencies.record_value(min(_MAX_MS, max(_MIN_MS, int(seconds * 1e3))))

    def lines(self) -> list[str]:
        """Returns one line for each quantile and each count."""
        lines = []
        for name, latencies in sorted(self._by_name.items()):
            for quantile in _QUANTILES:
                value = latencies.get_value_at_percentile(quantile)
                lines.append(
                    f'{_metric_name(name)}_ms{{quantile="{quantile / 100:g}"}} '
                    f"{value}"
                )
            lines.append(
                f"{_metric_name(name)}_count {latencies.get_total_count()}"
            )
        return lines


def page(counters: counters_lib.Counters, histograms: Histograms) -> str:
    """Returns all metrics as text, with a name and value per line."""
    values = sorted(counters.snapshot().items())
    lines = [f"{_metric_name(name)} {value:g}" for name, value in values]
    return "\n".join([*lines, *histograms.lines()]) + "\n"


def _metric_name(name: str) -> str:
    return "clementinegw_" + name.replace(".", "_").replace("-", "_")
