"""Who plays the cells: this process, or hosts that the shell has started."""

from collections.abc import Callable
import concurrent.futures
from multiprocessing import connection as sockets
import queue
from typing import Any, Protocol

from clementinegw.bench import coordinator as coordinators

_BATCH = 8


class Player(Protocol):
    """Calls a function with each of many things."""

    def play(
        self, function: Callable[[Any], Any], items: list[Any]
    ) -> list[Any]:
        """Returns the results in the order of the items."""


class Here:
    """Plays in this process, one after the other."""

    def play(
        self, function: Callable[[Any], Any], items: list[Any]
    ) -> list[Any]:
        """See `Player`."""
        return [function(item) for item in items]


class Hosts:
    """Hands batches to host processes; see `bench.coordinator`."""

    def __init__(self, coordinator: coordinators.Coordinator, count: int):
        """Waits for the hosts.

        Args:
          coordinator: Where they come.
          count: How many must come.

        Raises:
          exceptions.UsageError: Fewer came in time.
        """
        self._workers = [
            coordinator.assign_blocking(_serve, None) for _ in range(count)
        ]

    def play(
        self, function: Callable[[Any], Any], items: list[Any]
    ) -> list[Any]:
        """See `Player`."""
        results: list[Any] = [None] * len(items)
        starts: queue.SimpleQueue[int] = queue.SimpleQueue()
        for start in range(0, len(items), _BATCH):
            starts.put(start)

        def _feed(worker: coordinators.HostConnection) -> None:
            while True:
                try:
                    start = starts.get_nowait()
                except queue.Empty:
                    return
                batch = items[start : start + _BATCH]
                answer = worker.request_blocking((function, batch))
                results[start : start + len(batch)] = answer

        with concurrent.futures.ThreadPoolExecutor(len(self._workers)) as pool:
            list(pool.map(_feed, self._workers))
        return results

    def close(self) -> None:
        """Lets the hosts end."""
        for worker in self._workers:
            worker.send(None)


def _serve(argument: None, link: sockets.Connection) -> None:
    del argument
    while (asked := link.recv()) is not None:
        function, batch = asked
        link.send([function(item) for item in batch])
