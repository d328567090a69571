"""Data types of the direct path: routes, services, servers and weights.

A platform adapter decodes the platform's records and headers into these types,
which do not depend on the platform's formats.
"""

from collections.abc import Mapping
import dataclasses
import enum

from clementinegw import types
from clementinegw.direct import expiry as expiry_lib


class RepeatPolicy(enum.StrEnum):
    """How often a request of a route may be run.

    Attributes:
      SAFE: Any number of times.
      ONCE: At most once.
      STREAM: At most once, except that a stream may resume at another server
        if `Route.resumable` is set.
    """

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that receives a share of a route's requests.

    Attributes:
      service: The service's name.
      weight: Its share, relative to the weights of the other targets.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The operators' settings for requests with a host and path prefix.

    Attributes:
      name: The route's name.
      host: The host of the requests, in lower case.
      prefix: The prefix of their path; ends with a slash.
      repeat_policy: How often a request may be run.
      targets: The services that serve the route.
      timeout_s: The longest time an answer may take, in seconds.
      objective_s: The latency objective of an answer, or of the first event
        of a stream, in seconds.
      priority: The priority of the requests; 0 is the highest.
      max_attempts: The most backend servers that one request is sent to.
      anonymous: Whether requests without an API key are served.
      resumable: Whether a broken stream may resume at another server.
      max_gap_s: The latency objective of the gap between two events of a
        stream, in seconds; 0 if none is set.
      regions: The regions that may serve its requests; None for any.
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
    regions: frozenset[str] | None = None

    @property
    def idempotent(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.repeat_policy is RepeatPolicy.STREAM:
            return self.resumable
        return self.repeat_policy is RepeatPolicy.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """The performance model of a service's model engines.

    Attributes:
      models: The names of the models that an engine can hold.
      slots: The number of requests that one engine runs concurrently.
      step_s: The minimum time of a token step, in seconds.
      step_per_request_s: The time that each running request adds to a step,
        in seconds.
      prefill_tokens_per_s: The rate at which prompts are processed, in tokens
        per second; infinite if it is unknown.
      steps_per_pass: The number of token steps in one pass.
      layers: The number of layers of a model.
      chunks: The number of chunks of a version's weights.
      chunk_bytes: The size of a chunk, in bytes.
      typical_prompt_tokens: The tokens of a typical prompt.
      typical_answer_tokens: The tokens of a typical answer.
      load_s: The time to load all layers, in seconds.
      memory_tokens: The tokens of requests that the memory of one engine holds;
        0 if unknown.
      report_lag_s: How old the load is that an engine reports, in seconds; 0 if
        it is not known.
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
    memory_tokens: int = 0
    report_lag_s: float = 0.0

    @property
    def pass_s(self) -> float:
        """The interval between a stream's events if all slots are busy."""
        step_s = self.step_s + self.slots * self.step_per_request_s
        return self.steps_per_pass * step_s


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The origin from which new weights are fetched.

    Attributes:
      address: The address that it listens on.
      max_connections: The most connections from all callers together.
      link_bytes_per_s: The rate of its link, in bytes per second.
    """

    address: types.Address
    max_connections: int
    link_bytes_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdStart:
    """How slowly the servers of a service work after a start.

    Attributes:
      duration_s: How long a server is cold after its start, in seconds.
      requests_per_s: The requests per second that a cold server bears from all
        entries together.
    """

    duration_s: float
    requests_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of the configuration.

    Attributes:
      name: The service's name.
      max_connections: The most connections that one server accepts from all
        callers together.
      engine: Its model engines; None for a plain service.
      origin: Set if the service is an origin of weights.
      cold_start: Set if its servers bear few requests after a start.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    origin: Origin | None = None
    cold_start: ColdStart | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on callers' connections and requests.

    Attributes:
      header_bytes: The maximum size of a request's headers, in bytes.
      body_bytes: The maximum size of a request's body, in bytes.
      header_timeout_s: How long the headers may take to arrive, in seconds.
      idle_timeout_s: How long a connection may stay idle, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """The customer that an API key belongs to.

    Attributes:
      name: The customer's name.
      priority: The priority of its requests; None for that of the route.
      regions: The regions that may serve its requests; None for any.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A version of the operators' whole configuration.

    Attributes:
      version: The version's number; increases with each change.
      routes: All routes.
      services: All services by name.
      customers: All customers by API key.
      limits: Limits on callers.
      requires_key: Whether callers need an API key. True if there are
        customers, even if none of them has a key any more.
      adjusted: Which values of the operators could not be used as written, and
        what is used instead.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    customers: Mapping[str, Customer]
    limits: Limits = Limits()
    requires_key: bool = False
    adjusted: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredVersion:
    """The version of a model's weights that the operators want served.

    Attributes:
      model: The model's name.
      version: The version's number; increases.
    """

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """The operators want no requests at the servers of a failure domain.

    It holds until its record is deleted.

    Attributes:
      failure_domain: The failure domain.
    """

    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeldWeights:
    """A model's weights that a server has loaded.

    Attributes:
      model: The model's name.
      version: The version of the layers.
      layers: The number of consecutive layers of that version, from the first
        one on.
    """

    model: str
    version: int
    layers: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerStart:
    """Identifies one start of a server.

    State that was learned about one start does not apply to another one.

    Attributes:
      server_id: The server's id, which a later start may use again.
      started_ms: The time of the start, in Unix milliseconds; 0 if it is not
        known, and then the id alone identifies the start.
    """

    server_id: str
    started_ms: int = 0

    @property
    def text(self) -> str:
        """The id, and after a space the time if known; ids have no spaces."""
        return (
            f"{self.server_id} {self.started_ms}"
            if self.started_ms
            else self.server_id
        )

    @classmethod
    def parse(cls, text: str) -> "ServerStart":
        """Returns the start that a text, as of `text`, identifies."""
        server_id, _, started_ms = text.partition(" ")
        return cls(server_id, int(started_ms) if started_ms.isdecimal() else 0)

    def matches(self, other: "ServerStart") -> bool:
        """Returns whether both may identify the same start."""
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
      server_id: The server's id.
      service: The service that it belongs to.
      address: The address that it accepts requests on.
      failure_domain: Its failure domain.
      slots: The number of requests that it runs concurrently.
      leaving: Whether it is leaving and gets no new requests.
      held: The weights that it has loaded; empty for a plain service.
      started_ms: When it started, in Unix milliseconds; 0 if it is not known.
      sequence: Increases with each record of one start; orders the records
        and has no other meaning.
      cold_s: How much longer it was cold when it wrote the record, in seconds;
        None if that is malformed, and the former time stays in force.
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
    cold_s: float | None = dataclasses.field(default=0.0, compare=False)

    @property
    def start(self) -> ServerStart:
        """Identifies the start of the server that the record describes."""
        return ServerStart(self.server_id, self.started_ms)

    def version(self, layers: int) -> int:
        """Returns the newest version that is loaded completely; 0 for none.

        Args:
          layers: The number of layers of the model.
        """
        complete = (h.version for h in self.held if h.layers >= layers)
        return max(complete, default=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """A record that exists and cannot be decoded.

    Attributes:
      reason: Why it cannot be decoded.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that a server reports.

    Attributes:
      running: The number of running requests.
      waiting: The number of queued requests.
      slots: The number of requests that it runs concurrently.
      pace: How many times longer than usual work takes on its machine now; None
        if it does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """The metadata in a request's headers.

    Attributes:
      attempt_id: Identifies this attempt of the caller; empty if missing.
      timeout_s: How long the caller waits, in seconds; None if it does not
        say.
      key: The API key; empty if none was sent.
      model: The requested model; empty for a plain service.
      prompt_tokens: The number of tokens of the prompt.
      output_tokens: The maximum number of tokens to generate.
      shared_parts: The ids of the prompt's parts, in order, without the last
        one, which belongs to the request or its session alone.
      last_event_id: The id of the last event that the caller received; None
        for a new stream.
    """

    attempt_id: str = ""
    timeout_s: float | None = None
    key: str = ""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_parts: tuple[str, ...] = ()
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """The metadata in an answer's headers.

    Attributes:
      attempt_id: The attempt that the answer belongs to; empty if missing.
      sealed: Whether the server signed the answer.
      not_run: Whether the server states that it did not run the request.
      load: The server's load; None if it reports none.
      version: The version of the weights that produced the answer; None if
        the server does not report it.
      keep_alive_s: How long the server keeps an idle connection open, in
        seconds; None if it does not say.
      server_id: The id of the server; empty if it does not say.
      limit_per_s: The requests per second that the server accepts from all
        entries together; None if it reports no limit.
      leaving: Whether the server reports that it is leaving.
      backoff_s: How long a server that rejected the request wants no other
        request from this entry, in seconds; 0 if it does not say.
      malformed: The names of those of these fields, and of the load's pace,
        whose header cannot be parsed; the value that the server reported before
        stays in force.
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
    """The metadata that the entry adds to a request that it forwards.

    Attributes:
      server_id: The only server that may run the request.
      expiry: Until when an answer of the server is of use.
      customer: The customer's name; empty for a request without a key.
      version: The version that the weights must have; None for any.
      priority: 0 to 9, where 0 is the highest; None leaves it to the server.
      last_event_id: The event after which a stream resumes; None keeps what
        the caller sent.
    """

    server_id: str
    expiry: expiry_lib.Expiry
    customer: str = ""
    version: int | None = None
    priority: int | None = None
    last_event_id: str | None = None
