"""Reads sizes from a user's file and the slopes that ship with the package."""

import importlib.resources
import json
import pathlib

import pydantic

from clementinegw import exceptions
from clementinegw.capacity import quantities

_SLOPES_FILE = "slopes.json"
_TARGET = quantities.Sizes()


class SizesModel(pydantic.BaseModel):
    """A user's sizes; omitted fields take the two-year target's values."""

    model_config = pydantic.ConfigDict(extra="forbid")

    entries: pydantic.PositiveInt = _TARGET.entries
    agents: pydantic.PositiveInt = _TARGET.agents
    failure_domains: pydantic.PositiveInt = _TARGET.failure_domains
    requests_per_s: pydantic.NonNegativeFloat = _TARGET.requests_per_s
    tokens_per_s: pydantic.NonNegativeFloat = _TARGET.tokens_per_s
    keyed_share: float = pydantic.Field(_TARGET.keyed_share, ge=0, le=1)
    claim_horizon_s: pydantic.NonNegativeFloat = _TARGET.claim_horizon_s
    subset_size: pydantic.PositiveInt = _TARGET.subset_size
    replicas: pydantic.NonNegativeInt = _TARGET.replicas
    chunks: pydantic.NonNegativeInt = _TARGET.chunks
    changes_per_day: pydantic.NonNegativeFloat = _TARGET.changes_per_day
    budget_core_percent: pydantic.PositiveFloat = _TARGET.budget_core_percent
    budget_memory_mb: pydantic.PositiveFloat = _TARGET.budget_memory_mb
    budget_control_kb_per_s: pydantic.PositiveFloat = (
        _TARGET.budget_control_kb_per_s
    )
    budget_appends_per_s: pydantic.PositiveFloat = _TARGET.budget_appends_per_s


class SlopeModel(pydantic.BaseModel):
    """One slope in the package's slopes file."""

    model_config = pydantic.ConfigDict(extra="forbid")

    name: str
    value: float | None
    unit: str
    command: str
    note: str


_SLOPES = pydantic.TypeAdapter(list[SlopeModel])


def read_sizes(path: str) -> quantities.Sizes:
    """Reads sizes from a JSON file.

    Raises:
      exceptions.UsageError: The file cannot be read or is not valid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        sizes = SizesModel.model_validate_json(text)
    except OSError as error:
        raise exceptions.UsageError(
            f"--sizes={path}: {error.strerror}"
        ) from error
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "the file"
        raise exceptions.UsageError(
            f"--sizes={path}: {field}: {first['msg']}"
        ) from error
    return quantities.Sizes(**sizes.model_dump())


def read_slopes() -> dict[str, quantities.Slope]:
    """Returns the slopes that ship with the package, by name."""
    file = importlib.resources.files(__package__) / _SLOPES_FILE
    loaded = _SLOPES.validate_python(json.loads(file.read_text("utf-8")))
    return {
        slope.name: quantities.Slope(**slope.model_dump()) for slope in loaded
    }
