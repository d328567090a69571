"""Generates cells from the tables of steps and faults, and plays them."""

from collections.abc import Iterator
import dataclasses
import itertools
import random

from clementinegw.matrix import guards
from clementinegw.matrix import paths
from clementinegw.matrix import types


@dataclasses.dataclass(frozen=True, slots=True)
class Impossible:
    """A cell that cannot occur.

    Attributes:
      cell: The cell.
      why: Why not.
    """

    cell: types.Cell
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class Caught:
    """What came of playing with a broken guard.

    Attributes:
      guard: The guard.
      cell: The first cell that turned red; None when none did.
      broken: The promises that were broken in it.
      played: How many cells were played.
    """

    guard: str
    cell: types.Cell | None
    broken: tuple[str, ...]
    played: int


def cells(path: types.Path) -> Iterator[types.Cell | Impossible]:
    """Generates a path's cells, each fault at each step."""
    for step in path.steps:
        for fault in path.faults:
            cell = types.Cell(path.name, (types.Injection(step, fault.name),))
            obstacle = fault.obstacle(step)
            yield Impossible(cell, obstacle) if obstacle else cell


def possible(path: types.Path) -> list[types.Cell]:
    """Returns a path's cells that can occur, the one without faults first."""
    calm = types.Cell(path.name, ())
    return [calm, *(c for c in cells(path) if isinstance(c, types.Cell))]


def impossible(path: types.Path) -> list[Impossible]:
    """Returns a path's cells that cannot occur, and why."""
    return [c for c in cells(path) if isinstance(c, Impossible)]


def pairs(path: types.Path) -> Iterator[types.Cell]:
    """Generates the pairs of faults, in the order of steps."""
    for one, other in itertools.combinations(possible(path)[1:], 2):
        yield types.Cell(path.name, one.injections + other.injections)


def sample_pairs(
    path: types.Path, count: int, rng: random.Random
) -> list[types.Cell]:
    """Returns some of a path's pairs, the same for the same seed.

    Args:
      path: The path.
      count: How many at most; negative for all.
      rng: Chooses them.
    """
    everything = list(pairs(path))
    if count < 0 or count >= len(everything):
        return everything
    return rng.sample(everything, count)


def play(cell: types.Cell) -> types.Result:
    """Plays one cell."""
    path = paths.all_paths()[cell.path]
    scene = path.scene(path, cell.injections)
    broken = scene.play()
    return types.Result(cell, broken, scene.struck)


def play_broken(guard: guards.Guard) -> Caught:
    """Breaks a guard and plays until a cell turns red."""
    known = paths.all_paths()
    played = 0
    with guards.broken(guard):
        for cell in _candidates(guard, known):
            result = play(cell)
            played += 1
            # Any other promise might be broken by a defect of the patch.
            if guard.promise in result.broken:
                return Caught(guard.name, cell, result.broken, played)
    return Caught(guard.name, None, (), played)


def _candidates(
    guard: guards.Guard, known: dict[str, types.Path]
) -> Iterator[types.Cell]:
    for text in guard.cells:
        yield parse(f"{guard.paths[0]}:{text}")
    for name in guard.paths:
        yield from possible(known[name])


def parse(text: str) -> types.Cell:
    """Returns the cell that `str(cell)` gave."""
    name, *injections = text.split(":")
    return types.Cell(
        name,
        tuple(
            types.Injection(step, fault)
            for fault, _, step in (i.partition("@") for i in injections)
        ),
    )
