"""Formats validation errors as one line: JSON path, expected, found."""

import difflib
import json
import typing
from typing import Any

import pydantic

_MAX_FOUND_CHARS = 60


def dump_json(value: Any) -> bytes:
    """Returns the canonical JSON text of a value: sorted keys, no spaces.

    Raises:
      ValueError: A float is not finite.
    """
    return json.dumps(
        value,
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
        allow_nan=False,
    ).encode()


def json_path(location: tuple[int | str, ...]) -> str:
    """Returns a location as a JSON path such as `$.seeds[1]`."""
    steps = (
        f"[{step}]" if isinstance(step, int) else f".{step}"
        for step in location
        if step != "[key]"
    )
    return "$" + "".join(steps)


def closest_match(name: str, known: list[str]) -> str | None:
    """Returns the known name closest to a mistyped one, or None."""
    close = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    return close[0] if close else None


def _find_model(annotation: Any) -> type[pydantic.BaseModel] | None:
    """Returns the model in an annotation such as `Service | None`."""
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    for argument in typing.get_args(annotation):
        found = _find_model(argument)
        if found is not None:
            return found
    return None


def _field_names(model: type[pydantic.BaseModel]) -> dict[str, Any]:
    return {
        field.alias or name: field.annotation
        for name, field in model.model_fields.items()
    }


def known_keys(
    model: type[pydantic.BaseModel], parent: tuple[int | str, ...]
) -> list[str]:
    """Returns the keys of the model at a location."""
    current: type[pydantic.BaseModel] | None = model
    for step in parent:
        if current is None:
            return []
        fields = _field_names(current)
        if step in fields:
            current = _find_model(fields[str(step)])
    return list(_field_names(current)) if current else []


def _clip(value: Any) -> str:
    text = json.dumps(value, default=str, ensure_ascii=False)
    if len(text) > _MAX_FOUND_CHARS:
        text = text[:_MAX_FOUND_CHARS] + "..."
    return text


def _describe_unknown_key(detail: Any, model: type[pydantic.BaseModel]) -> str:
    location = detail["loc"]
    known = known_keys(model, location[:-1])
    guess = closest_match(str(location[-1]), known)
    hint = f'; did you mean "{guess}"?' if guess else ""
    return (
        f"{json_path(location)}: expected one of {', '.join(known)},"
        f' found "{location[-1]}"{hint}'
    )


def _describe_other(detail: Any) -> str:
    location = json_path(detail["loc"])
    message = detail["msg"]
    if detail["type"] == "value_error":
        message = message.removeprefix("Value error, ")
        if location == "$":
            return message if message.startswith("$") else f"$.{message}"
        message = message.removeprefix("expected ")
        return f"{location}: expected {message}, found {_clip(detail['input'])}"
    if detail["type"] == "missing":
        return f"{location}: expected a value, found none"
    if detail["type"] == "json_invalid":
        return f"$: expected JSON, found: {message}"
    expected = message.removeprefix("Input should ").removeprefix("be ")
    expected = expected.replace("String should", "a text that should")
    return f"{location}: expected {expected}, found {_clip(detail['input'])}"


def describe(
    error: pydantic.ValidationError, model: type[pydantic.BaseModel]
) -> str:
    """Returns the first error as one line, and the number of other errors."""
    details = error.errors(include_url=False)
    # A mistyped key is also reported as a missing one; the operator has to
    # correct the mistyped one.
    details.sort(key=lambda detail: detail["type"] != "extra_forbidden")
    first = details[0]
    if first["type"] == "extra_forbidden":
        line = _describe_unknown_key(first, model)
    else:
        line = _describe_other(first)
    if len(details) > 1:
        line += f" (and {len(details) - 1} more)"
    return line.replace("\n", " ")
