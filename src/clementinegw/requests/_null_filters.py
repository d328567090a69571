"""Null implementations of the claim and suspect filters."""

from clementinegw import types
from clementinegw.requests import types as request_types

Request = request_types.Request
_RETRY_AFTER_S = 1.0


class NoClaims:
    """Refuses every claim; enough if all operations are idempotent."""

    async def claim(self, request: Request) -> request_types.ClaimResult:
        """Returns a refusal, since claims need a log."""
        return request_types.ClaimRefused(
            types.NotRun(types.NotRunReason.LOG_UNAVAILABLE, _RETRY_AFTER_S)
        )

    def settle(self, request: Request, outcome: types.Outcome) -> None:
        """Does nothing."""


class NoSuspects:
    """Treats no request as a suspect."""

    def check(
        self, request: Request, now: float
    ) -> request_types.SuspectVerdict:
        """Returns Clear."""
        return request_types.Clear()

    async def acquire_lease(
        self, request: Request, wait_s: float
    ) -> request_types.Lease | types.NotRun | None:
        """Returns None, which means that the request need not wait."""
        return None

    def release_lease(self, lease: request_types.Lease) -> None:
        """Does nothing."""

    def completed(self, request: Request) -> None:
        """Does nothing."""
