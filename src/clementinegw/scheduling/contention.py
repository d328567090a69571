"""Tells how much the requests of each rank lack room at servers.

Room for urgent requests costs the others waits, also while all find room. It is
kept only as far as the urgent ones had to wait for it lately.
"""

from clementinegw.scheduling import rank as ranks

# A request that waited longer than this, in seconds, lacked room and did not
# only wait for the next load report.
MAX_WAIT_S = 0.1
# Weight of the newest request if it lacked room, and if it found some. Two that
# lack room in a row call for most of it; ten that find some end that.
_LACKED_GAIN = 0.5
_FOUND_GAIN = 0.15


class Contention:
    """How much room the requests of one service lack at one entry."""

    def __init__(self) -> None:
        """Starts without any lack."""
        self._levels: dict[ranks.Rank, float] = {}

    def record(self, rank: ranks.Rank, lacked: bool) -> None:
        """Records whether a request that can be on time lacked room.

        Args:
          rank: Its rank.
          lacked: Whether it had to wait for room, or found none in time.
        """
        level = self._levels.get(rank, 0.0)
        gain, target = (_LACKED_GAIN, 1.0) if lacked else (_FOUND_GAIN, 0.0)
        self._levels[rank] = level + gain * (target - level)

    def ahead_of(self, rank: ranks.Rank) -> float:
        """Returns the largest lack of a more urgent rank, from 0 to 1."""
        return max(
            (level for other, level in self._levels.items() if other < rank),
            default=0.0,
        )
