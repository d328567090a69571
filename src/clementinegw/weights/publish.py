"""Publishes a version to the weight store: chunks first, the manifest last.

The manifest is written only once every chunk it names is stored, so that an
interrupted publication leaves nothing that could be declared. A second run
uploads only what is missing.
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
# In addition to the retries of the store's client: a store may be down for half
# a minute.
RETRY_POLICY = retries.RetryPolicy(attempts=6, base_s=1.0, max_s=16.0)


@dataclasses.dataclass(slots=True)
class Progress:
    """The progress of a publication.

    Attributes:
      total_bytes: The size of the version in bytes.
      done_bytes: The size of the chunks that are stored, in bytes.
      sent_chunks: The number of chunks that were uploaded.
      skipped_chunks: The number of chunks that were already stored or occur
        repeatedly in the version.
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
      path: A file, or a directory that is searched recursively for files.
      model: The model's name.
      version: The version's name.
      store: The store to which chunks and manifest are uploaded.
      chunk_bytes: The length of a chunk in bytes. Versions share chunks only
        if it is the same for both.
      on_progress: Called after each chunk.

    Returns:
      The manifest, whose digest is to be declared in the settings.

    Raises:
      exceptions.UsageError: The path or a file cannot be read, is empty or
        changed while it was read, or a name or length is out of bounds.
      exceptions.PlatformError: The store did not accept a blob.
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
    """Returns the files of a version and their locations, sorted by path.

    Raises:
      exceptions.UsageError: All files are empty, or one cannot be read.
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
    """Validates names and lengths before any data is uploaded.

    Raises:
      exceptions.UsageError: A name or length is invalid or out of bounds.
    """
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
    remaining = file.size
    try:
        with path.open("rb") as source:
            while remaining:
                chunk = source.read(min(chunk_bytes, remaining))
                remaining -= len(chunk)
                if not chunk:
                    break
                yield chunk
            # A file that is still being written would be published truncated,
            # and every instance would verify and serve the truncated version.
            if remaining or source.read(1):
                raise exceptions.UsageError(
                    f"{path}: its length changed while it was read"
                )
    except OSError as error:
        raise exceptions.UsageError(
            f"{path}: cannot be read: {error.strerror}"
        ) from error


class _Uploader:
    """Uploads missing chunks, a few of them concurrently."""

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
        """Uploads missing chunks and returns the digests of all in order."""
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
        """Uploads a blob, retrying while the store is unavailable."""
        for attempt in range(1, RETRY_POLICY.attempts):
            try:
                return await self._store.put(name, data)
            except exceptions.PlatformUnavailable:
                await asyncio.sleep(RETRY_POLICY.pause_s(attempt, self._random))
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
        # A blob of another length is the result of an interrupted upload.
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
