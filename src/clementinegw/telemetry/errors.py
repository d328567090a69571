"""Describes unexpected errors in log lines."""

import pathlib
import traceback

_MAX_TEXT = 200


def describe(error: BaseException | None) -> dict[str, str]:
    """Returns the fields of a log line: the error and where it was raised.

    Args:
      error: An error that was caught; None for empty fields.
    """
    if error is None:
        return {"error": "", "at": ""}
    return {
        "error": f"{type(error).__name__}: {error}"[:_MAX_TEXT],
        "at": _innermost_frame(error),
    }


def task_name(error: BaseException, skipped_module: str) -> str:
    """Returns the outermost function that an error passed.

    Args:
      error: An error that was caught.
      skipped_module: The package of the framework that runs the task, whose
        functions are left out.
    """
    for frame, _ in traceback.walk_tb(error.__traceback__):
        package = frame.f_globals.get("__name__", "").partition(".")[0]
        if package != skipped_module:
            return frame.f_code.co_qualname
    return ""


def _innermost_frame(error: BaseException) -> str:
    """Returns the file and the line that raised an error."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    frame = frames[-1]
    return f"{pathlib.PurePath(frame.filename).name}:{frame.lineno}"
