"""Puts a version into the weight store: chunks first, the manifest last.

The manifest is written only when every chunk it names is there, so that a
publication that was cut off leaves nothing that could be declared. A second
run sends only what is missing.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
import dataclasses
import os
import pathlib
import random

from clementinegw import exceptions
from clementinegw.platform import blobs
from clementinegw.platform import retries
from clementinegw.weights import manifest as manifests

MAX_CONCURRENT_UPLOADS = 4
# Besides those of the store's client: a store may be down for half a minute.
RETRIES = retries.RetryPolicy(attempts=6, base_s=1.0, max_s=16.0)


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a publication is.

    Attributes:
      total_bytes: All bytes of the version.
      done_bytes: Bytes of chunks that are in the store.
      sent_chunks: Chunks that were sent.
      skipped_chunks: Chunks that the store had, and repeated ones.
    """

    total_bytes: int = 0
    done_bytes: int = 0
    sent_chunks: int = 0
    skipped_chunks: int = 0


async def publish(
    path: str | os.PathLike[str],
    model: str,
    version: str,
    store: blobs.BlobStore,
    chunk_bytes: int = manifests.DEFAULT_CHUNK_BYTES,
    on_progress: Callable[[Progress], None] | None = None,
) -> manifests.Manifest:
    """Publishes a file or a directory of files as one version.

    Memory is bounded by `MAX_CONCURRENT_UPLOADS` chunks, whatever the size of
    the files.

    Args:
      path: A file, or a directory whose files are taken, with those below it.
      model: The model's name.
      version: The version's name.
      store: Where chunks and manifest go.
      chunk_bytes: The length of a chunk. Versions share chunks only when it
        is the same for both.
      on_progress: Called after each chunk.

    Returns:
      The manifest; its digest is what the settings declare.

    Raises:
      exceptions.UsageError: The path or a file cannot be read, is empty or
        changed meanwhile, or a name or length is out of bounds.
      exceptions.PlatformError: The store did not take a blob.
    """
    root = pathlib.Path(path)
    sources = find_files(root)
    files = tuple(source for source, _ in sources)
    _check_bounds(model, version, chunk_bytes, files)
    uploader = _Uploader(store, on_progress or (lambda progress: None))
    uploader.progress.total_bytes = sum(file.size for file in files)
    digests = await uploader.upload_all(_read_files(sources, chunk_bytes))
    manifest = manifests.build(model, version, chunk_bytes, files, digests)
    await uploader.put(manifest.blob_name, manifest.encode())
    return manifest


def find_files(root: pathlib.Path) -> list[tuple[manifests.File, pathlib.Path]]:
    """Returns the files of a version with where they lie, by path.

    Raises:
      exceptions.UsageError: There is none, or one cannot be read.
    """
    try:
        if root.is_dir():
            found = sorted(p for p in root.rglob("*") if p.is_file())
            names = [p.relative_to(root).as_posix() for p in found]
        else:
            found, names = [root], [root.name]
        files = [
            (manifests.File(name, path.stat().st_size), path)
            for name, path in zip(names, found, strict=True)
        ]
    except OSError as error:
        raise exceptions.UsageError(
            f"{error.filename}: cannot be read: {error.strerror}"
        ) from error
    if not any(file.size for file, _ in files):
        raise exceptions.UsageError(f"{root}: expected weights, found 0 bytes")
    return sorted(files, key=lambda pair: pair[0].path)


def _check_bounds(
    model: str,
    version: str,
    chunk_bytes: int,
    files: tuple[manifests.File, ...],
) -> None:
    """Finds a wrong name or length before the first byte is sent."""
    if not (
        manifests.MIN_CHUNK_BYTES <= chunk_bytes <= manifests.MAX_CHUNK_BYTES
    ):
        raise exceptions.UsageError(
            f"chunk_bytes: expected {manifests.MIN_CHUNK_BYTES} to "
            f"{manifests.MAX_CHUNK_BYTES}, found {chunk_bytes}"
        )
    try:
        count = len(manifests.chunk_sizes(files, chunk_bytes))
        digests = [bytes(manifests.DIGEST_BYTES)] * count
        manifests.build(model, version, chunk_bytes, files, digests)
    except exceptions.DecodeError as error:
        raise exceptions.UsageError(error.message) from error


async def _read_files(
    sources: list[tuple[manifests.File, pathlib.Path]], chunk_bytes: int
) -> AsyncIterator[bytes]:
    for file, path in sources:
        chunks = _read_chunks(file, path, chunk_bytes)
        while chunk := await asyncio.to_thread(next, chunks, b""):
            yield chunk


def _read_chunks(
    file: manifests.File, path: pathlib.Path, chunk_bytes: int
) -> Iterator[bytes]:
    left = file.size
    try:
        with path.open("rb") as source:
            while left:
                chunk = source.read(min(chunk_bytes, left))
                left -= len(chunk)
                if not chunk:
                    break
                yield chunk
            # A file that is still being written would be published cut off,
            # and every instance would verify and serve the cut version.
            if left or source.read(1):
                raise exceptions.UsageError(
                    f"{path}: its length changed while it was read"
                )
    except OSError as error:
        raise exceptions.UsageError(
            f"{path}: cannot be read: {error.strerror}"
        ) from error


class _Uploader:
    """Sends chunks that the store does not have, a few at once."""

    def __init__(
        self,
        store: blobs.BlobStore,
        on_progress: Callable[[Progress], None],
    ):
        self._store = store
        self._on_progress = on_progress
        self._seen: set[bytes] = set()
        self._random = random.Random()
        self.progress = Progress()

    async def upload_all(self, chunks: AsyncIterator[bytes]) -> list[bytes]:
        """Sends all chunks and returns their digests in order."""
        digests: list[bytes] = []
        running: set[asyncio.Task[None]] = set()
        try:
            async for chunk in chunks:
                digest = await asyncio.to_thread(manifests.digest_of, chunk)
                digests.append(digest)
                if len(running) >= MAX_CONCURRENT_UPLOADS:
                    running = await _wait(running, asyncio.FIRST_COMPLETED)
                running.add(
                    asyncio.create_task(self._upload_if_missing(digest, chunk))
                )
            await _wait(running, asyncio.ALL_COMPLETED)
        finally:
            for task in running:
                task.cancel()
        return digests

    async def put(self, name: str, data: bytes) -> None:
        """Puts a blob, and again after a while when the store is not there."""
        for tried in range(1, RETRIES.attempts):
            try:
                return await self._store.put(name, data)
            except exceptions.PlatformUnavailable:
                await asyncio.sleep(RETRIES.pause_s(tried, self._random))
        return await self._store.put(name, data)

    async def _upload_if_missing(self, digest: bytes, chunk: bytes) -> None:
        name = manifests.chunk_blob_name(digest)
        repeated = digest in self._seen
        self._seen.add(digest)
        if repeated or await self._is_stored(name, len(chunk)):
            self.progress.skipped_chunks += 1
        else:
            await self.put(name, chunk)
            self.progress.sent_chunks += 1
        self.progress.done_bytes += len(chunk)
        self._on_progress(self.progress)

    async def _is_stored(self, name: str, size: int) -> bool:
        # A blob of another length is one whose upload was cut off.
        try:
            return await self._store.size(name) == size
        except exceptions.PlatformError:
            return False


async def _wait(
    tasks: set[asyncio.Task[None]], until: str
) -> set[asyncio.Task[None]]:
    if not tasks:
        return tasks
    done, running = await asyncio.wait(tasks, return_when=until)
    for task in done:
        task.result()
    return running
