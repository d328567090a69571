"""Types of the capacity model: sizes, slopes, rows and row definitions."""

from collections.abc import Callable, Mapping
import dataclasses
import enum


class Role(enum.StrEnum):
    """The process or service whose capacity a row describes."""

    ENTRY = "entry"
    AGENT = "agent"
    COMMAND = "operator's command"
    LOG = "platform log"


class Kind(enum.StrEnum):
    """The resource that a row measures."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor time"
    MEMORY = "memory"


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """The sizes and budgets of a deployment.

    Attributes:
      entries: Entry instances.
      agents: Backend server instances, each with its agent.
      failure_domains: Failure domains; entries and agents are spread evenly.
      requests_per_s: Requests per second at peak load.
      tokens_per_s: Tokens generated per second at peak load.
      keyed_share: The fraction of requests that are claimed in the log.
      claim_horizon_s: How long a claim is kept, in seconds.
      subset_size: Agents of its failure domain that an entry connects to.
      replicas: Instances that receive one new version.
      chunks: Number of chunks in one version.
      changes_per_day: Changes to the settings per day.
      budget_core_percent: Processor time for control, in percent of a core.
      budget_memory_mb: Resident memory of a process, in MB.
      budget_control_kb_per_s: Control traffic of a process, sent and
        received, in KB/s.
      budget_appends_per_s: Appends per second that the log accepts.
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
        """The number of processes in the system."""
        return self.entries + self.agents

    @property
    def members_per_domain(self) -> float:
        """The mean number of processes in a failure domain."""
        return self.members / self.failure_domains


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """One measured coefficient of the capacity model.

    Attributes:
      name: The name by which rows refer to it.
      value: The measured value; None if it has not been measured.
      unit: The unit of the value.
      command: The command that repeats the measurement.
      note: The conditions under which it holds.
    """

    name: str
    value: float | None
    unit: str
    command: str
    note: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the capacity table.

    Attributes:
      role: The process or service that the row describes.
      kind: The resource that the row measures.
      what: A description of the measured load.
      value: The computed value; None if a slope has not been measured.
      unit: The unit of the value.
      budget: The maximum value; None if there is no limit.
      slopes: The names of the slopes in the formula.
      mechanism: The mechanism that limits the value.
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
        """The used fraction of the budget; None if value or budget is absent.

        A budget of zero counts as absent.
        """
        if self.value is None or not self.budget:
            return None
        return self.value / self.budget


Slopes = Mapping[str, Slope]
Formula = Callable[[Sizes, Mapping[str, float]], float]


@dataclasses.dataclass(frozen=True, slots=True)
class RowDefinition:
    """The definition of how one row is computed.

    Attributes:
      role: The process or service that the row describes.
      kind: The resource that the row measures.
      what: A description of the measured load.
      unit: The unit of the value.
      slopes: The names of the slopes that the formula needs.
      formula: Computes the value from sizes and slopes.
      mechanism: The mechanism that limits the value.
      budget: Returns the maximum value for some sizes; None if there is no
        limit.
    """

    role: Role
    kind: Kind
    what: str
    unit: str
    slopes: tuple[str, ...]
    formula: Formula
    mechanism: str
    budget: Callable[[Sizes], float | None] = lambda sizes: None
