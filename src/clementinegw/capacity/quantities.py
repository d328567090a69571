"""What capacity is told in: sizes, slopes, rows and their lines."""

from collections.abc import Callable, Mapping
import dataclasses
import enum


class Role(enum.StrEnum):
    """Whose capacity a row is about."""

    ENTRY = "entry"
    AGENT = "agent"
    COMMAND = "operator's command"
    LOG = "platform log"


class Kind(enum.StrEnum):
    """What a row counts."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor time"
    MEMORY = "memory"


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """How large a deployment is.

    Attributes:
      entries: Entry instances.
      agents: Backend server instances, each with its agent.
      failure_domains: Over which both are spread evenly.
      requests_per_s: Requests at the peak.
      tokens_per_s: Tokens generated at the peak.
      keyed_share: The part of requests that are claimed in the log.
      claim_horizon_s: How long a claim is remembered.
      subset_size: Agents of its failure domain that an entry connects to.
      replicas: Instances that one new version goes to.
      chunks: Chunks of one version.
      changes_per_day: Changes of the settings.
      budget_core_percent: Of one core, for control.
      budget_memory_mb: Resident memory of a process.
      budget_control_kb_per_s: Bytes sent and received for control.
      budget_appends_per_s: What the log takes.
    """

    entries: int = 320
    agents: int = 860
    failure_domains: int = 4
    requests_per_s: float = 4_100.0
    tokens_per_s: float = 1_300_000.0
    keyed_share: float = 0.1
    claim_horizon_s: float = 600.0
    subset_size: int = 16
    replicas: int = 560
    chunks: int = 2_048
    changes_per_day: float = 3_200.0
    budget_core_percent: float = 2.5
    budget_memory_mb: float = 128.0
    budget_control_kb_per_s: float = 8.0
    budget_appends_per_s: float = 300.0

    @property
    def members(self) -> int:
        """All processes of the system."""
        return self.entries + self.agents

    @property
    def members_per_domain(self) -> float:
        """The processes of one failure domain."""
        return self.members / self.failure_domains


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """One measured figure.

    Attributes:
      name: What rows call it by.
      value: The figure; None when it has not been measured.
      unit: Its unit.
      command: The command that measures it again.
      note: What it holds for.
    """

    name: str
    value: float | None
    unit: str
    command: str
    note: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One line of the table.

    Attributes:
      role: Whose capacity it is.
      kind: What it counts.
      what: What it is about.
      value: The figure; None when a slope has not been measured.
      unit: Its unit.
      budget: The most it may be; None when there is no bound.
      slopes: The slopes it was worked out from.
      mechanism: What keeps it at that.
    """

    role: Role
    kind: Kind
    what: str
    value: float | None
    unit: str
    budget: float | None
    slopes: tuple[str, ...]
    mechanism: str

    @property
    def used(self) -> float | None:
        """The share of the budget in use; None when it cannot be told."""
        if self.value is None or not self.budget:
            return None
        return self.value / self.budget


Slopes = Mapping[str, Slope]
Formula = Callable[[Sizes, Mapping[str, float]], float]


@dataclasses.dataclass(frozen=True, slots=True)
class RowDefinition:
    """How one row is worked out.

    Attributes:
      role: Whose capacity it is.
      kind: What it counts.
      what: What it is about.
      unit: Its unit.
      slopes: The slopes that the formula needs.
      formula: From sizes and slopes to the figure.
      mechanism: What keeps it at that.
      budget: From sizes to the most it may be; None without a bound.
    """

    role: Role
    kind: Kind
    what: str
    unit: str
    slopes: tuple[str, ...]
    formula: Formula
    mechanism: str
    budget: Callable[[Sizes], float | None] = lambda sizes: None
