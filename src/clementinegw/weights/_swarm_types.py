"""Events, actions and limits of the swarm's decisions."""

import dataclasses
import enum

from clementinegw.weights import manifest as manifests
from clementinegw.weights import origin_fetchers

# The source of a chunk that comes from the weight store or the origin.
ORIGIN = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What bounds an agent's part in a rollout.

    Attributes:
      outstanding: Chunks asked for and not arrived; bounds memory as well.
      upload_slots: Chunks sent at once; one more request is refused.
      asks_a_peer: Chunks asked of one peer at once.
      formers: Earlier targets of which chunks are still sent.
      local_neighbours: Connections opened within the failure domain.
      remote_neighbours: Connections opened to other failure domains.
      import_neighbours: Connections opened to first drawers elsewhere.
      draws: Chunks drawn from the origin at once.
      draw_policy: Within what group the origin sends each chunk once.
      draw_deadline_s: How long the group may go without any new chunk before
        the next drawer in rank steps in, in seconds.
      cut_off_s: How long an agent that reaches no other failure domain leaves
        the origin alone, in seconds.
      settle_s: How long neighbours have to tell what they hold before the
        first draw, in seconds.
      origin_bytes_per_s: Draws are spread over time so that the origin serves
        few at once; 0 stands for twice the machine's link.
      link_bytes_per_s: The machine's link, for the first deadlines.
      stall_factor: A request is given up after this many times the time that
        requests have taken.
      stall_floor_s: A request is never given up earlier, in seconds.
      aside_s: How long a peer that stalled twice or corrupted once is not
        asked, in seconds.
      cross_copies: Copies of a version that may enter a failure domain from
        others in the ordinary course.
      advert_s: Gained chunks are announced at most this often, in seconds.
      far_advert_s: The same to agents of other failure domains through which a
        chunk does not enter theirs; not less than `advert_s`.
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
    """Why a peer is not sent a chunk."""

    BUSY = "busy"
    NOT_HELD = "not_held"
    OTHER_TARGET = "other_target"


class ExclusionReason(enum.StrEnum):
    """Why a peer is not asked for a while."""

    CORRUPT = "corrupt"
    STALLED = "stalled"


class CancelReason(enum.StrEnum):
    """Why a request is given up."""

    STALLED = "stalled"
    OTHER_WAS_FASTER = "other_was_faster"
    ABANDONED = "abandoned"
    PEER_GONE = "peer_gone"
    PEER_EXCLUDED = "peer_aside"


# Events.


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSet:
    """The settings intend another version, or the first one.

    Attributes:
      digest: The manifest's digest.
      chunks: The manifest's chunks.
      held: Those in the store already, as a `bitset`.
      is_new: Whether it was named only now, so that nobody holds any of it.
    """

    digest: str
    chunks: tuple[manifests.Chunk, ...]
    held: bytes
    is_new: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FleetChanged:
    """Other agents take part than before."""

    fleet: origin_fetchers.Fleet


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp:
    """There is a connection to a peer, whoever opened it."""

    peer: origin_fetchers.Member


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """The connection to a peer ended.

    Attributes:
      peer_id: The peer.
      by_peer: Whether its end of the connection closed: as a rule its process
        is over. A cut or a machine without power closes nothing.
    """

    peer_id: str
    by_peer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerHolds:
    """A peer told all that it holds of a manifest, as a `bitset`.

    Attributes:
      answer: Whether that answers what this agent told, and is not answered.
    """

    peer_id: str
    digest: str
    bits: bytes
    answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerGained:
    """A peer told which chunks it holds besides those it told before."""

    peer_id: str
    digest: str
    indices: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Progressed:
    """A part of a chunk came in."""

    digest: str
    index: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A chunk was verified and stored."""

    digest: str
    index: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """A chunk that was held is in the store no more."""

    digest: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Corrupt:
    """A chunk came with another digest and was thrown away."""

    digest: str
    index: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A source will not send a chunk for now."""

    digest: str
    index: int
    source: str
    retry_after_s: float
    reason: RefuseReason = RefuseReason.BUSY


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A source did not send a whole chunk."""

    digest: str
    index: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkRequested:
    """A peer asks for a chunk."""

    peer_id: str
    digest: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """Sending a chunk to a peer ended, well or not."""

    peer_id: str
    index: int
    whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due by `Swarm.wake_at` at the latest."""


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
    """Open a connection to a peer, and again when it breaks."""

    peer: origin_fetchers.Member


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnect:
    """Keep no connection to a peer."""

    peer_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestChunk:
    """Ask a source for a chunk; `ORIGIN` for the store or the origin."""

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
    """Tell a peer all that is held, as a `bitset`; see `PeerHolds`."""

    peer_id: str
    digest: str
    bits: bytes
    answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AdvertiseGained:
    """Tell peers which chunks came since they were told last."""

    peer_ids: tuple[str, ...]
    digest: str
    indices: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Serve:
    """Send a chunk to the peer that asked."""

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
    """Do not send a chunk to the peer that asked."""

    peer_id: str
    index: int
    reason: RefuseReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerExcluded:
    """A peer is not asked for a while; for the log and the counters."""

    peer_id: str
    reason: ExclusionReason
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """Every chunk of the target is held."""

    digest: str


Action = (
    Connect
    | Disconnect
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
