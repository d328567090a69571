"""What the gate lets requests in to, and the permit to close it."""

from clementinegw.weights import _loader_types

Actions = list[_loader_types.Action]


class ServingState:
    """The gate and the permit as the loader has left them."""

    def __init__(self) -> None:
        self._target: _loader_types.Target | None = None
        self._drained = False
        self._requested = False
        self._has_permit = False

    @property
    def target(self) -> _loader_types.Target | None:
        """What requests run on; while the gate drains, its last requests."""
        return self._target

    @property
    def has_permit(self) -> bool:
        """Whether the worker may leave service."""
        return self._has_permit

    def acquire_permit(self) -> _loader_types.AcquirePermit:
        """Asks for the permit to leave service."""
        self._requested = True
        return _loader_types.AcquirePermit()

    def record_grant(self) -> None:
        """The permit is there, if it is still wanted."""
        self._has_permit = self._requested

    def record_loss(self) -> None:
        """The permit has lapsed; it stays asked for."""
        self._has_permit = False

    def drain(self) -> None:
        """The gate takes nothing new; what runs, runs on."""
        self._drained = True

    def record_overwrite(self) -> None:
        """The weights are overwritten from now on."""
        self._target = None

    def serve(self, target: _loader_types.Target, release: bool) -> Actions:
        """Lets requests in to a version that the engine has proved.

        Args:
          target: The version.
          release: Whether the permit is given back.
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
        """Lets nothing in any more."""
        if self._target is None:
            return []
        self._target = None
        return [_loader_types.StopServing(reason)]
