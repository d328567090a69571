"""The interface of a store of named blobs.

It is separate from the HTTP client, since an agent on a users' platform uses
another client, and the libraries of this one took a third of its memory.
"""

from typing import Protocol


class BlobStore(Protocol):
    """Reads and writes blobs."""

    async def get(
        self, name: str, offset: int = 0, length: int | None = None
    ) -> bytes:
        """Returns a range of a blob without checking its digest.

        Args:
          name: The blob's name, such as `chunks/DIGEST`.
          offset: The offset of the first byte.
          length: The number of bytes; None for all from the offset on.

        Returns:
          The bytes; fewer than requested at the end of the blob.

        Raises:
          exceptions.BlobMissing: There is no such blob.
          exceptions.PlatformUnavailable: There was no complete answer.
        """

    async def put(self, name: str, data: bytes) -> None:
        """Stores a blob; storing the same name and bytes again is harmless.

        Raises:
          exceptions.PlatformUnavailable: There was no answer; the call can be
            repeated.
        """

    async def size(self, name: str) -> int:
        """Returns a blob's size in bytes.

        Raises:
          exceptions.BlobMissing: There is no such blob.
          exceptions.PlatformUnavailable: There was no answer.
        """
