"""Positions in the log of a topic, which never go back.

A store that is restored from a copy gives offsets out again, so that an offset
does not tell which record is meant. A position also has the epoch of the store,
which grows with each restoration. Positions are integers, ordered by epoch
first; an offset of the first epoch, 0, is its own position.
"""

_OFFSET_BITS = 40
_MAX_OFFSET = (1 << _OFFSET_BITS) - 1
# Positions have to fit into 64 bits with a sign.
MAX_EPOCH = (1 << (63 - _OFFSET_BITS)) - 1


def join(epoch: int, offset: int) -> int:
    """Returns the position of an offset in an epoch of the store."""
    return epoch << _OFFSET_BITS | offset


def split(position: int) -> tuple[int, int]:
    """Returns the epoch and the offset of a position."""
    return position >> _OFFSET_BITS, position & _MAX_OFFSET


def epoch(position: int) -> int:
    """Returns the epoch of a position."""
    return split(position)[0]
