"""The state of the gate and of the permit to leave service."""

from clementinegw.weights import _loader_types

Actions = list[_loader_types.Action]


class ServingState:
    """Tracks which version the gate serves and whether a permit is held."""

    def __init__(self) -> None:
        self._target: _loader_types.Target | None = None
        self._drained = False
        self._requested = False
        self._has_permit = False

    @property
    def target(self) -> _loader_types.Target | None:
        """The version that requests run on, also while the gate drains."""
        return self._target

    @property
    def has_permit(self) -> bool:
        """Whether the worker holds the permit to leave service."""
        return self._has_permit

    def acquire_permit(self) -> _loader_types.AcquirePermit:
        """Returns the action that acquires the permit to leave service."""
        self._requested = True
        return _loader_types.AcquirePermit()

    def record_grant(self) -> None:
        """Records that the permit was granted, if it is still requested."""
        self._has_permit = self._requested

    def record_loss(self) -> None:
        """Records that the permit has expired; it stays requested."""
        self._has_permit = False

    def record_drain(self) -> None:
        """Records that the gate drains: it accepts no new requests."""
        self._drained = True

    def record_overwrite(self) -> None:
        """Records that the loaded weights are being overwritten."""
        self._target = None

    def serve(self, target: _loader_types.Target, release: bool) -> Actions:
        """Returns the actions that serve a version the engine has reported.

        Args:
          target: The version to serve.
          release: Whether to release the permit.
        """
        actions: Actions = []
        if self._drained or not target.same_weights(self._target):
            actions.append(_loader_types.Serve(target))
        self._target = target
        self._drained = False
        if release and self._requested:
            self._requested = self._has_permit = False
            actions.append(_loader_types.ReleasePermit())
        return actions

    def stop(self, reason: _loader_types.Reason) -> Actions:
        """Returns the actions that stop serving, if anything is served."""
        if self._target is None:
            return []
        self._target = None
        return [_loader_types.StopServing(reason)]
