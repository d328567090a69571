"""Describes unexpected errors in log lines."""

import pathlib
import traceback

_MAX_TEXT = 200


def describe(error: BaseException) -> dict[str, str]:
    """Returns the fields of a log line: the error and where it was raised.

    Args:
      error: An error that was caught.
    """
    return {
        "error": f"{type(error).__name__}: {error}"[:_MAX_TEXT],
        "at": _innermost_frame(error),
    }


def _innermost_frame(error: BaseException) -> str:
    """Returns the file and the line that raised an error."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    frame = frames[-1]
    return f"{pathlib.PurePath(frame.filename).name}:{frame.lineno}"
