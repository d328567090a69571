"""Writes a page of plots of small measurements: clementinegw bench report.

The plots show the time until all replicas serve a new version against their
number, with the bound and the baselines; goodput against offered load by
routing policy; and the time until a change of the settings is in force. All
measurements run in virtual time with one seed.
Requires the optional extra `report` (matplotlib).
"""

import asyncio
import base64
from collections.abc import Sequence
import dataclasses
import html
import importlib
import io
import pathlib
import types as python_types
from typing import Any

from absl import flags

from clementinegw import exceptions
from clementinegw.bench import requests
from clementinegw.bench import rollout
from clementinegw.bench import settings

_ROLLOUT_POLICIES = ("swarm", "tree", "origin")
_ROUTING_POLICIES = ("cache_aware", "round_robin")
_ROLLOUT_FLAGS = ("--chunks=16", "--parts=4", "--live_per_s=1")
_REQUEST_FLAGS = ("--entries=2", "--workers=4", "--seconds=25")
_SETTINGS_FLAGS = ("--virtual", "--processes=60")
_DPI = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a plot.

    Attributes:
      label: Name of the line in the legend.
      xs: Values on the x axis.
      ys: Measured values, one for each of `xs`.
    """

    label: str
    xs: tuple[float, ...]
    ys: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Plot:
    """One plot of the page.

    Attributes:
      title: Heading of the plot.
      x_label: Quantity and unit.
      y_label: Quantity and unit.
      lines: Lines of the plot.
      note: Command and seed of the measurement.
    """

    title: str
    x_label: str
    y_label: str
    lines: tuple[Line, ...]
    note: str


def define(flag_values: flags.FlagValues) -> None:
    """Defines the flags of the report."""
    flags.DEFINE_string(
        "out", "report.html", "The page to write.", flag_values=flag_values
    )
    flags.DEFINE_list(
        "replicas",
        ["4", "8", "16"],
        "Numbers of replicas that a version is rolled out to.",
        flag_values=flag_values,
    )
    flags.DEFINE_list(
        "loads",
        ["0.5", "0.9", "1.3"],
        "Offered loads; 1.0 is the workers' capacity.",
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "seed", 1, "The seed of every run.", flag_values=flag_values
    )


async def run(flag_values: flags.FlagValues) -> dict[str, Any]:
    """Measures, writes the page and returns the fields of the JSON line.

    Raises:
      exceptions.UsageError: matplotlib is not installed, a value is not a
        number, or the page cannot be written.
    """
    pyplot = _pyplot()
    replicas = [int(n) for n in _numbers("replicas", flag_values.replicas)]
    loads = _numbers("loads", flag_values.loads)
    plots = [
        await _plot_rollouts(replicas, flag_values.seed),
        await _plot_requests(loads, flag_values.seed),
        await _plot_settings(flag_values.seed),
    ]
    page = _page([(plot, _draw(pyplot, plot)) for plot in plots])
    _write(flag_values.out, page)
    return {
        "page": flag_values.out,
        "plots": len(plots),
        "bytes": len(page),
        "measured": [dataclasses.asdict(plot) for plot in plots],
    }


def _write(path: str, page: str) -> None:
    try:
        pathlib.Path(path).write_text(page, encoding="utf-8")
    except OSError as error:
        raise exceptions.UsageError(
            f"--out={path}: {error.strerror}"
        ) from error


def _pyplot() -> python_types.ModuleType:
    try:
        matplotlib = importlib.import_module("matplotlib")
    except ImportError as error:
        raise exceptions.UsageError(
            "bench report needs matplotlib: pip install 'clementinegw[report]'"
        ) from error
    matplotlib.use("agg")
    return importlib.import_module("matplotlib.pyplot")


def _numbers(name: str, values: Sequence[str]) -> list[float]:
    try:
        return [float(value) for value in values]
    except ValueError as error:
        raise exceptions.UsageError(
            f"--{name}: expected numbers, found {','.join(values)!r}"
        ) from error


async def _plot_rollouts(replicas: list[int], seed: int) -> Plot:
    lines = []
    bound: list[float] = []
    for policy in _ROLLOUT_POLICIES:
        results = [
            await _measure(
                rollout,
                *_ROLLOUT_FLAGS,
                f"--replicas={count}",
                f"--policy={policy}",
                f"--seed={seed}",
            )
            for count in replicas
        ]
        bound = [result["bound_seconds"] for result in results]
        seconds = [result["seconds_to_all"] for result in results]
        lines.append(Line(policy, tuple(replicas), tuple(seconds)))
    lines.append(Line("bound", tuple(replicas), tuple(bound)))
    return Plot(
        "Time until all replicas serve a new version",
        "replicas",
        "seconds",
        tuple(lines),
        f"bench rollout {' '.join(_ROLLOUT_FLAGS)}, seed {seed}.",
    )


async def _plot_requests(loads: list[float], seed: int) -> Plot:
    lines = []
    for policy in _ROUTING_POLICIES:
        results = [
            await _measure(
                requests,
                *_REQUEST_FLAGS,
                f"--load={load}",
                f"--policy={policy}",
                f"--seed={seed}",
            )
            for load in loads
        ]
        goodput = [result["goodput_ratio"] for result in results]
        lines.append(Line(policy, tuple(loads), tuple(goodput)))
    return Plot(
        "Goodput against offered load",
        "offered load, share of capacity",
        "answered in time, share of capacity",
        tuple(lines),
        f"bench requests {' '.join(_REQUEST_FLAGS)}, seed {seed}.",
    )


async def _plot_settings(seed: int) -> Plot:
    result = await _measure(settings, *_SETTINGS_FLAGS, f"--seed={seed}")
    latencies = tuple(
        result[f"{name}_in_force_s"] for name in ("p50", "p99", "max")
    )
    return Plot(
        "Time until a change of the settings is in force",
        "share of changes and processes, %",
        "seconds",
        (Line("in force", (50.0, 99.0, 100.0), latencies),),
        f"bench settings {' '.join(_SETTINGS_FLAGS)}, seed {seed}.",
    )


async def _measure(bench: python_types.ModuleType, *args: str) -> dict:
    values = flags.FlagValues()
    bench.define(values)
    values(["report", *args])
    # Some measurements run their own event loop, in virtual time.
    return await asyncio.to_thread(asyncio.run, bench.run(values))


def _draw(pyplot: python_types.ModuleType, plot: Plot) -> str:
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for line in plot.lines:
        axes.plot(line.xs, line.ys, marker="o", label=line.label)
    axes.set_xlabel(plot.x_label)
    axes.set_ylabel(plot.y_label)
    axes.set_ylim(bottom=0)
    axes.legend()
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=_DPI)
    pyplot.close(figure)
    return base64.b64encode(buffer.getvalue()).decode()


def _page(rendered: list[tuple[Plot, str]]) -> str:
    parts = [
        "<!doctype html>",
        '<html lang="en"><meta charset="utf-8">',
        "<title>clementinegw measurements</title>",
        "<h1>clementinegw measurements</h1>",
        "<p>Measured by this run on this machine, in virtual time.</p>",
    ]
    for plot, image in rendered:
        title = html.escape(plot.title)
        parts.append(f"<h2>{title}</h2>")
        source = f"data:image/png;base64,{image}"
        parts.append(f'<img alt="{title}" src="{source}">')
        parts.append(f"<p>{html.escape(plot.note)}</p>")
    parts.append("</html>")
    return "\n".join(parts)
