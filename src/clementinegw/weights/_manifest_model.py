"""The JSON schema of a manifest and its validation."""

import pydantic

from clementinegw import exceptions
from clementinegw.weights import manifest as manifests

_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:+-]{0,127}$"


class File(pydantic.BaseModel):
    """A file entry in the JSON document."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    path: str = pydantic.Field(min_length=1, max_length=1024)
    size: int = pydantic.Field(ge=0, le=1 << 44)


class Manifest(pydantic.BaseModel):
    """The JSON document of a manifest."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    # Not named `schema`, which would shadow an attribute of pydantic.
    schema_number: int = pydantic.Field(
        alias="schema", ge=manifests.SCHEMA_VERSION, le=manifests.SCHEMA_VERSION
    )
    model: str = pydantic.Field(pattern=_NAME_PATTERN)
    version: str = pydantic.Field(pattern=_NAME_PATTERN)
    chunk_bytes: int = pydantic.Field(
        ge=manifests.MIN_CHUNK_BYTES, le=manifests.MAX_CHUNK_BYTES
    )
    files: list[File] = pydantic.Field(
        min_length=1, max_length=manifests.MAX_FILES
    )
    chunks: list[str] = pydantic.Field(
        min_length=1, max_length=manifests.MAX_CHUNKS
    )


def parse(data: bytes) -> Manifest:
    """Parses and validates the JSON document of a manifest.

    Raises:
      exceptions.DecodeError: The data is not a valid manifest.
    """
    try:
        return Manifest.model_validate_json(data)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"]) or "document"
        raise exceptions.DecodeError(
            f"manifest: {place}: {first['msg']}"
        ) from error
