"""A bitset of the chunks of a manifest that are held.

Chunk `i` is bit `i % 8`, counted from the lowest, of byte `i // 8`. The same
bytes are sent in `ChunksHeld.bits`.
"""

from collections.abc import Iterable


def empty(count: int) -> bytearray:
    """Returns a bitset for `count` chunks with none held."""
    return bytearray((count + 7) // 8)


def from_indices(count: int, indices: Iterable[int]) -> bytearray:
    """Returns a bitset for `count` chunks in which `indices` are held."""
    bits = empty(count)
    for index in indices:
        add(bits, index)
    return bits


def add(bits: bytearray, index: int) -> None:
    """Marks one chunk as held."""
    bits[index >> 3] |= 1 << (index & 7)


def has(bits: bytes | bytearray, index: int) -> bool:
    """Returns whether one chunk is held."""
    return bool(bits[index >> 3] & (1 << (index & 7)))


def total(bits: bytes | bytearray) -> int:
    """Returns the number of chunks that are held."""
    return int.from_bytes(bits, "little").bit_count()


def missing(bits: bytes | bytearray, count: int) -> list[int]:
    """Returns the indices below `count` that are not held, in order."""
    return [index for index in range(count) if not has(bits, index)]
