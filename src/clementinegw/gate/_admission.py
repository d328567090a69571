"""Checks whether a submitted attempt may be accepted."""

from clementinegw.gate import _attempt_table
from clementinegw.gate import types


class Admission:
    """Checks submitted attempts against the gate's state and its records.

    Attributes:
      ready: Whether the backend server may be given requests.
      loading: Whether new attempts are refused until a load is done.
      leaving: Whether new attempts are refused for good.
    """

    def __init__(
        self,
        attempts: _attempt_table.AttemptTable,
        incarnation: int,
        ready: bool,
    ):
        """Initializes the checks; neither loading nor leaving is set.

        Args:
          attempts: The records of known attempts.
          incarnation: The incarnation of this process.
          ready: Whether the backend server may be given requests.
        """
        self.ready = ready
        self.loading = False
        self.leaving = False
        self._attempts = attempts
        self._incarnation = incarnation

    @property
    def accepting(self) -> bool:
        """Whether new attempts are accepted."""
        return self.ready and not self.loading and not self.leaving

    def is_for_this(self, incarnation: int) -> bool:
        """Returns whether a message was addressed to this process."""
        return incarnation == self._incarnation

    def refusal(
        self, attempt: types.Attempt, now: float
    ) -> types.RefusalReason | None:
        """Returns why an attempt is refused; None if it is accepted."""
        checks = (
            self._check_incarnation,
            self._check_tombstone,
            self._check_state,
            self._check_fence,
        )
        if attempt.deadline <= now:
            return types.RefusalReason.DEADLINE
        for check in checks:
            reason = check(attempt)
            if reason is not None:
                return reason
        return None

    def _check_incarnation(
        self, attempt: types.Attempt
    ) -> types.RefusalReason | None:
        if self.is_for_this(attempt.incarnation):
            return None
        if attempt.incarnation == 0 and attempt.idempotent:
            return None
        return types.RefusalReason.INCARNATION

    def _check_tombstone(
        self, attempt: types.Attempt
    ) -> types.RefusalReason | None:
        if self._attempts.is_tombstoned(attempt.id):
            return types.RefusalReason.TOMBSTONED
        if self._attempts.may_be_tombstoned(attempt):
            return types.RefusalReason.FORGOTTEN
        return None

    def _check_state(
        self, attempt: types.Attempt
    ) -> types.RefusalReason | None:
        del attempt
        if self.leaving:
            return types.RefusalReason.LEAVING
        if self.loading:
            return types.RefusalReason.LOADING
        return None if self.ready else types.RefusalReason.NOT_READY

    def _check_fence(
        self, attempt: types.Attempt
    ) -> types.RefusalReason | None:
        if attempt.idempotent or not attempt.key:
            return None
        if attempt.claim_offset <= 0:
            return types.RefusalReason.NO_CLAIM
        return self._attempts.check_fence(attempt)
