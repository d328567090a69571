"""Manifests, which list the files and chunks of one version of a model.

The settings name a manifest by its digest, and the manifest names each chunk
by its digest. An agent that trusts the settings can therefore verify every
byte, whichever peer it came from.

Each file starts a new chunk and is split every `chunk_bytes`. A file that
grows therefore does not change the chunks of the files after it, and two
versions share all chunks of unchanged files.
"""

import dataclasses
import functools
import json
import pathlib
import re
import typing

import blake3

from clementinegw import exceptions
from clementinegw.backend import types as backend

if typing.TYPE_CHECKING:
    from clementinegw.weights import _manifest_model

SCHEMA_VERSION = 1
MAX_ENCODED_BYTES = 8 << 20
MAX_CHUNKS = 65_536
MAX_FILES = 4_096
MIN_CHUNK_BYTES = 1_024
MAX_CHUNK_BYTES = 16 << 20
DEFAULT_CHUNK_BYTES = 1 << 20
DIGEST_BYTES = 32

_HEX_DIGEST = re.compile(r"[0-9a-f]{64}")


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A contiguous part of one file.

    Attributes:
      digest: The BLAKE3 digest of the content, 32 bytes.
      size: The length in bytes, at least one.
    """

    digest: bytes
    size: int

    @property
    def blob_name(self) -> str:
        """The chunk's name in the weight store and the origin."""
        return chunk_blob_name(self.digest)


@dataclasses.dataclass(frozen=True, slots=True)
class File:
    """One file of a version.

    Attributes:
      path: The path relative to the published directory, separated by `/`.
      size: The length in bytes.
    """

    path: str
    size: int


@dataclasses.dataclass(frozen=True)
class Manifest:
    """The files and chunks of one version.

    Attributes:
      model: The model's name.
      version: The version's name.
      chunk_bytes: The length in bytes of every chunk except the last of each
        file.
      total_bytes: The total length of all files in bytes.
      files: The files, sorted by path.
      chunks: The chunks of all files in the order of the files. A digest may
        occur more than once.
    """

    model: str
    version: str
    chunk_bytes: int
    total_bytes: int
    files: tuple[File, ...]
    chunks: tuple[Chunk, ...]

    @functools.cached_property
    def digest(self) -> str:
        """The BLAKE3 digest of the canonical encoding, in hex."""
        return digest_of(self.encode()).hex()

    @functools.cached_property
    def content_digest(self) -> str:
        """The digest an engine reports once it has loaded these chunks."""
        return backend.content_digest(self.chunk_digests)

    @property
    def blob_name(self) -> str:
        """The manifest's name in the weight store and the origin."""
        return manifest_blob_name(self.digest)

    @property
    def chunk_digests(self) -> tuple[str, ...]:
        """The chunks' digests in order, in hex, as used in load orders."""
        return tuple(chunk.digest.hex() for chunk in self.chunks)

    def encode(self) -> bytes:
        """Returns the canonical encoding, which is equal for equal manifests.

        The sizes of chunks are left out because they follow from `files` and
        `chunk_bytes`, so an encoding cannot contain contradicting sizes.
        """
        document = {
            "schema": SCHEMA_VERSION,
            "model": self.model,
            "version": self.version,
            "chunk_bytes": self.chunk_bytes,
            "files": [{"path": f.path, "size": f.size} for f in self.files],
            "chunks": [chunk.digest.hex() for chunk in self.chunks],
        }
        text = json.dumps(document, sort_keys=True, separators=(",", ":"))
        return text.encode("ascii")


def digest_of(data: bytes | bytearray | memoryview) -> bytes:
    """Returns the BLAKE3 digest that names a chunk or manifest, 32 bytes."""
    return blake3.blake3(data).digest()


def is_digest(text: str) -> bool:
    """Returns whether `text` is a digest in hex."""
    return _HEX_DIGEST.fullmatch(text) is not None


def chunk_blob_name(digest: bytes) -> str:
    """Returns the name of a chunk in the weight store and the origin."""
    return f"chunks/{digest.hex()}"


def manifest_blob_name(digest: str) -> str:
    """Returns the name of a manifest in the weight store and the origin."""
    return f"manifests/{digest}"


def chunk_sizes(files: tuple[File, ...], chunk_bytes: int) -> list[int]:
    """Returns the sizes in bytes of the chunks of `files`, in file order.

    Raises:
      exceptions.DecodeError: There are more than `MAX_CHUNKS` chunks.
    """
    sizes: list[int] = []
    for file in files:
        full, remainder = divmod(file.size, chunk_bytes)
        if len(sizes) + full > MAX_CHUNKS:
            raise exceptions.DecodeError(
                f"manifest: more than {MAX_CHUNKS} chunks; use larger ones"
            )
        sizes.extend([chunk_bytes] * full)
        if remainder:
            sizes.append(remainder)
    return sizes


def build(
    model: str,
    version: str,
    chunk_bytes: int,
    files: tuple[File, ...],
    digests: list[bytes],
) -> Manifest:
    """Builds and validates a manifest.

    Args:
      model: The model's name.
      version: The version's name.
      chunk_bytes: The length in bytes of every chunk except the last of each
        file.
      files: The files, sorted by path.
      digests: The digest of each chunk, in file order.

    Returns:
      The manifest.

    Raises:
      exceptions.DecodeError: A value is out of bounds or contradicts another.
    """
    paths = [file.path for file in files]
    for path in paths:
        _check_path(path)
    if paths != sorted(set(paths)):
        raise exceptions.DecodeError(
            "manifest: files: expected unique paths in sorted order"
        )
    sizes = chunk_sizes(files, chunk_bytes)
    if len(sizes) != len(digests):
        raise exceptions.DecodeError(
            f"manifest: chunks: expected {len(sizes)} from the sizes of the "
            f"files, found {len(digests)}"
        )
    manifest = Manifest(
        model=model,
        version=version,
        chunk_bytes=chunk_bytes,
        total_bytes=sum(sizes),
        files=files,
        chunks=tuple(map(Chunk, digests, sizes)),
    )
    _parse(manifest.encode())
    return manifest


def decode(data: bytes, digest: str) -> Manifest:
    """Decodes a manifest received from a peer or a store.

    Args:
      data: The canonical encoding.
      digest: The expected digest in hex, as named by the settings.

    Returns:
      The manifest, whose digest is `digest`.

    Raises:
      exceptions.DecodeError: The data is too long, has another digest or is
        not a manifest in canonical form.
    """
    if len(data) > MAX_ENCODED_BYTES:
        raise exceptions.DecodeError(
            f"manifest: expected at most {MAX_ENCODED_BYTES} bytes, "
            f"found {len(data)}"
        )
    found = digest_of(data).hex()
    if found != digest:
        raise exceptions.DecodeError(
            f"manifest: expected digest {digest}, found {found}"
        )
    parsed = _parse(data)
    for position, text in enumerate(parsed.chunks):
        if not is_digest(text):
            raise exceptions.DecodeError(
                f"manifest: chunks[{position}]: expected 64 hex digits"
            )
    manifest = build(
        parsed.model,
        parsed.version,
        parsed.chunk_bytes,
        tuple(File(f.path, f.size) for f in parsed.files),
        [bytes.fromhex(text) for text in parsed.chunks],
    )
    # Equal manifests must have one digest. Another encoding would be a second
    # name for the same weights, and the engine's report would not match.
    if manifest.digest != digest:
        raise exceptions.DecodeError("manifest: not in canonical form")
    return manifest


def _check_path(path: str) -> None:
    parts = pathlib.PurePosixPath(path)
    plain = not parts.is_absolute() and ".." not in parts.parts
    if not plain or str(parts) != path or "\\" in path or "\0" in path:
        raise exceptions.DecodeError(
            f"manifest: files: expected a plain relative path, found {path!r}"
        )


def _parse(data: bytes) -> "_manifest_model.Manifest":
    # Not imported at the top: an agent on a user's platform builds manifests
    # from the origin's answers and parses none, and importing pydantic takes
    # 9 MB and 0.1 s at each start.
    from clementinegw.weights import _manifest_model

    return _manifest_model.parse(data)
