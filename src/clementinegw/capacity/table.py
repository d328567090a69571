"""Renders capacity rows and slopes as Markdown tables."""

from collections.abc import Iterable, Sequence

from clementinegw.capacity import quantities

_NOT_MEASURED = "not measured"
_PERCENT = 100.0
_HEADERS = ("role", "what", "figure", "budget", "room", "slopes", "mechanism")
_SLOPE_HEADERS = ("slope", "figure", "unit", "measured by", "holds for")


def render(rows: Sequence[quantities.Row]) -> str:
    """Returns the rows as a Markdown table."""
    return _markdown(_HEADERS, (_cells(row) for row in rows))


def render_slopes(slopes: Iterable[quantities.Slope]) -> str:
    """Returns the slopes as a Markdown table."""
    return _markdown(
        _SLOPE_HEADERS,
        (
            (
                slope.name,
                format_number(slope.value),
                slope.unit,
                f"`{slope.command}`",
                slope.note,
            )
            for slope in slopes
        ),
    )


def format_number(value: float | None) -> str:
    """Returns a value with three significant digits, or whole from 1000 up."""
    if value is None:
        return _NOT_MEASURED
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:.0f}"
    return f"{value:.3g}"


def _cells(row: quantities.Row) -> tuple[str, ...]:
    figure = format_number(row.value)
    if row.value is not None:
        figure = f"{figure} {row.unit}"
    budget = (
        "" if row.budget is None else f"{format_number(row.budget)} {row.unit}"
    )
    headroom = ""
    if row.used is not None:
        headroom = f"{(1 - row.used) * _PERCENT:.0f}%"
    return (
        str(row.role),
        f"{row.kind}: {row.what}",
        figure,
        budget,
        headroom,
        ", ".join(row.slopes) or "the sizes",
        row.mechanism,
    )


def _markdown(headers: Sequence[str], body: Iterable[Sequence[str]]) -> str:
    table_rows = [_table_row(headers), _table_row(["---"] * len(headers))]
    table_rows += [_table_row(cells) for cells in body]
    return "\n".join(table_rows)


def _table_row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"
