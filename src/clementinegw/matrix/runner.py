"""Plays the matrix, whole or a part of it, and puts the report together."""

from collections.abc import Iterable
import dataclasses
import random
from typing import Any

from clementinegw.matrix import engine
from clementinegw.matrix import paths
from clementinegw.matrix import players
from clementinegw.matrix import types


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What the matrix found.

    Attributes:
      steps: Steps over all paths.
      faults: Different faults.
      cells: Single cells played.
      cells_possible: Single cells there are.
      pairs: Pairs played.
      pairs_possible: Pairs there are.
      impossible: Cells that cannot occur.
      unstruck: Cells whose step was never reached.
      failed: Cells that broke a promise.
      guards: What came of each broken guard.
    """

    steps: int
    faults: int
    cells: int
    cells_possible: int
    pairs: int
    pairs_possible: int
    impossible: tuple[engine.Impossible, ...]
    unstruck: tuple[types.Cell, ...]
    failed: tuple[types.Result, ...]
    guards: tuple[engine.Caught, ...]

    @property
    def held(self) -> int:
        """Cells and pairs in which every promise was kept."""
        return self.cells + self.pairs - len(self.failed)

    @property
    def uncaught(self) -> list[str]:
        """Guards whose absence turned no cell red."""
        return [caught.guard for caught in self.guards if caught.cell is None]

    def to_json(self) -> dict[str, Any]:
        """Returns the report by the keys that stay stable."""
        return {
            "steps": self.steps,
            "faults": self.faults,
            "cells": self.cells,
            "cells_possible": self.cells_possible,
            "pairs": self.pairs,
            "pairs_possible": self.pairs_possible,
            "held": self.held,
            "failed": [
                {"cell": str(result.cell), "broken": list(result.broken)}
                for result in self.failed
            ],
            "impossible": [
                {"cell": str(i.cell), "why": i.why} for i in self.impossible
            ],
            "unstruck": [str(cell) for cell in self.unstruck],
            "guards": [
                {
                    "guard": caught.guard,
                    "caught": caught.cell is not None,
                    "cell": str(caught.cell) if caught.cell else "",
                    "broken": list(caught.broken),
                }
                for caught in self.guards
            ],
        }


def run(
    names: Iterable[str],
    pairs: int,
    seed: int,
    player: players.Player,
    break_guards: bool = True,
    one_in: int = 1,
) -> Report:
    """Plays single cells, pairs and broken guards.

    Args:
      names: The paths to play.
      pairs: How many pairs of each path; negative for all.
      seed: Chooses the pairs.
      player: Who plays.
      break_guards: Whether guards are broken as well.
      one_in: Plays one cell in so many, another part with another seed.
    """
    known = paths.all_paths()
    chosen = [known[name] for name in names]
    rng = random.Random(seed)
    possible = [cell for path in chosen for cell in engine.possible(path)]
    singles = possible[seed % one_in :: one_in]
    doubles = [
        cell
        for path in chosen
        for cell in engine.sample_pairs(path, pairs, rng)
    ]
    guards = [
        guard
        for guard in paths.all_guards().values()
        if break_guards and set(guard.paths) <= {p.name for p in chosen}
    ]
    results = player.play(engine.play, singles + doubles)
    caught = player.play(_play_broken, [guard.name for guard in guards])
    return Report(
        steps=sum(len(path.steps) for path in chosen),
        faults=len({f.name for path in chosen for f in path.faults}),
        cells=len(singles),
        cells_possible=len(possible),
        pairs=len(doubles),
        pairs_possible=sum(_pairs_of(path) for path in chosen),
        impossible=tuple(i for p in chosen for i in engine.impossible(p)),
        unstruck=tuple(
            result.cell
            for result in results[: len(singles)]
            if result.cell.injections and not result.struck
        ),
        failed=tuple(result for result in results if not result.held),
        guards=tuple(caught),
    )


def _pairs_of(path: types.Path) -> int:
    count = len(engine.possible(path)) - 1
    return count * (count - 1) // 2


def _play_broken(name: str) -> engine.Caught:
    return engine.play_broken(paths.all_guards()[name])
