"""What the loader is told and what it asks for."""

import dataclasses
import enum

from clementinegw.backend import types as backend
from clementinegw.platform import retries as retry_lib
from clementinegw.weights import manifest as manifests


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Times of the loader, in seconds.

    Attributes:
      poll_s: Between two questions while a load's outcome is open.
      verify_s: Between two checks that the engine has what is served.
      settle_s: How long an order whose answer was lost may still take effect.
      max_send_delay_s: How long after the decision an order may be sent.
      cover_timeout_s: How long to stay drained for a permit that covers the
        load.
      retries: The pauses after failures in a row.
    """

    poll_s: float = 0.5
    verify_s: float = 2.0
    settle_s: float = 10.0
    max_send_delay_s: float = 2.0
    cover_timeout_s: float = 10.0
    retries: retry_lib.RetryPolicy = retry_lib.RetryPolicy(
        base_s=1.0, max_s=30.0
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """A declared adapter whose manifest is known.

    Attributes:
      name: Its name, as requests give it.
      manifest: The chunks.
    """

    name: str
    manifest: manifests.Manifest

    @property
    def key(self) -> tuple[str, str]:
        """Its name and version, as an engine reports them."""
        return self.name, self.manifest.version


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A declared version whose manifests are known.

    Attributes:
      manifest: The chunks of the model.
      revision: The settings revision that declared it: the fencing number.
      adapters: Loaded beside the model; without them it is not served.
    """

    manifest: manifests.Manifest
    revision: int
    adapters: tuple[Adapter, ...] = ()

    @property
    def version(self) -> str:
        """The version's name."""
        return self.manifest.version

    @property
    def content_digest(self) -> str:
        """What an engine reports that has loaded exactly this."""
        return self.manifest.content_digest

    @property
    def adapter_keys(self) -> frozenset[tuple[str, str]]:
        """The names and versions of its adapters."""
        return frozenset(adapter.key for adapter in self.adapters)

    @property
    def manifest_digests(self) -> frozenset[str]:
        """The digests of all its manifests."""
        adapters = {a.manifest.digest for a in self.adapters}
        return frozenset({self.manifest.digest} | adapters)

    def same_weights(self, other: "Target | None") -> bool:
        """Returns whether another target consists of the same weights."""
        if other is None or self.content_digest != other.content_digest:
            return False
        mine = {(a.name, a.manifest.digest) for a in self.adapters}
        return mine == {(a.name, a.manifest.digest) for a in other.adapters}


class Phase(enum.StrEnum):
    """What the loader waits for."""

    ASKING = "asking"  # what the engine has loaded
    STEADY = "steady"  # a new target, or its chunks
    QUEUED = "queued"  # the permit to leave service
    DRAINING = "draining"  # the end of the requests in flight
    COVERING = "covering"  # a permit that covers the whole load
    LOADING = "loading"  # the engine's report


class Reason(enum.StrEnum):
    """Why the declared version is not served.

    Those that come from a failure are counted as `weights.load.REASON`.
    """

    NONE = ""
    NO_TARGET = "no_target"
    CHUNKS_MISSING = "chunks_missing"
    SWAP_LIMIT = "swap_limit"
    DRAINING = "draining"
    LOADING = "loading"
    ENGINE_UNREACHABLE = "engine_unreachable"
    ENGINE_CRASHED = "engine_crashed"
    ANSWER_LOST = "answer_lost"
    NOT_SENT = "not_sent"
    DRAIN_TIMEOUT = "drain_timeout"
    PERMIT_LOST = "permit_lost"
    DIGEST_MISMATCH = "digest_mismatch"
    DIGEST_CHANGED = "digest_changed"
    REFUSED_FENCING = "refused_fencing"
    REFUSED_CHUNKS = "refused_chunk_missing"
    REFUSED_ORDER = "refused_bad_order"
    OLD_REVISION = "old_revision"


@dataclasses.dataclass(frozen=True, slots=True)
class QueryStatus:
    """Ask the engine; answered by `on_status` or `on_no_status`."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class AcquirePermit:
    """Ask for the permit to leave service."""


@dataclasses.dataclass(frozen=True, slots=True)
class CoverLoad:
    """Have the permit cover a whole load."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePermit:
    """Give the permit, or the place in its queue, back."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Take no new work, wait until nothing runs; answered by `on_drained`."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send a load order, unless it is too late.

    Attributes:
      number: Names the order in the events that follow.
      target: What to load.
      load_model: Whether the model has to be loaded, and with it all adapters.
      adapters: The adapters that have to be loaded.
      send_before: Monotonic seconds; checked again right before sending.
    """

    number: int
    target: Target
    load_model: bool
    adapters: tuple[Adapter, ...]
    send_before: float


@dataclasses.dataclass(frozen=True, slots=True)
class Serve:
    """Let requests in: the engine has reported this version's digest."""

    target: Target


@dataclasses.dataclass(frozen=True, slots=True)
class StopServing:
    """Let nothing in: what the engine has loaded is not known to be right."""

    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ChunksLost:
    """These chunks are not staged, though they were thought to be."""

    digests: tuple[str, ...]


Action = (
    QueryStatus
    | AcquirePermit
    | CoverLoad
    | ReleasePermit
    | Drain
    | SendOrder
    | Serve
    | StopServing
    | ChunksLost
)

REASON_BY_REFUSAL = {
    backend.OrderRefusal.FENCING: Reason.REFUSED_FENCING,
    backend.OrderRefusal.CHUNK_MISSING: Reason.REFUSED_CHUNKS,
    backend.OrderRefusal.BAD_ORDER: Reason.REFUSED_ORDER,
}
