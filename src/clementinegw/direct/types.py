"""What the direct path knows of its surroundings: routes, servers, weights.

Whatever speaks to a platform decodes its records into these types; nothing
here knows how a platform spells them.
"""

from collections.abc import Mapping
import dataclasses
import enum

from clementinegw import types


class RepeatPolicy(enum.StrEnum):
    """How often a request of a route may run."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that serves a part of a route's requests.

    Attributes:
      service: The service's name.
      weight: Its part, relative to the other targets' weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What the operators say about the requests under a host and prefix.

    Attributes:
      name: The route's name.
      host: The host that requests name, in lower case.
      prefix: The beginning of their path; ends with a slash.
      repeat_policy: How often a request may run.
      targets: The services that serve it.
      timeout_s: The longest time an answer may take, in seconds.
      objective_s: Within this an answer (a stream: its first event) is on
        time, in seconds.
      priority: The urgency; 0 goes first.
      max_attempts: The most backend servers that one request is sent to.
      anonymous: Whether it is served without an API key.
      resumable: Whether a broken stream may go on at another server.
      max_gap_s: The longest pause between events that is on time, in seconds;
        0 where none is set.
    """

    name: str
    host: str
    prefix: str
    repeat_policy: RepeatPolicy
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    anonymous: bool = False
    resumable: bool = False
    max_gap_s: float = 0.0

    @property
    def idempotent(self) -> bool:
        """Whether a request may run again after it may have run."""
        if self.repeat_policy is RepeatPolicy.STREAM:
            return self.resumable
        return self.repeat_policy is RepeatPolicy.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """How the model engines of a service work.

    Attributes:
      models: The names of the models they can hold.
      slots: Requests that one engine runs at once.
      step_s: The least time of a token step, in seconds.
      step_per_request_s: What each running request adds to it, in seconds.
      prefill_tokens_per_s: How fast prompts are read.
      steps_per_pass: Token steps in one pass.
      layers: Layers of a model.
      chunks: Pieces that a version's weights come in.
      chunk_bytes: The size of a piece.
      typical_prompt_tokens: Tokens in a usual prompt.
      typical_answer_tokens: Tokens in a usual answer.
      load_s: How long all layers take to load, in seconds.
    """

    models: tuple[str, ...]
    slots: int
    step_s: float
    step_per_request_s: float
    prefill_tokens_per_s: float
    steps_per_pass: int
    layers: int
    chunks: int
    chunk_bytes: int
    typical_prompt_tokens: float = 0.0
    typical_answer_tokens: float = 0.0
    load_s: float = 0.0

    @property
    def pass_s(self) -> float:
        """From one event of a stream to the next where all slots are taken."""
        step_s = self.step_s + self.slots * self.step_per_request_s
        return self.steps_per_pass * step_s


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where the weights come from first.

    Attributes:
      address: Where it takes calls.
      max_connections: The most connections of all callers together.
      link_bytes_per_s: The rate of its link.
    """

    address: types.Address
    max_connections: int
    link_bytes_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service of the configuration.

    Attributes:
      name: The service's name.
      max_connections: Connections that one server takes from all callers.
      engine: How its model engines work; None for a plain service.
      origin: Set where the service is an origin of weights.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    origin: Origin | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What bounds callers.

    Attributes:
      header_bytes: The most bytes of a request's head.
      body_bytes: The most bytes of a request's body.
      header_timeout_s: How long a head may take to arrive, in seconds.
      idle_timeout_s: How long a connection may stay idle, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """Whose requests an API key stands for.

    Attributes:
      name: The customer's name.
      priority: The urgency of its requests; None leaves it to the route.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All that the operators declared, as one version.

    Attributes:
      version: Grows with each change.
      routes: Every route.
      services: Every service by name.
      customers: Every customer by API key.
      limits: What bounds callers.
      requires_key: Whether callers need a key: there are customers, even if
        none of them has a key any more.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    customers: Mapping[str, Customer]
    limits: Limits = Limits()
    requires_key: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredVersion:
    """The version of a model's weights that operators want served.

    Attributes:
      model: The model's name.
      version: The version's number; grows.
    """

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeldWeights:
    """The weights that a server has loaded.

    Attributes:
      model: The model's name.
      version: The version of its layers.
      layers: How many layers from the first on it has, of that version.
    """

    model: str
    version: int
    layers: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerStart:
    """One start of a server: what is learned of it speaks of no other.

    Attributes:
      server_id: The server's id; it may come again.
      started_ms: When it started, in Unix milliseconds; 0 where that is not
        known, and then the id alone names the start.
    """

    server_id: str
    started_ms: int = 0

    @property
    def text(self) -> str:
        """One word, or two with the birth; ids have no space in them."""
        return (
            f"{self.server_id} {self.started_ms}"
            if self.started_ms
            else self.server_id
        )

    @classmethod
    def parse(cls, text: str) -> "ServerStart":
        """Returns the start that a text names."""
        server_id, _, started_ms = text.partition(" ")
        return cls(server_id, int(started_ms) if started_ms.isdecimal() else 0)

    def matches(self, other: "ServerStart") -> bool:
        """Returns whether two names may be of one start."""
        if self.server_id != other.server_id:
            return False
        return (
            not self.started_ms
            or not other.started_ms
            or self.started_ms == other.started_ms
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A backend server as the platform lists it.

    Attributes:
      server_id: Names the server.
      service: The service it belongs to.
      address: Where it takes requests.
      failure_domain: Where it stands.
      slots: Requests that it runs at once.
      leaving: Whether it takes no new requests.
      held: The weights it has loaded; empty for a plain service.
      started_ms: When it started, in Unix milliseconds; 0 where that is not
        known.
      sequence: Grows with each record of one start; says nothing more.
    """

    server_id: str
    service: str
    address: types.Address
    failure_domain: str
    slots: int
    leaving: bool = False
    held: tuple[HeldWeights, ...] = ()
    started_ms: int = 0
    sequence: int = dataclasses.field(default=0, compare=False)

    @property
    def start(self) -> ServerStart:
        """Which start of the server it is."""
        return ServerStart(self.server_id, self.started_ms)

    def version(self, layers: int) -> int:
        """Returns the newest version of which it has all layers; 0 for none.

        Args:
          layers: The layers that a model has.
        """
        whole = (h.version for h in self.held if h.layers >= layers)
        return max(whole, default=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """A record that is there and cannot be read.

    Attributes:
      reason: What is wrong with it.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a server says of its own work.

    Attributes:
      running: Requests that it works on.
      waiting: Requests in its queue.
      slots: Requests that it runs at once.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller's head says beyond method, path and body.

    Attributes:
      attempt_id: Names this attempt of the caller; empty when missing.
      timeout_s: How long the caller waits, in seconds; None when unsaid.
      key: The API key; empty when none was sent.
      model: The model it is for; empty for a plain service.
      prompt_tokens: Tokens to read.
      output_tokens: The most tokens to produce.
      session: The last shared part of the prompt; empty when there is none.
      last_event_id: The last event that the caller has; None for a new
        stream.
    """

    attempt_id: str = ""
    timeout_s: float | None = None
    key: str = ""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    session: str = ""
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """What a server's head says beyond status and body.

    Attributes:
      attempt_id: The attempt that it answers; empty when it names none.
      sealed: Whether the server signed the answer.
      not_run: Whether the server says that it did not run the request.
      load: What it says of its load; None when it says nothing.
      version: The version of the weights that answer; None when unsaid.
      keep_alive_s: How long it keeps the connection when idle; None when
        unsaid.
      server_id: Which start of a server answers; empty when it does not say.
      limit_per_s: The requests a second that the server takes from all entries
        together; None when it reports no limit.
      leaving: Whether the server says that it leaves.
      backoff_s: For how long a server that rejects the request wants no other
        one of this entry, in seconds; 0 when it does not say.
      malformed: The names of fields here whose header cannot be read; what the
        server reported before stays in force.
    """

    attempt_id: str
    sealed: bool
    not_run: bool
    load: Load | None = None
    version: int | None = None
    keep_alive_s: float | None = None
    server_id: str = ""
    limit_per_s: float | None = None
    leaving: bool = False
    backoff_s: float = 0.0
    malformed: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardMetadata:
    """What the entry adds to a request that it sends on.

    Attributes:
      server_id: The server that must run it and no other.
      timeout_s: The time that is left, in seconds.
      customer: Whose request it is; empty when it came without a key.
      version: The version that the weights must have, exactly; None for any.
      priority: 0 to 9 where 0 goes first; None leaves it to the server.
      last_event_id: Where a stream goes on; None as the caller asked.
    """

    server_id: str
    timeout_s: float
    customer: str = ""
    version: int | None = None
    priority: int | None = None
    last_event_id: str | None = None
