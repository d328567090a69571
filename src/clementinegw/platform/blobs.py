"""What a store of blobs by name does.

It stands apart from the client that speaks HTTP: an agent on a users' platform
has another one, and loading this one's libraries took a third of its memory.
"""

from typing import Protocol


class BlobStore(Protocol):
    """Reads and writes blobs."""

    async def get(
        self, name: str, offset: int = 0, length: int | None = None
    ) -> bytes:
        """Returns a part of a blob, unverified.

        Args:
          name: The blob's name, such as `chunks/DIGEST`.
          offset: The first byte.
          length: How many bytes; None for all from the offset on.

        Returns:
          The bytes; fewer than asked for at the blob's end.

        Raises:
          exceptions.BlobMissing: There is no such blob.
          exceptions.PlatformUnavailable: No whole answer came.
        """

    async def put(self, name: str, data: bytes) -> None:
        """Keeps a blob; a second put of the same name and bytes is harmless.

        Raises:
          exceptions.PlatformUnavailable: No answer came; put it again.
        """

    async def size(self, name: str) -> int:
        """Returns a blob's size in bytes.

        Raises:
          exceptions.BlobMissing: There is no such blob.
          exceptions.PlatformUnavailable: No answer came.
        """
