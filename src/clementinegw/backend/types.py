"""Requests to backend servers, their answers, orders and reports.

These are plain data types; `engine` and `service` send them over HTTP.
"""

from collections.abc import Iterable
import dataclasses
import enum

import blake3

from clementinegw import types

REQUEST_ID_HEADER = "Clementine-Request-Id"
KEY_HEADER = "Idempotency-Key"
PRIORITY_HEADER = "Clementine-Priority"
# The number of tokens after which to resume a stream. Server-sent events use
# the same header to resume.
RESUME_HEADER = "Last-Event-ID"
VERSION_HEADER = "Engine-Version"
DIGEST_HEADER = "Engine-Digest"
# Set by an engine that refused a request before running any of it.
REFUSED_HEADER = "Engine-Refused"
# Request header: the only version that may answer the request.
WANTED_VERSION_HEADER = "Engine-Wanted-Version"

Headers = tuple[tuple[str, str], ...]


def content_digest(chunk_digests: Iterable[str]) -> str:
    """Returns the digest of weights from the digests of their chunks.

    An engine computes it from the loaded bytes and an agent from the manifest;
    equal results prove that the weights are equal.

    Args:
      chunk_digests: The BLAKE3 digest of each chunk in hexadecimal, in order.

    Returns:
      The BLAKE3 digest of the binary chunk digests, in hexadecimal.
    """
    hasher = blake3.blake3()
    for digest in chunk_digests:
        hasher.update(bytes.fromhex(digest))
    return hasher.hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """A request to a model engine.

    Attributes:
      request_id: Identifies the caller's request; the same for all attempts.
      path: `/v1/completions` or `/v1/chat/completions`.
      body: The caller's JSON.
      headers: End-to-end headers of the caller.
      priority: Higher priorities are served first.
      key: The caller's idempotency key; empty without one.
      resume_tokens: Number of tokens already sent to the caller.
      version: The only version that may answer; empty for any.
    """

    request_id: str
    path: str
    body: bytes
    headers: Headers = ()
    priority: types.Priority = types.Priority.NORMAL
    key: str = ""
    resume_tokens: int = 0
    version: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The first event of an answer.

    Attributes:
      status: The HTTP status.
      headers: End-to-end headers, names in lower case.
      version: The version that the engine reports to answer with; empty for a
        plain service.
      digest: The content digest of the weights that answer.
      refused: Why the engine refused the request; empty if it runs.
    """

    status: int
    headers: Headers = ()
    version: str = ""
    digest: str = ""
    refused: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """A part of the body: one server-sent event, or a complete JSON body.

    Attributes:
      data: The bytes to forward.
      tokens: Number of tokens of the answer up to and including this part.
    """

    data: bytes
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The last event of a complete answer.

    Attributes:
      tokens: Number of tokens of the answer.
    """

    tokens: int = 0


AnswerEvent = Head | Data | End


@dataclasses.dataclass(frozen=True, slots=True)
class PlainAnswer:
    """The complete answer of a plain service."""

    status: int
    headers: Headers
    body: bytes


class CancelState(enum.StrEnum):
    """The state that a request was in when it was cancelled."""

    WAITING = "waiting"  # Not started, and never will be.
    RUNNING = "running"  # Started, and stopped by the cancellation.
    UNKNOWN = "unknown"  # Finished, or never received.


class StageResult(enum.StrEnum):
    """The result of staging a chunk."""

    STORED = "stored"
    CORRUPT = "corrupt"  # The bytes do not match the digest.
    FULL = "full"  # The staging memory is full.


@dataclasses.dataclass(frozen=True, slots=True)
class StagingStatus:
    """The contents of the staging memory of an engine's host.

    Attributes:
      digests: Digests of the staged chunks.
      used_bytes: Memory in use.
      limit_bytes: Memory that may be used.
    """

    digests: tuple[str, ...]
    used_bytes: int
    limit_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load weights from staged chunks.

    Attributes:
      model: The model's name.
      version: The version's name.
      manifest_digest: The manifest's digest as declared in the settings.
      chunks: Chunk digests in the order of their bytes.
      fencing: The settings revision that the order implements.
    """

    model: str
    version: str
    manifest_digest: str
    chunks: tuple[str, ...]
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The engine's report after a load.

    Attributes:
      version: The loaded version.
      digest: `content_digest` of the loaded bytes.
      fencing: The order's fencing number.
    """

    version: str
    digest: str
    fencing: int = 0


class OrderRefusal(enum.StrEnum):
    """Why an engine refused an order; a refused order changes nothing."""

    FENCING = "fencing"  # The engine has received a newer order.
    CHUNK_MISSING = "chunk_missing"
    BAD_ORDER = "bad_order"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """The engine refused an order.

    Attributes:
      reason: Why it was refused.
      current_fencing: The highest fencing number the engine has received.
      missing: Digests of chunks that are not staged.
    """

    reason: OrderRefusal
    current_fencing: int
    missing: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OrderDone:
    """The result of an executed order other than a load.

    Attributes:
      fencing: The order's fencing number.
    """

    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterOrder:
    """An order to load a small adapter from staged chunks.

    Attributes:
      name: The adapter's name, as used in requests.
      version: The version's name.
      chunks: Chunk digests in the order of their bytes.
      fencing: The settings revision that the order implements.
    """

    name: str
    version: str
    chunks: tuple[str, ...]
    fencing: int


class EngineRole(enum.StrEnum):
    """Which phases of a request an engine runs."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """The status that an engine reports; its load figures lag behind.

    Attributes:
      model: The loaded model; empty without weights.
      version: The loaded version; empty without weights.
      digest: `content_digest` of the loaded bytes.
      adapters: Names and versions of the loaded adapters.
      role: The phases of a request it runs.
      fencing: The highest fencing number it has received.
      load: Running requests divided by the capacity, some time ago.
      running: Number of requests in the batch, some time ago.
      waiting: Number of requests queued for the batch, some time ago.
      capacity: The maximum batch size, in requests.
      loading: The version being loaded; empty without a load.
    """

    model: str
    version: str
    digest: str
    adapters: Headers
    role: EngineRole
    fencing: int
    load: float
    running: int
    waiting: int
    capacity: int
    loading: str


class CacheChange(enum.StrEnum):
    """How blocks of the prefix cache changed."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the engine's prefix cache.

    Attributes:
      sequence: The event's sequence number; a gap means that events were lost.
      change: Whether the blocks were stored or evicted.
      blocks: Hashes of the blocks, signed integers of 64 bits; see
        `prefixes.block_hashes`.
    """

    sequence: int
    change: CacheChange
    blocks: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Cache events from a given sequence number on.

    Attributes:
      first: The oldest sequence number that the engine still keeps.
      next: The sequence number to request next; lower than the requested one
        if the engine has restarted.
      events: The events in order, possibly with gaps.
    """

    first: int
    next: int
    events: tuple[CacheEvent, ...]
