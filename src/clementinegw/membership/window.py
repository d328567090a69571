"""Replay windows, which accept each datagram of a sender at most once."""

_WIDTH = 64
_MASK = (1 << _WIDTH) - 1


class ReplayWindow:
    """The highest sequence of one sender and which of the last 64 were seen.

    Datagrams may be reordered, so a lower sequence is not necessarily a replay.
    One that is older than the window is rejected; the protocol tolerates loss.
    """

    __slots__ = ("_newest", "_seen")

    def __init__(self) -> None:
        self._newest = -1
        self._seen = 0

    def accept(self, sequence: int) -> bool:
        """Returns whether the sequence is new, and marks it as seen."""
        ahead = sequence - self._newest
        if ahead > 0:
            shifted = self._seen << ahead if ahead < _WIDTH else 0
            self._seen = (shifted | 1) & _MASK
            self._newest = sequence
            return True
        behind = -ahead
        if behind >= _WIDTH or self._seen >> behind & 1:
            return False
        self._seen |= 1 << behind
        return True
