"""Types of the loader: its timing, inputs, states and actions."""

import dataclasses
import enum

from clementinegw.backend import types as backend
from clementinegw.platform import retries as retry_lib
from clementinegw.weights import manifest as manifests


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """The loader's time settings, in seconds.

    Attributes:
      poll_s: The interval between status queries while a load is unsettled.
      verify_s: The interval between checks that the engine still has the
        weights that are served.
      settle_s: How long an order whose answer was lost may still take effect.
      max_send_delay_s: How long after the decision an order may be sent.
      cover_timeout_s: How long to stay drained while waiting for a permit that
        covers the load.
      retries: The delays after consecutive failures.
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
      name: The adapter's name as used in requests.
      manifest: The adapter's manifest.
    """

    name: str
    manifest: manifests.Manifest

    @property
    def key(self) -> tuple[str, str]:
        """The name and version as an engine reports them."""
        return self.name, self.manifest.version


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A declared version whose manifests are known.

    Attributes:
      manifest: The model's manifest.
      revision: The settings revision that declared the version, used as the
        fencing number.
      adapters: The adapters to load with the model. The version is not served
        without them.
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
        """The digest an engine reports once it has loaded this model."""
        return self.manifest.content_digest

    @property
    def adapter_keys(self) -> frozenset[tuple[str, str]]:
        """The names and versions of the adapters."""
        return frozenset(adapter.key for adapter in self.adapters)

    @property
    def manifest_digests(self) -> frozenset[str]:
        """The digests of the manifests of the model and the adapters."""
        adapters = {a.manifest.digest for a in self.adapters}
        return frozenset({self.manifest.digest} | adapters)

    def same_weights(self, other: "Target | None") -> bool:
        """Returns whether another target has the same model and adapters."""
        if other is None or self.content_digest != other.content_digest:
            return False
        mine = {(a.name, a.manifest.digest) for a in self.adapters}
        return mine == {(a.name, a.manifest.digest) for a in other.adapters}


class Phase(enum.StrEnum):
    """What the loader is waiting for."""

    ASKING = "asking"  # the engine's status
    STEADY = "steady"  # a new target, or its chunks
    QUEUED = "queued"  # the permit to leave service
    DRAINING = "draining"  # the end of the requests in flight
    COVERING = "covering"  # a permit that covers the whole load
    LOADING = "loading"  # the engine's report on an order


class Reason(enum.StrEnum):
    """Why the declared version is not served.

    Reasons that are failures are counted as `weights.load.REASON`.
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
    """Query the engine's status.

    Answered by `on_status` or `on_no_status`.

    Attributes:
      number: The query's number, given back with the answer.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class AcquirePermit:
    """Acquire the permit to leave service."""


@dataclasses.dataclass(frozen=True, slots=True)
class CoverLoad:
    """Extend the permit to cover a whole load."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePermit:
    """Release the permit or the place in its queue."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Stop accepting work and wait until no request is running.

    Answered by `on_drained`.

    Attributes:
      number: The drain's number, given back with the answer.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send a load order unless it is too late.

    Attributes:
      number: The order's number, given back with its outcome.
      target: The target to load.
      load_model: Whether to load the model, and all adapters with it.
      adapters: The adapters to load.
      send_before: The latest time to send the order, in monotonic seconds;
        checked again right before sending.
    """

    number: int
    target: Target
    load_model: bool
    adapters: tuple[Adapter, ...]
    send_before: float


@dataclasses.dataclass(frozen=True, slots=True)
class Serve:
    """Accept requests: the engine has reported this version's digest."""

    target: Target


@dataclasses.dataclass(frozen=True, slots=True)
class StopServing:
    """Accept no requests: the loaded weights are not known to be right."""

    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ChunksLost:
    """Report chunks as lost that were believed to be staged."""

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
