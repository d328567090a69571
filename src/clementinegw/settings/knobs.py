"""The knobs that an operator can set, in groups, with their defaults.

A group in a settings tree is partial: a level supplies only the fields that it
sets, and the other fields come from the level before. Before the first level,
the defaults here apply.

A new knob is added here with a default, a description that names its unit, and
bounds. Once a version has been released, a new knob or a changed bound also
needs `since=N`, where N is the next `records.SCHEMA`: processes of the older
version refuse the knob, so those of the newer version must refuse it in records
of the older schema.
"""

import enum
import functools
from typing import Annotated, Any

import pydantic

NAME_PATTERN = r"^[a-z0-9][a-z0-9_-]{0,62}$"
Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Share = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
Seconds = Annotated[float, pydantic.Field(gt=0.0, le=86_400.0)]
MIN_SCHEMA = 1


class Model(pydantic.BaseModel):
    """Base class of the checked models: immutable, unknown keys are refused."""

    model_config = pydantic.ConfigDict(
        extra="forbid",
        frozen=True,
        strict=True,
        allow_inf_nan=False,
        validate_default=False,
    )


def knob(default: Any, description: str, since: int = MIN_SCHEMA, **kwargs):
    """Declares a knob.

    Args:
      default: Its value where no level of the tree sets it.
      description: What it does, with its unit.
      since: The schema number that introduced it.
      **kwargs: Bounds, as arguments of pydantic.Field.
    """
    return pydantic.Field(
        default,
        description=description,
        json_schema_extra={"since": since},
        **kwargs,
    )


class Limits(Model):
    """How much a customer may request of a service; divided among entries."""

    requests_per_s: float = knob(
        200.0, "Requests per second of one customer, over all entries.", ge=0
    )
    tokens_per_s: float = knob(
        50_000.0, "Tokens per second of one customer, prompt and answer.", ge=0
    )
    burst_s: float = knob(
        2.0, "Largest burst, as seconds of the rates above.", gt=0, le=600
    )
    max_body_bytes: int = knob(
        1_048_576, "Largest request body, bytes.", ge=1, le=67_108_864
    )
    max_concurrent: int = knob(
        256, "Requests of one customer in flight at one entry.", ge=1
    )


class Admission(Model):
    """Which requests an entry admits, and how long they may wait there."""

    max_queue: int = knob(
        256, "Requests for a service that may wait at one entry.", ge=0
    )
    target_s: Seconds = knob(
        0.1, "Queueing delay above which low priorities are rejected, seconds."
    )
    interval_s: Seconds = knob(
        0.5, "How long the delay must exceed `target_s`, seconds."
    )
    deadline_s: Seconds = knob(
        30.0, "Deadline of a request that sets none, seconds."
    )
    max_deadline_s: Seconds = knob(
        600.0, "Longest deadline that a request may set, seconds."
    )


class RoutingPolicy(enum.StrEnum):
    """How a backend server is chosen."""

    CACHE_AWARE = "cache_aware"
    LEAST_LOADED = "least_loaded"
    TWO_CHOICES = "two_choices"
    RANDOM = "random"


class Routing(Model):
    """Which backend server a request is sent to."""

    policy: RoutingPolicy = knob(
        RoutingPolicy.CACHE_AWARE, "How a backend server is chosen."
    )
    subset_size: int = knob(
        16, "Agents of a service that one entry keeps connections to.", ge=1
    )
    spill_load: float = knob(
        0.8,
        "Load above which requests are sent to another failure domain.",
        ge=0.0,
        le=10.0,
    )
    slow_start_s: float = knob(
        10.0,
        "Seconds over which a new server's share of requests grows to full.",
        ge=0,
    )
    hedging: bool = knob(
        False, "Whether a late idempotent request gets a second attempt."
    )
    hedge_quantile: Share = knob(
        0.95, "Quantile of the delay after which a request is late."
    )
    alone_timeout_s: Seconds = knob(
        10.0, "How long a suspect may wait for a server to itself, seconds."
    )


class Retries(Model):
    """When and how often an attempt is retried."""

    max_attempts: int = knob(
        3, "Attempts of one request, including the first.", ge=1, le=10
    )
    budget_ratio: Share = knob(0.1, "Retries allowed, as a share of requests.")
    base_s: Seconds = knob(0.05, "First backoff, seconds.")
    max_s: Seconds = knob(2.0, "Longest backoff, seconds.")
    attempt_timeout_s: Seconds = knob(
        30.0, "Longest silence within a streamed answer, seconds."
    )


class Claims(Model):
    """How requests that must not run twice are claimed in the log."""

    horizon_s: float = knob(
        3_600.0,
        "Age after which an idempotency key is refused as expired, seconds.",
        gt=0,
        le=604_800,
    )
    group_ms: int = knob(
        40, "Milliseconds for which claims are batched into one append.", ge=0
    )
    kept_answer_bytes: int = knob(
        65_536,
        "Largest answer kept for a repeated idempotency key, bytes.",
        ge=0,
    )
    memory_mb: int = knob(16, "Memory for claims and answers, MB.", ge=1)


class DrawPolicy(enum.StrEnum):
    """The group for which one copy of a chunk is fetched from the origin."""

    FLEET = "fleet"
    REGION = "region"
    FAILURE_DOMAIN = "failure_domain"
    NONE = "none"


class Pacing(enum.StrEnum):
    """How a transfer shares a link with live requests."""

    LIVE_FIRST = "live_first"
    FIXED = "fixed"
    NONE = "none"


class Weights(Model):
    """How a model version is distributed, and how instances swap to it."""

    draw_policy: DrawPolicy = knob(
        DrawPolicy.FLEET,
        "Group for which one copy is fetched from the origin: `fleet` fetches"
        " the fewest bytes and is fastest if the origin's link can send about"
        " four copies in a burst; `failure_domain` sends fewer bytes between"
        " failure domains; with `none`, each instance fetches its own copy.",
    )
    deadline_s: Seconds = knob(
        2.0,
        "Seconds after which the next agent in rank fetches a chunk that the"
        " one before it has not provided.",
    )
    chunk_timeout_s: Seconds = knob(
        5.0,
        "Time without data after which a chunk transfer is given up, seconds.",
    )
    max_out_share: Share = knob(
        0.34, "Share of a service's workers that may be loading at once."
    )
    cross_domain_copies: float = knob(
        2.0, "Copies that may enter a failure domain from others.", ge=0
    )
    upload_rate: int = knob(
        125_000_000, "Bytes per second that an agent sends to its peers.", ge=1
    )
    download_rate: int = knob(
        125_000_000, "Bytes per second that an agent receives.", ge=1
    )
    max_uploads: int = knob(
        3, "Chunks that an agent sends at once.", ge=1, le=64
    )
    max_downloads: int = knob(
        3, "Chunks that an agent receives at once.", ge=1, le=64
    )
    pacing: Pacing = knob(
        Pacing.LIVE_FIRST, "How transfers yield to live requests."
    )
    memory_mb: int = knob(
        32, "Memory of an agent for chunks in transfer, MB.", ge=1
    )
    load_timeout_s: Seconds = knob(
        120.0, "Seconds after which the status of a load order is queried."
    )


class Membership(Model):
    """How processes discover and monitor one another."""

    period_s: Seconds = knob(1.0, "Seconds between two probes.")
    probe_timeout_s: Seconds = knob(
        0.3, "Seconds to wait for a direct answer to a probe."
    )
    suspect_s: Seconds = knob(
        3.0, "Seconds that a suspected member has to refute the suspicion."
    )
    fanout: int = knob(
        3, "Members that are requested to probe a silent one.", ge=1, le=16
    )
    bridges: int = knob(
        2,
        "Members of a failure domain that exchange gossip with other domains.",
        ge=1,
        le=16,
    )
    sync_s: Seconds = knob(
        30.0, "Seconds between two full exchanges of the member list."
    )
    list_poll_s: Seconds = knob(
        10.0, "Seconds between two reads of the platform's instance list."
    )
    forget_s: Seconds = knob(
        120.0, "Seconds for which a dead member is remembered."
    )


class Shutdown(Model):
    """How a process shuts down."""

    leave_s: Seconds = knob(
        3.0, "Seconds from announcing that it leaves to closing its listener."
    )
    grace_s: Seconds = knob(
        120.0, "Seconds that requests in flight are given before it stops."
    )


class Security(Model):
    """The keys by which a peer proves that it belongs to the deployment."""

    key_id: Name = knob(
        "k1",
        "Id, in `key_file`, of the key that this process proves itself with.",
    )
    accepted_key_ids: tuple[Name, ...] = knob(
        ("k1",), "Ids of the keys that peers may prove themselves with."
    )


class Replication(Model):
    """How the settings themselves are distributed to every process."""

    relays: int = knob(
        3,
        "Processes of a failure domain that follow the log directly; the"
        " others pull the records from them. With 0, all follow the log.",
        ge=0,
        le=64,
    )
    poll_wait_s: Seconds = knob(
        5.0,
        "Seconds for which the log may hold a poll open without a new record.",
    )
    backoff_base_s: Seconds = knob(
        0.2, "First wait after the log could not be read, seconds."
    )
    backoff_max_s: Seconds = knob(
        1.0, "Longest wait after the log could not be read, seconds."
    )
    peer_period_s: Seconds = knob(
        5.0, "Seconds between two comparisons with a peer."
    )
    snapshot_changes: int = knob(
        200, "Changes after which a snapshot is appended to the log.", ge=1
    )
    snapshot_age_s: Seconds = knob(
        21_600.0,
        "Age of the newest snapshot at which another is appended to the log,"
        " seconds; at most a third of the time for which the log keeps"
        " records.",
    )
    snapshot_jitter_s: Seconds = knob(
        30.0,
        "Seconds over which processes spread their attempts to append one.",
    )


class Knobs(Model):
    """All knobs of one level of the tree.

    The groups are immutable, so the levels share the groups that they do not
    set.
    """

    limits: Limits = Limits()
    admission: Admission = Admission()
    routing: Routing = Routing()
    retries: Retries = Retries()
    claims: Claims = Claims()
    weights: Weights = Weights()
    membership: Membership = Membership()
    shutdown: Shutdown = Shutdown()
    security: Security = Security()
    replication: Replication = Replication()


GROUPS: tuple[str, ...] = tuple(Knobs.model_fields)
GroupKnob = tuple[str, str]


@functools.cache
def newer_than(schema: int) -> frozenset[GroupKnob]:
    """Returns the knobs that were introduced after a schema."""
    return frozenset(
        (group, name)
        for group, field in Knobs.model_fields.items()
        for name, declared in _fields_of(field).items()
        if _since(declared) > schema
    )


def _fields_of(field: Any) -> dict[str, Any]:
    return field.annotation.model_fields


def _since(field: Any) -> int:
    extra = field.json_schema_extra
    return extra.get("since", MIN_SCHEMA) if isinstance(extra, dict) else 1
