"""What an agent knows about the weights that its engine has loaded."""

import dataclasses

from clementinegw.backend import types as backend
from clementinegw.weights import _loader_types

NO_DIGEST = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenOrder:
    """An order whose outcome is unknown.

    Attributes:
      target: The target that the order loads.
      settled_at: When the order can no longer take effect, in monotonic
        seconds.
    """

    target: _loader_types.Target
    settled_at: float


class EngineView:
    """The engine's state by its own reports, and the order still open."""

    def __init__(self, checks_fencing: bool, settle_s: float):
        """Initializes the view with nothing known to be loaded.

        Args:
          checks_fencing: Whether the engine refuses old fencing numbers.
          settle_s: How long an order whose answer was lost may still take
            effect, in seconds.
        """
        self._checks_fencing = checks_fencing
        self._settle_s = settle_s
        self._loaded_digest = NO_DIGEST
        # An engine's status lists adapters without their digests, so only
        # those count whose report on an order had the right digest.
        self._verified: frozenset[tuple[str, str]] = frozenset()
        self._adapters: frozenset[tuple[str, str]] = frozenset()
        self._fencing = 0
        self._servable: list[_loader_types.Target] = []
        self._open: _OpenOrder | None = None

    @property
    def loaded_digest(self) -> str:
        """The last reported content digest; empty when unknown."""
        return self._loaded_digest

    @property
    def loaded_target(self) -> _loader_types.Target | None:
        """The servable version that the engine has loaded, if any."""
        return next(filter(self.has_loaded, self._servable), None)

    def set_servable(
        self, target: _loader_types.Target, *others: _loader_types.Target | None
    ) -> None:
        """Sets which versions may be served once they are loaded.

        The version that is loaded and the version of an open order remain
        servable, because both were declared earlier.

        Args:
          target: The declared version.
          *others: Further versions, in any order.
        """
        open_order = self._open.target if self._open is not None else None
        candidates = (target, self.loaded_target, open_order, *others)
        self._servable = [c for c in candidates if c is not None]

    def has_loaded(self, target: _loader_types.Target) -> bool:
        """Returns whether a version and its adapters are loaded."""
        same = target.content_digest == self._loaded_digest
        return same and target.adapter_keys <= self._adapters

    def missing(
        self, target: _loader_types.Target
    ) -> tuple[bool, tuple[_loader_types.Adapter, ...]]:
        """Returns whether to load the model, and which adapters to load.

        All adapters are loaded again with another model, because they may not
        survive the replacement of the old one.
        """
        if target.content_digest != self._loaded_digest:
            return True, target.adapters
        loaded = self._adapters
        return False, tuple(a for a in target.adapters if a.key not in loaded)

    def would_refuse(self, target: _loader_types.Target) -> bool:
        """Returns whether the engine has seen an order of newer settings."""
        return target.revision < self._fencing

    def record_report(
        self,
        digest: str,
        adapters: frozenset[tuple[str, str]],
    ) -> None:
        """Records the engine's reports on an order.

        Args:
          digest: The content digest of the model; empty when no model was
            loaded.
          adapters: The adapters that were loaded and reported with the right
            digest.
        """
        if digest:
            self._loaded_digest = digest
            self._verified = adapters
        else:
            self._verified |= adapters
        self._adapters = self._verified

    def record_refusal(self, refusal: backend.OrderRefused) -> None:
        """Records a refused order; the loaded weights are unchanged."""
        if refusal.reason is backend.OrderRefusal.FENCING:
            self._fencing = refusal.current_fencing

    def record_crash(self) -> None:
        """Records that the engine crashed; it restarts without weights."""
        self._loaded_digest = NO_DIGEST
        self._verified = self._adapters = frozenset()
        self._fencing = 0

    def leave_open(self, target: _loader_types.Target, now: float) -> None:
        """Records that the outcome of an order is unknown.

        The order may still be in the engine's accept queue. If the old version
        were served again before the order can no longer take effect, the
        engine could overwrite the weights while it generates answers. Fencing
        numbers do not prevent this, because no newer order has been sent.
        """
        self._open = _OpenOrder(target, now + self._settle_s)
        self._verified -= target.adapter_keys

    def contradicts(self, status: backend.EngineStatus) -> bool:
        """Returns whether a status contradicts the recorded state."""
        same = status.digest == self._loaded_digest
        same = same and self._verified <= frozenset(status.adapters)
        return not same or bool(status.loading)

    def update(self, status: backend.EngineStatus, now: float) -> bool:
        """Updates the view from a status.

        Args:
          status: The engine's answer.
          now: The current time, in monotonic seconds.

        Returns:
          Whether the state is settled: no load is running, and an order whose
          answer was lost is either visible in the status or can no longer take
          effect.
        """
        self._loaded_digest = status.digest
        self._adapters = self._verified & frozenset(status.adapters)
        if self._checks_fencing:
            self._fencing = status.fencing
        if status.loading:
            return False
        open_order = self._open
        if open_order is not None:
            took_effect = status.digest == open_order.target.content_digest
            if not took_effect and now < open_order.settled_at:
                return False
        self._open = None
        return True
