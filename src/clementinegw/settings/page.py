"""Writes docs/settings.md from the models.

Run `python -m clementinegw.settings.page > docs/settings.md`. A test compares
the page with what this module returns.
"""

import json
import sys
import typing
from typing import Any

import pydantic

from clementinegw.settings import knobs
from clementinegw.settings import model

_HEADER = """# Settings

This page is written by `python -m clementinegw.settings.page`; do not edit it.

Settings are JSON. Two kinds of file hold them: the *instance file*, which one
process reads at its start, and the *settings tree*, which operators change with
`clementinegw settings` and which is in force on every process within seconds.
Unknown keys are refused, and the nearest known one is named.

A knob may be set at five levels: `defaults`, then the `settings` of a region, a
failure domain, a service and a customer. The last level that names it wins.
`clementinegw settings explain GROUP.KNOB` shows the value at a place and the
level it comes from. Knobs of `replication` and `security` are read at
`defaults` alone, and at `defaults`, region and failure domain, in that order.
"""

_TREE_MODELS: tuple[tuple[str, type[knobs.Model]], ...] = (
    ("The tree", model.Tree),
    ("`regions.NAME`", model.Region),
    ("`failure_domains.NAME`", model.FailureDomain),
    ("`services.NAME`", model.Service),
    ("`services.NAME.model` and `.previous`", model.ModelVersion),
    ("`services.NAME.adapters[]`", model.Adapter),
    ("`services.NAME.operations[]`", model.Operation),
    ("`customers.NAME`", model.Customer),
)
_FILE_MODELS: tuple[tuple[str, type[knobs.Model]], ...] = (
    ("The file", model.InstanceFile),
    ("`place`", model.PlaceModel),
    ("`listen`", model.Listen),
    ("`platform`", model.Platform),
    ("`backend`", model.Backend),
)
_TYPE_NAMES = {
    "int": "integer",
    "float": "number",
    "str": "text",
    "bool": "true or false",
    "Address": "`HOST:PORT`",
}
_BOUNDS = (("ge", "at least"), ("gt", "above"), ("le", "at most"))


def _type_name(annotation: Any) -> str:
    """Returns a type as a reader of JSON calls it."""
    origin, arguments = (
        typing.get_origin(annotation),
        typing.get_args(annotation),
    )
    if origin is typing.Literal:
        return ", ".join(f"`{value}`" for value in arguments)
    if origin is typing.Annotated:
        return _type_name(arguments[0])
    if origin is tuple:
        return f"list of {_type_name(arguments[0])}"
    if origin is dict:
        return f"object of {_type_name(arguments[1])} by name"
    present = [a for a in arguments if a is not type(None)]
    if present:
        return _type_name(present[0])
    if hasattr(annotation, "__members__"):
        return ", ".join(f"`{member.value}`" for member in annotation)
    if isinstance(annotation, type) and issubclass(annotation, knobs.Model):
        return "object"
    name = getattr(annotation, "__name__", str(annotation))
    return _TYPE_NAMES.get(name, name)


def _bounds(field: Any) -> str:
    found = []
    for constraint in field.metadata:
        for name, words in _BOUNDS:
            value = getattr(constraint, name, None)
            if value is not None:
                found.append(f"{words} {_format_number(value)}")
    return ", ".join(found)


def _format_number(value: float) -> str:
    return str(int(value)) if value == int(value) else str(value)


def _default(field: Any) -> str:
    if field.is_required():
        return "required"
    if field.default_factory is not None or isinstance(
        field.default, knobs.Model
    ):
        return "empty"
    value = pydantic.TypeAdapter(Any).dump_python(field.default, mode="json")
    if value is None:
        return "none"
    return f"`{json.dumps(value)}`"


def _rows(declared: type[knobs.Model]) -> list[str]:
    lines = ["| key | type | default | meaning |", "|---|---|---|---|"]
    for name, field in declared.model_fields.items():
        kind = _type_name(field.annotation)
        bounds = _bounds(field)
        if bounds:
            kind += f", {bounds}"
        meaning = field.description or _type_summary(field.annotation)
        key = field.alias or name
        lines.append(f"| `{key}` | {kind} | {_default(field)} | {meaning} |")
    return lines


def _type_summary(annotation: Any) -> str:
    if annotation is knobs.Knobs:
        return "Knobs, see below."
    return "See below."


def _section(title: str, declared: type[knobs.Model]) -> list[str]:
    summary = (declared.__doc__ or "").splitlines()[0]
    return [f"### {title}", "", summary, "", *_rows(declared), ""]


def render() -> str:
    """Returns the page."""
    lines = [_HEADER, "## Knobs", ""]
    for name, field in knobs.Knobs.model_fields.items():
        group = typing.cast(type[knobs.Model], field.annotation)
        lines += _section(f"`{name}`", group)
    lines += ["## The settings tree", ""]
    for title, declared in _TREE_MODELS:
        lines += _section(title, declared)
    lines += ["## The instance file", ""]
    for title, declared in _FILE_MODELS:
        lines += _section(title, declared)
    return "\n".join(lines).rstrip() + "\n"


if __name__ == "__main__":
    sys.stdout.write(render())
