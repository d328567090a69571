"""Filters that stand in where claims or suspects are not wired."""

from clementinegw import types
from clementinegw.requests import types as request_types

Request = request_types.Request
_RETRY_S = 1.0


class NoClaims:
    """Claims nothing; for services whose operations are all idempotent."""

    async def claim(self, request: Request) -> request_types.ClaimResult:
        """Refuses: without a log there is no claim."""
        return request_types.ClaimRefused(
            types.NotRun(types.NotRunReason.LOG_UNAVAILABLE, _RETRY_S)
        )

    def settle(self, request: Request, outcome: types.Outcome) -> None:
        """Does nothing."""


class NoSuspects:
    """Suspects nobody."""

    def check(
        self, request: Request, now: float
    ) -> request_types.SuspectVerdict:
        """Returns Clear."""
        return request_types.Clear()

    async def acquire_lease(
        self, request: Request, wait_s: float
    ) -> request_types.Lease | types.NotRun | None:
        """Returns None: nobody waits."""
        return None

    def release_lease(self, lease: request_types.Lease) -> None:
        """Does nothing."""

    def completed(self, request: Request) -> None:
        """Does nothing."""
