"""What a scenario file says, as data classes."""

import dataclasses
import enum
from typing import Any

from clementinegw import types
from clementinegw.scenario import errors

Position = errors.Position
ScenarioError = errors.ScenarioError


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A failure domain and its region."""

    name: str
    region: str
    at: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Entry instances in a failure domain."""

    count: int
    place: str
    at: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its workers, spread over the places in turn.

    Attributes:
      name: Its name in the settings tree.
      kind: What its backend servers are.
      workers: How many there are, each with an agent.
      at: Where it is declared.
    """

    name: str
    kind: types.ServiceKind
    workers: int
    at: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer with a weight in the settings tree."""

    name: str
    weight: float
    at: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """A value in the settings tree: at the start, or as a change."""

    path: str
    value: Any
    at: Position


class LoadKind(enum.StrEnum):
    """What a load's requests ask for.

    `POISON` requests crash each backend server that runs them.
    """

    COMPLETIONS = "completions"
    STREAMS = "streams"
    LOOKUPS = "lookups"
    BOOKINGS = "bookings"
    POISON = "poison"


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests at a steady rate.

    Attributes:
      name: By which expectations name it.
      rate: Requests a second.
      kind: What they ask for.
      service: Whom they ask.
      start_s: When the first is sent.
      end_s: When no more are sent.
      customer: Who asks; empty for the default customer.
      priority: How urgent they are.
      deadline_s: How long an answer is of use; None for the settings' default.
      tries: How often a caller that is told "not run" or nothing asks, in all,
        with the same key.
      place: Whose entries they come to; empty for all.
      at: Where it is declared.
    """

    name: str
    rate: float
    kind: LoadKind
    service: str
    start_s: float
    end_s: float
    customer: str
    priority: types.Priority
    deadline_s: float | None
    tries: int
    place: str
    at: Position


class Part(enum.StrEnum):
    """A part of the platform."""

    LOG = "log"
    INSTANCES = "instances"
    STORE = "store"
    ORIGIN = "origin"


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """One process: the n-th entry, or the n-th worker of a service.

    Attributes:
      service: Empty for an entry.
      number: From 1.
      at: Where it is named.
    """

    service: str
    number: int
    at: Position

    def __str__(self) -> str:
        if not self.service:
            return f"entry {self.number}"
        return f"worker {self.number} of {self.service}"


@dataclasses.dataclass(frozen=True, slots=True)
class Declare:
    """An operator declares the version that a service shall serve."""

    service: str
    version: str
    at: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An operator changes one value of the settings tree."""

    setting: Setting
    at: Position


class PartFault(enum.StrEnum):
    """What a part of the platform does wrong."""

    DOWN = "down"
    STALL = "stall"
    SLOW = "slow"
    LOSE_ANSWERS = "lose"
    CORRUPT = "corrupt"
    TRUNCATE = "truncate"
    HEAL = "heal"


@dataclasses.dataclass(frozen=True, slots=True)
class FaultPart:
    """A part of the platform begins, or ends, to fail.

    Attributes:
      part: Which part.
      fault: What it does wrong; `HEAL` ends all of it.
      amount: Seconds for `SLOW`, calls for `LOSE_ANSWERS` and `CORRUPT`.
      at: Where it stands.
    """

    part: Part
    fault: PartFault
    amount: float
    at: Position


class ProcessFault(enum.StrEnum):
    """What happens to one process."""

    KILL = "kill"
    START = "start"
    DRAIN = "drain"
    PAUSE = "pause"
    WAKE = "wake"
    CRASH = "crash"
    STALL = "stall"
    HEAL = "heal"


@dataclasses.dataclass(frozen=True, slots=True)
class FaultProcess:
    """Something happens to a process or to its backend server."""

    process: Process
    fault: ProcessFault
    at: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A failure domain is cut off, or joined again.

    Attributes:
      place: Which one.
      other: The other failure domain; empty for the platform.
      joined: Whether the cut is ended.
      at: Where it stands.
    """

    place: str
    other: str
    joined: bool
    at: Position


Action = Declare | Change | FaultPart | FaultProcess | Cut


class Measure(enum.StrEnum):
    """What can be expected, or waited for."""

    OFFERED = "offered"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    LATE = "late"
    P99 = "p99"
    DOUBLED = "doubled"
    LOST = "lost"
    CROSSED = "crossed"
    CUT_OFF = "cut-off"
    FALSE_NOT_RUN = "false-not-run"
    WRONG = "wrong"
    MIXED = "mixed"
    SERVING = "serving"
    IN_FORCE = "in-force"
    COUNTER = "counter"
    ORIGIN_COPIES = "origin-copies"
    RUNS = "runs"


@dataclasses.dataclass(frozen=True, slots=True)
class Quantity:
    """A measure with what it is taken of.

    Attributes:
      measure: What is measured.
      name: A load, a service, a counter or a settings path; empty for all.
      detail: A reason, a version; empty for any.
      process: The process whose counter it is; None for all together.
      value: The settings value that shall be in force.
      at: Where it stands.
    """

    measure: Measure
    name: str
    detail: str
    process: Process | None
    value: Any
    at: Position


class Comparison(enum.StrEnum):
    """How a quantity compares with its bound."""

    EQUAL = "="
    LESS = "<"
    AT_MOST = "<="
    MORE = ">"
    AT_LEAST = ">="


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """What a quantity is compared with.

    Attributes:
      comparison: How.
      value: The number.
      percent: Whether the number is a percentage of the requests offered.
      everyone: Whether it is the number of all processes concerned.
    """

    comparison: Comparison
    value: float
    percent: bool = False
    everyone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A quantity and its bound."""

    quantity: Quantity
    bound: Bound


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Actions at a time, or once a condition holds.

    Attributes:
      time_s: When; None to wait for the condition.
      condition: What is waited for; None to wait for the time.
      actions: What is done then, in order.
      at: Where it stands.
    """

    time_s: float | None
    condition: Condition | None
    actions: tuple[Action, ...]
    at: Position


class When(enum.StrEnum):
    """When an expectation must hold."""

    FINALLY = "finally"
    ALWAYS = "always"
    BY = "by"
    AT = "at"


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """What must hold.

    Attributes:
      when: At the end, all the time, at some moment until a time, or at it.
      time_s: The time of `BY` and `AT`; 0 for the others.
      condition: What must hold.
      text: The line as it was written.
      at: Where it stands.
    """

    when: When
    time_s: float
    condition: Condition
    text: str
    at: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One scenario file.

    Attributes:
      title: What it is about.
      seed: For all that is drawn at random.
      duration_s: How long it runs; loads and events lie within it.
      places: The failure domains.
      entries: The entry instances.
      services: The services with their workers.
      customers: The customers beside the default one.
      settings: Values of the settings tree at the start.
      loads: The requests.
      events: The faults and the operators' doings.
      expectations: What must hold.
    """

    title: str
    seed: int
    duration_s: float
    places: tuple[Place, ...]
    entries: tuple[Entries, ...]
    services: tuple[Service, ...]
    customers: tuple[Customer, ...]
    settings: tuple[Setting, ...]
    loads: tuple[Load, ...]
    events: tuple[Event, ...]
    expectations: tuple[Expectation, ...]
