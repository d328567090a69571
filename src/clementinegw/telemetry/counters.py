"""Counters, gauges and timings, kept in memory and sent to statsd.

Each refusal and retry reason has its own counter. The `/status` page of a
daemon and the tests use the values in memory.
"""

import collections

import statsd

from clementinegw import types


class Counters:
    """The metrics of a process."""

    def __init__(self, target: types.Address | None = None, prefix: str = ""):
        """Creates the metrics with all counters at zero.

        Args:
          target: The statsd server; None keeps the metrics in memory only.
          prefix: The prefix of the names sent to statsd.
        """
        self._values: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._client = None
        if target is not None:
            self._client = statsd.StatsClient(
                target.host, target.port, prefix=prefix or None
            )

    def add(self, name: str, count: int = 1) -> None:
        """Adds to a counter."""
        self._values[name] += count
        if self._client is not None:
            self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Sends a duration, given in seconds, to statsd in milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)

    def value(self, name: str) -> int:
        """Returns the value of a counter; 0 if nothing was added to it."""
        return self._values[name]

    def snapshot(self) -> dict[str, float]:
        """Returns the values of all counters and gauges by name."""
        return {**self._gauges, **self._values}
