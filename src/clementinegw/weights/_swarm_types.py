"""Events, actions and limits of the swarm state machine."""

import dataclasses
import enum

from clementinegw.weights import manifest as manifests
from clementinegw.weights import origin_fetchers

# The source id of chunks from the weight store or the origin.
ORIGIN = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on an agent's part in a rollout.

    The bench's `--limits` flag takes these fields by name.

    Attributes:
      outstanding: The maximum number of requested chunks that have not
        arrived; this also bounds memory.
      upload_slots: The maximum number of chunks sent at once; further requests
        are refused.
      asks_a_peer: The maximum number of chunks requested from one peer at once.
      formers: The number of previous targets whose chunks are still sent.
      local_neighbours: Connections opened within the failure domain.
      remote_neighbours: Connections opened to other failure domains.
      import_neighbours: The maximum number of connections opened to
        first-ranked agents of other failure domains.
      draws: The maximum number of chunks fetched from the origin at once.
      draw_policy: The group within which the origin sends each chunk once.
      draw_deadline_s: How long no new chunk may appear in the group before the
        next agent in the ranking takes over, in seconds.
      cut_off_s: How long an agent that reaches no other failure domain does
        not use the origin, in seconds.
      settle_s: How long neighbours may take to advertise what they hold before
        the first fetch from the origin, in seconds.
      origin_bytes_per_s: The origin's rate. Fetches are spread over time so
        that the origin serves few at once; 0 stands for twice the machine's
        link.
      link_bytes_per_s: The rate of the machine's link, for the first deadlines.
      stall_factor: A request is cancelled after this multiple of the mean
        duration of requests.
      stall_floor_s: The minimum time before a request is cancelled, in seconds.
      aside_s: How long no chunks are requested from a peer after two
        consecutive failures or one corrupt chunk, in seconds.
      cross_copies: The number of copies of a version that may normally enter a
        failure domain from others.
      advert_s: The minimum interval between announcements of gained chunks, in
        seconds.
      far_advert_s: The same for peers of other failure domains through which a
        chunk does not enter their domain, in seconds; `advert_s` if it is less.
    """

    outstanding: int = 3
    upload_slots: int = 3
    asks_a_peer: int = 1
    formers: int = 0
    local_neighbours: int = 6
    remote_neighbours: int = 2
    import_neighbours: int = 32
    draws: int = 1
    draw_policy: origin_fetchers.DrawPolicy = origin_fetchers.DrawPolicy.FLEET
    draw_deadline_s: float = 10.0
    cut_off_s: float = 600.0
    settle_s: float = 0.5
    origin_bytes_per_s: float = 0.0
    link_bytes_per_s: float = 100e6
    stall_factor: float = 4.0
    stall_floor_s: float = 1.0
    aside_s: float = 30.0
    cross_copies: float = 2.0
    advert_s: float = 0.1
    far_advert_s: float = 0.0


class RefuseReason(enum.StrEnum):
    """Why a peer's request for a chunk is refused."""

    BUSY = "busy"
    NOT_HELD = "not_held"
    OTHER_TARGET = "other_target"


class ExclusionReason(enum.StrEnum):
    """Why a peer is excluded for a while."""

    CORRUPT = "corrupt"
    STALLED = "stalled"


class CancelReason(enum.StrEnum):
    """Why a request is cancelled."""

    STALLED = "stalled"
    OTHER_WAS_FASTER = "other_was_faster"
    ABANDONED = "abandoned"
    PEER_GONE = "peer_gone"
    PEER_EXCLUDED = "peer_aside"


# Events.


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSet:
    """A version became the target.

    Attributes:
      digest: The manifest's digest.
      chunks: The manifest's chunks.
      held: The chunks that are already in the store, as a `bitset`.
      is_new: Whether the version was declared just now, so that no agent holds
        any of its chunks.
    """

    digest: str
    chunks: tuple[manifests.Chunk, ...]
    held: bytes
    is_new: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FleetChanged:
    """The set of agents in the rollout changed."""

    fleet: origin_fetchers.Fleet


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp:
    """A connection to a peer was established by either end."""

    peer: origin_fetchers.Member


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """The connection to a peer ended.

    Attributes:
      peer_id: The peer's id.
      by_peer: Whether the peer closed the connection, which usually means that
        its process has ended. A partition or a machine without power does not
        close connections.
    """

    peer_id: str
    by_peer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerHolds:
    """A peer advertised all chunks that it holds of a manifest.

    Attributes:
      peer_id: The peer's id.
      digest: The manifest's digest.
      bits: The chunks, as a `bitset`.
      answer: Whether this answers an advertisement of this agent. Answers are
        not answered.
    """

    peer_id: str
    digest: str
    bits: bytes
    answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerGained:
    """A peer advertised chunks in addition to those it advertised before."""

    peer_id: str
    digest: str
    indices: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Progressed:
    """A part of a chunk arrived."""

    digest: str
    index: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A chunk arrived, was verified and stored."""

    digest: str
    index: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """A chunk that was held is no longer in the store."""

    digest: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Corrupt:
    """A chunk arrived with a wrong digest and was discarded."""

    digest: str
    index: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A source refused to send a chunk for now."""

    digest: str
    index: int
    source: str
    retry_after_s: float
    reason: RefuseReason = RefuseReason.BUSY


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A source did not send a complete chunk."""

    digest: str
    index: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkRequested:
    """A peer requested a chunk."""

    peer_id: str
    digest: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """Sending a chunk to a peer ended.

    Attributes:
      peer_id: The peer's id.
      index: The chunk's index.
      whole: Whether the whole chunk was sent.
    """

    peer_id: str
    index: int
    whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due at `Swarm.wake_at` at the latest."""


Event = (
    TargetSet
    | FleetChanged
    | PeerUp
    | PeerDown
    | PeerHolds
    | PeerGained
    | Progressed
    | Arrived
    | Lost
    | Corrupt
    | Refused
    | Failed
    | ChunkRequested
    | Served
    | Tick
)


# Actions.


@dataclasses.dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to a peer and reopen it when it ends."""

    peer: origin_fetchers.Member


@dataclasses.dataclass(frozen=True, slots=True)
class StopConnecting:
    """Stop opening connections to a peer."""

    peer_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestChunk:
    """Request a chunk from a source.

    Attributes:
      digest: The manifest's digest.
      index: The chunk's index.
      source: A peer's id, or `ORIGIN` for the weight store or the origin.
    """

    digest: str
    index: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Stop receiving a chunk from a source."""

    digest: str
    index: int
    source: str
    reason: CancelReason


@dataclasses.dataclass(frozen=True, slots=True)
class AdvertiseAll:
    """Advertise all held chunks to a peer, as a `bitset`; see `PeerHolds`."""

    peer_id: str
    digest: str
    bits: bytes
    answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AdvertiseGained:
    """Advertise the chunks gained since the last advertisement to peers."""

    peer_ids: tuple[str, ...]
    digest: str
    indices: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Serve:
    """Send a chunk to the peer that requested it."""

    peer_id: str
    digest: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopServing:
    """Stop sending a chunk to a peer: the version was abandoned."""

    peer_id: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a peer's request for a chunk."""

    peer_id: str
    index: int
    reason: RefuseReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerExcluded:
    """A peer was excluded for a while; for the log and the counters."""

    peer_id: str
    reason: ExclusionReason
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """Every chunk of the target is held."""

    digest: str


Action = (
    Connect
    | StopConnecting
    | RequestChunk
    | Cancel
    | AdvertiseAll
    | AdvertiseGained
    | Serve
    | StopServing
    | Refuse
    | PeerExcluded
    | Completed
)
