"""Requested chunks that have not arrived, and the deadlines of requests."""

import dataclasses

from clementinegw.weights import _swarm_types as types_

# The weight of the latest duration in the running mean.
_MEAN_WEIGHT = 0.2
# The last chunks are requested from a second source after this many mean
# durations.
_ENDGAME_FACTOR = 2.0
# With small chunks and a fast link, a request takes a fraction of a
# millisecond. An agent that waits for a slow origin and polls at that interval
# keeps its core busy although no requests are sent. This minimum limits it to
# 200 polls per second.
_MIN_POLL_INTERVAL_S = 0.005


@dataclasses.dataclass(slots=True)
class Request:
    """A request for one chunk to one source.

    Attributes:
      index: The chunk's index.
      source: A peer's id or `ORIGIN`.
      started_at: When the request was sent, in monotonic seconds.
      progress_at: When the last part arrived, or `started_at` before the first
        one, in monotonic seconds.
    """

    index: int
    source: str
    started_at: float
    progress_at: float


class Requests:
    """The open requests of one agent and the mean duration of requests."""

    def __init__(self, limits: types_.Limits, chunk_bytes: int):
        """Starts without requests.

        Args:
          limits: Determines the deadlines.
          chunk_bytes: The size of the largest chunk in bytes.
        """
        self._limits = limits
        self._open: dict[tuple[int, str], Request] = {}
        self._pending = 0
        share = limits.link_bytes_per_s / limits.outstanding
        peer_s = chunk_bytes / share
        self._mean = {False: peer_s, True: max(peer_s, limits.draw_deadline_s)}

    def __len__(self) -> int:
        return len(self._open)

    @property
    def pending(self) -> int:
        """The requested chunks, as an integer with one bit per chunk."""
        return self._pending

    @property
    def origin_requests(self) -> int:
        """How many of the open requests go to the origin."""
        return sum(1 for r in self._open.values() if r.source == types_.ORIGIN)

    @property
    def mean_s(self) -> float:
        """The mean duration of a request to a peer, in seconds."""
        return self._mean[False]

    @property
    def poll_interval_s(self) -> float:
        """How long to wait before searching for a source again, in seconds."""
        return max(self.mean_s, _MIN_POLL_INTERVAL_S)

    def all(self) -> list[Request]:
        """Returns the open requests."""
        return list(self._open.values())

    def for_chunk(self, index: int) -> list[Request]:
        """Returns the open requests for one chunk."""
        return [r for r in self._open.values() if r.index == index]

    def start(self, index: int, source: str, now: float) -> None:
        """Records a new request."""
        self._open[index, source] = Request(index, source, now, now)
        self._pending |= 1 << index

    def record_progress(self, index: int, source: str, now: float) -> None:
        """Records that a part of a chunk arrived."""
        request = self._open.get((index, source))
        if request is not None:
            request.progress_at = now

    def end(self, index: int, source: str) -> Request | None:
        """Closes a request and returns it; None if it was not open."""
        request = self._open.pop((index, source), None)
        if request is not None and not self.for_chunk(index):
            self._pending &= ~(1 << index)
        return request

    def record_duration(self, request: Request, now: float) -> None:
        """Updates the mean with the duration of a successful request."""
        origin = request.source == types_.ORIGIN
        mean = self._mean[origin]
        duration = now - request.started_at
        self._mean[origin] = mean + _MEAN_WEIGHT * (duration - mean)

    def stall_deadline(self, request: Request) -> float:
        """Returns when a request counts as stalled, in monotonic seconds.

        A stalled link does not close its connection. Without a deadline the
        chunk, and with it the whole rollout at this agent, would hang. The time
        counts from the last part that arrived, so that a slow link does not
        count as stalled.
        """
        mean = self._mean[request.source == types_.ORIGIN]
        stall_s = self._limits.stall_factor * mean
        return request.progress_at + max(self._limits.stall_floor_s, stall_s)

    def stalled(self, now: float) -> list[Request]:
        """Returns the requests that are past their deadline."""
        return [r for r in self._open.values() if self.stall_deadline(r) <= now]

    def second_source_at(self, request: Request) -> float:
        """Returns when a second source may be used in the endgame."""
        return request.started_at + _ENDGAME_FACTOR * self._mean[False]
