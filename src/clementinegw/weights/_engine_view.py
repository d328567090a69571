"""What an agent knows of the weights in its engine."""

import dataclasses

from clementinegw.backend import types as backend
from clementinegw.weights import _loader_types

NO_DIGEST = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenOrder:
    """An order whose outcome is not known.

    Attributes:
      target: What it loads.
      settled_at: When it can no longer take effect unseen.
    """

    target: _loader_types.Target
    settled_at: float


class EngineView:
    """The engine by its own reports, and the order that is still open."""

    def __init__(self, checks_fencing: bool, settle_s: float):
        """Starts without knowledge.

        Args:
          checks_fencing: Whether the engine refuses old fencing numbers.
          settle_s: How long an order whose answer was lost may still take
            effect.
        """
        self._checks_fencing = checks_fencing
        self._settle_s = settle_s
        self._loaded_digest = NO_DIGEST
        # An engine's status names adapters without a digest, so that only
        # those count whose report on an order was right.
        self._verified: frozenset[tuple[str, str]] = frozenset()
        self._adapters: frozenset[tuple[str, str]] = frozenset()
        self._fencing = 0
        self._servable: list[_loader_types.Target] = []
        self._open: _OpenOrder | None = None

    @property
    def loaded_digest(self) -> str:
        """The content digest it reported last; empty when not known."""
        return self._loaded_digest

    @property
    def loaded_target(self) -> _loader_types.Target | None:
        """The known version that it has loaded: this one may be served."""
        return next(filter(self.has_loaded, self._servable), None)

    def set_servable(
        self, target: _loader_types.Target, *others: _loader_types.Target | None
    ) -> None:
        """Says which versions may be served once they are loaded.

        What it has loaded, and what an open order loads, stays known: both
        were declared before.

        Args:
          target: The declared version.
          *others: Versions besides, in any order.
        """
        opened = self._open.target if self._open is not None else None
        candidates = (target, self.loaded_target, opened, *others)
        self._servable = [one for one in candidates if one is not None]

    def has_loaded(self, target: _loader_types.Target) -> bool:
        """Returns whether it has loaded a version with its adapters."""
        same = target.content_digest == self._loaded_digest
        return same and target.adapter_keys <= self._adapters

    def missing(
        self, target: _loader_types.Target
    ) -> tuple[bool, tuple[_loader_types.Adapter, ...]]:
        """Returns whether the model, and which adapters, have to be loaded.

        With another model come all adapters: they may not outlive the old one.
        """
        if target.content_digest != self._loaded_digest:
            return True, target.adapters
        loaded = self._adapters
        return False, tuple(a for a in target.adapters if a.key not in loaded)

    def would_refuse(self, target: _loader_types.Target) -> bool:
        """Returns whether it has seen an order of later settings."""
        return target.revision < self._fencing

    def record_report(
        self,
        digest: str,
        adapters: frozenset[tuple[str, str]],
    ) -> None:
        """Takes in the reports on an order.

        Args:
          digest: The content digest of the model; empty when no model was
            loaded.
          adapters: Those that it loaded and whose reports were right.
        """
        if digest:
            self._loaded_digest = digest
            self._verified = adapters
        else:
            self._verified |= adapters
        self._adapters = self._verified

    def record_refusal(self, refusal: backend.OrderRefused) -> None:
        """Takes in a refusal; the weights are as they were."""
        if refusal.reason is backend.OrderRefusal.FENCING:
            self._fencing = refusal.current_fencing

    def record_crash(self) -> None:
        """The engine has ended; it comes back without weights."""
        self._loaded_digest = NO_DIGEST
        self._verified = self._adapters = frozenset()
        self._fencing = 0

    def leave_open(self, target: _loader_types.Target, now: float) -> None:
        """The outcome of an order got lost.

        It may lie in the engine's accept queue. Were the old version served
        again before it is too old to come, the engine would overwrite the
        weights in the midst of answers; a fencing number does not help, since
        no newer order has been sent.
        """
        self._open = _OpenOrder(target, now + self._settle_s)
        self._verified -= target.adapter_keys

    def contradicts(self, status: backend.EngineStatus) -> bool:
        """Returns whether a status contradicts what was known."""
        same = status.digest == self._loaded_digest
        same = same and self._verified <= frozenset(status.adapters)
        return not same or bool(status.loading)

    def update(self, status: backend.EngineStatus, now: float) -> bool:
        """Takes in a status.

        Args:
          status: The engine's answer.
          now: Monotonic seconds.

        Returns:
          Whether nothing is open any more: no load runs, and an order whose
          answer was lost either shows in the status or is too old to come.
        """
        self._loaded_digest = status.digest
        self._adapters = self._verified & frozenset(status.adapters)
        if self._checks_fencing:
            self._fencing = status.fencing
        if status.loading:
            return False
        opened = self._open
        if opened is not None:
            landed = status.digest == opened.target.content_digest
            if not landed and now < opened.settled_at:
                return False
        self._open = None
        return True
