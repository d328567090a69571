"""The manifest that an agent fetches and the chunks it holds."""

import dataclasses

from clementinegw.weights import manifest as manifests


@dataclasses.dataclass(slots=True)
class Target:
    """One manifest's chunks; sets are integers with one bit per chunk.

    Attributes:
      digest: The manifest's digest; empty without a target.
      chunks: The manifest's chunks.
      have: The chunks held.
      started_at: When the target was set, in monotonic seconds.
      digests: The digests of all chunks.
      all_chunks: All chunks.
    """

    digest: str = ""
    chunks: tuple[manifests.Chunk, ...] = ()
    have: int = 0
    started_at: float = 0.0
    digests: tuple[bytes, ...] = dataclasses.field(init=False)
    all_chunks: int = dataclasses.field(init=False)

    def __post_init__(self):
        self.digests = tuple(chunk.digest for chunk in self.chunks)
        self.all_chunks = (1 << len(self.chunks)) - 1
        self.have &= self.all_chunks

    @property
    def missing(self) -> int:
        """The chunks that are not held."""
        return self.all_chunks & ~self.have

    @property
    def complete(self) -> bool:
        """Whether there are chunks and all are held."""
        return bool(self.chunks) and self.have == self.all_chunks

    @property
    def largest(self) -> int:
        """The size of the largest chunk in bytes."""
        return max((chunk.size for chunk in self.chunks), default=0)

    @property
    def held_bits(self) -> bytes:
        """The chunks held, in the format of `bitset`."""
        return self.have.to_bytes((len(self.chunks) + 7) // 8, "little")

    def holds(self, index: int) -> bool:
        """Returns whether the index is valid and the chunk is held."""
        return 0 <= index < len(self.chunks) and bool(self.have >> index & 1)
