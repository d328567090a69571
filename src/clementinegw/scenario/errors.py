"""Where in a scenario file something is wrong, and what."""

import dataclasses

from clementinegw import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Where something stands in a file.

    Attributes:
      file: The file's name as it was given.
      line: From 1.
      column: From 1.
    """

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class ScenarioError(exceptions.UsageError):
    """A scenario file does not fit the language, or itself."""

    def __init__(self, at: Position, message: str):
        super().__init__(f"{at}: {message}")
        self.at = at
