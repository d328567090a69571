"""Exceptions with a message for the user and the exit code of a command.

Expected results of a request, a rollout or a settings change are values and not
exceptions; see `clementinegw.types`. An exception ends a command, a connection
or a call to an external system.
"""


class ClementineError(Exception):
    """Base class of the errors that are shown to users.

    Attributes:
      message: One line with the location of the error and what was expected.
    """

    exit_code = 1

    def __init__(self, message: str):
        super().__init__(message)
        self.message = message


class UsageError(ClementineError):
    """A flag or argument is invalid."""

    exit_code = 2


class SettingsError(ClementineError):
    """An instance file or a settings tree is invalid."""

    exit_code = 3


class PlatformError(ClementineError):
    """The platform's log, list, store or origin did not answer as expected."""

    exit_code = 4


class PlatformUnavailable(PlatformError):
    """The platform could not be reached or refused the call temporarily.

    The call may have taken effect, since an answer can be lost after the
    effect. Callers read to find out.

    Attributes:
      reason: The reason in the name of the counter, such as `timeout`.
    """

    def __init__(self, message: str, reason: str = ""):
        super().__init__(message)
        self.reason = reason


class PlatformRefused(PlatformUnavailable):
    """The platform refused or was not reached; the call had no effect."""


class BackendError(ClementineError):
    """A backend server did not answer as expected."""

    exit_code = 4


class BackendUnreachable(BackendError):
    """There was no connection to the backend server; nothing was sent."""


class CallExpired(BackendUnreachable):
    """What the call relies on is no longer valid; nothing was sent."""


class BackendLost(BackendError):
    """Connection or answer broke off; the call may have taken effect."""


class BackendStalled(BackendLost):
    """The backend server keeps the connection open but sends nothing."""


class BlobMissing(PlatformError):
    """The weight store or the origin has no blob of that name."""


class ConnectionLost(ClementineError):
    """A connection between two processes of the system was lost."""

    exit_code = 4


class DecodeError(ClementineError):
    """Bytes from another process, the log or a file could not be decoded."""

    exit_code = 4


class CheckFailed(ClementineError):
    """A demo, benchmark, matrix or scenario found a violated guarantee."""

    exit_code = 5


class InvariantError(ClementineError):
    """An invariant of the program is violated; the process must stop."""

    exit_code = 70
