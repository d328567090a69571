"""Computes the rows of the capacity table from sizes and measured slopes.

A slope is the result of one measurement; a row multiplies slopes by sizes. A
row that needs an unmeasured slope has no value; no estimate replaces it.
"""

from clementinegw.capacity import _row_definitions
from clementinegw.capacity import quantities


def compute_rows(
    sizes: quantities.Sizes, slopes: quantities.Slopes
) -> list[quantities.Row]:
    """Returns the rows of the capacity table for the given sizes.

    Args:
      sizes: The sizes of the deployment.
      slopes: The slopes by name.

    Raises:
      KeyError: A slope that a row needs is missing from `slopes`.
    """
    return [
        _compute_row(definition, sizes, slopes)
        for definition in _row_definitions.ROW_DEFINITIONS
    ]


def bottleneck(rows: list[quantities.Row]) -> quantities.Row | None:
    """Returns the row that uses the largest share of its budget, if any."""
    bounded = [row for row in rows if row.used is not None]
    return max(bounded, key=lambda row: row.used or 0.0, default=None)


def _compute_row(
    definition: quantities.RowDefinition,
    sizes: quantities.Sizes,
    slopes: quantities.Slopes,
) -> quantities.Row:
    values = {name: slopes[name].value for name in definition.slopes}
    measured = {
        name: value for name, value in values.items() if value is not None
    }
    value = None
    if len(measured) == len(values):
        value = definition.formula(sizes, measured)
    return quantities.Row(
        definition.role,
        definition.kind,
        definition.what,
        value,
        definition.unit,
        definition.budget(sizes),
        definition.slopes,
        definition.mechanism,
    )
