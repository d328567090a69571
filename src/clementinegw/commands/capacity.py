"""`clementinegw capacity`: computes each role's load at given sizes."""

import dataclasses
import json

from absl import flags

from clementinegw import exceptions
from clementinegw.capacity import inputs
from clementinegw.capacity import model
from clementinegw.capacity import quantities
from clementinegw.capacity import table

NAME = "capacity"
HELP = """usage: clementinegw capacity [--sizes=FILE] [--slopes] [--json]

Computes state, messages, processor time and memory of each role from measured
slopes. FILE is a JSON object, for example {"entries": 8, "agents": 10,
"failure_domains": 3, "requests_per_s": 20}; missing sizes take the values of
the two-year target. --slopes also prints the slopes, each with the command that
measures it."""


def define(flag_values) -> None:
    """Defines the command's flags."""
    flags.DEFINE_string(
        "sizes",
        None,
        "A JSON file of sizes; the two-year target by default.",
        flag_values=flag_values,
    )
    flags.DEFINE_boolean(
        "slopes",
        False,
        "Print the slopes and the commands that measure them.",
        flag_values=flag_values,
    )


async def run(args: list[str], flag_values) -> int:
    """Prints the computed rows as a table or as JSON."""
    if args:
        raise exceptions.UsageError(f"{NAME}: unexpected {args[0]!r}")
    sizes = quantities.Sizes()
    if flag_values.sizes is not None:
        sizes = inputs.read_sizes(flag_values.sizes)
    slopes = inputs.read_slopes()
    rows = model.compute_rows(sizes, slopes)
    if flag_values.json:
        print(json.dumps(_as_json(sizes, rows)))
        return 0
    print(table.render(rows))
    print()
    print(_summary(rows))
    if flag_values.slopes:
        print()
        print(table.render_slopes(slopes.values()))
    return 0


def _summary(rows: list[quantities.Row]) -> str:
    first = model.bottleneck(rows)
    unknown = sum(row.value is None for row in rows)
    if first is None or first.used is None:
        return f"No row has a budget; {unknown} rows are not measured."
    return (
        f"Least room of the rows with a budget: {first.role}, {first.what}, "
        f"at {first.used:.0%} of it; {unknown} rows are not measured."
    )


def _as_json(sizes: quantities.Sizes, rows: list[quantities.Row]) -> dict:
    first = model.bottleneck(rows)
    return {
        "sizes": dataclasses.asdict(sizes),
        "rows": [{**dataclasses.asdict(r), "used": r.used} for r in rows],
        "first_to_break": None if first is None else first.what,
        "not_measured": [
            f"{row.role}: {row.what}" for row in rows if row.value is None
        ],
    }
