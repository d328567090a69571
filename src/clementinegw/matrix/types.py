"""Steps, faults, cells and what came of them."""

from collections.abc import Callable
import dataclasses
from typing import Any, Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Injection:
    """One fault at one step.

    Attributes:
      step: The step at whose first occurrence the fault strikes.
      fault: The fault's name.
    """

    step: str
    fault: str

    def __str__(self) -> str:
        return f"{self.fault}@{self.step}"


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One entry of the matrix: a path with one fault, or with two.

    Attributes:
      path: The path's name.
      injections: The faults, in the order of their steps.
    """

    path: str
    injections: tuple[Injection, ...]

    def __str__(self) -> str:
        return ":".join([self.path, *map(str, self.injections)])


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What came of one cell.

    Attributes:
      cell: The cell.
      broken: The promises that were broken; empty when all held.
      struck: How many of its faults struck; a second fault may find that its
        step is never reached.
    """

    cell: Cell
    broken: tuple[str, ...]
    struck: int

    @property
    def held(self) -> bool:
        """Whether every promise was kept."""
        return not self.broken


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong.

    Attributes:
      name: Its name.
      strike: Does it to a running scene at this moment.
      only_at: The steps at which it can occur; empty for all.
      why_not: Why it cannot occur at the others.
      graceful: It is part of ordinary operation and may cut nothing off.
    """

    name: str
    strike: Callable[[Any], None]
    only_at: frozenset[str] = frozenset()
    why_not: str = ""
    graceful: bool = False

    def obstacle(self, step: str) -> str:
        """Returns why it cannot occur at a step; empty when it can."""
        if not self.only_at or step in self.only_at:
            return ""
        return self.why_not


class Scene(Protocol):
    """One path played once, with hooks at its steps."""

    def play(self) -> tuple[str, ...]:
        """Plays it in virtual time; returns the promises broken."""

    @property
    def struck(self) -> int:
        """How many faults have struck."""


@dataclasses.dataclass(frozen=True, slots=True)
class Path:
    """One way through the system.

    Attributes:
      name: Its name.
      steps: Its steps in the order in which they are reached without faults.
      faults: What can go wrong on it.
      scene: Makes a scene for some injections.
    """

    name: str
    steps: tuple[str, ...]
    faults: tuple[Fault, ...]
    scene: Callable[["Path", tuple[Injection, ...]], Scene]

    def fault(self, name: str) -> Fault:
        """Returns a fault by its name."""
        return next(fault for fault in self.faults if fault.name == name)
