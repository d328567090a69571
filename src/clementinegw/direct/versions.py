"""Which version of the weights a request must be served with, and from when."""

from collections.abc import Callable
import dataclasses
import math

from clementinegw.direct import types

# A version is demanded this much before it is due: the time in which a request
# that is sent now begins at a server with room. With 1.5 in its place most
# servers stood idle for a second before each due time. Seconds.
_MARGIN_S = 0.3
# Servers that have it already are preferred from this much earlier, in seconds.
_PREFER_S = 0.3
# Servers without it load within about this time before it is demanded: they
# swap in groups, and as late as they can where its pieces come late. Seconds.
_LASTING_S = 1.3
# A request that has not begun yet is taken back from a server with an older
# version this much before the newer one is due: some round trips. Seconds.
_TAKE_BACK_S = 0.15
# A connection that went silent is noticed within this, in seconds; what was
# declared meanwhile is due that much earlier. After a longer outage of the
# platform the time counts anew.
_MOST_UNREAD_S = 1.2


@dataclasses.dataclass(slots=True)
class _Model:
    declared: int
    demanded: int
    pending: list[tuple[float, int]]


class Versions:
    """The declared versions of every model."""

    def __init__(self, due_s: float, clock: Callable[[], float]):
        """Starts without any.

        Args:
          due_s: How long after its declaration a version must serve.
          clock: Monotonic seconds.
        """
        self.due_s = due_s
        self._clock = clock
        self._models: dict[str, _Model] = {}

    def declare(self, declared: types.Declared, unread_s: float = 0.0) -> bool:
        """Takes a declaration in; returns whether it is new.

        Args:
          declared: What the operators named.
          unread_s: How long ago it may have been named, in seconds.
        """
        now = self._clock() - min(unread_s, _MOST_UNREAD_S)
        model = self._models.setdefault(declared.model, _Model(0, 0, []))
        if declared.version <= model.declared:
            return False
        model.declared = declared.version
        due_at = now + self.due_s - _MARGIN_S
        model.pending.append((due_at, declared.version))
        return True

    def declared(self, model: str) -> int:
        """Returns the newest declared version; 0 when there is none."""
        found = self._models.get(model)
        return found.declared if found else 0

    def all(self) -> dict[str, int]:
        """Returns the newest declared version of every model."""
        return {name: found.declared for name, found in self._models.items()}

    def demanded(self, model: str, now: float) -> int | None:
        """Returns the least version that may begin a request now."""
        found = self._models.get(model)
        if found is None:
            return None
        while found.pending and found.pending[0][0] <= now:
            found.demanded = max(found.demanded, found.pending.pop(0)[1])
        return found.demanded or None

    def preferred(self, model: str, now: float) -> int:
        """Returns the version whose servers go first now; 0 for any.

        A request may wait at a server, and would begin there on a version that
        is no longer allowed by then.
        """
        return self._demanded_soon(model, now + _PREFER_S)

    def lasting(self, model: str, now: float) -> int:
        """Returns the version whose servers do not load soon; 0 for any.

        A stream that a load broke off must not be broken off once more by the
        next server's load: it would have used its attempts, and be lost.
        """
        return self._demanded_soon(model, now + _LASTING_S)

    def _demanded_soon(self, model: str, until: float) -> int:
        """Returns the newest version that is demanded by then; 0 for none."""
        found = self._models.get(model)
        if found is None:
            return 0
        near = [v for at, v in found.pending if at <= until]
        return max(near, default=found.demanded)

    def take_back_at(self, model: str, held: int) -> float:
        """Returns when a request must have begun at a server.

        A server that is slow, or fuller than it seemed, lets a request wait
        for a second and then begins it on a version that is too old by then.

        Args:
          model: The model's name.
          held: The version that the server has.

        Returns:
          Monotonic seconds; infinite while no newer version is on its way.
        """
        found = self._models.get(model)
        pending = found.pending if found else []
        newer = [at for at, version in pending if version > held]
        take_back_s = _MARGIN_S - _TAKE_BACK_S
        return min(newer, default=math.inf) + take_back_s

    def expected(self, model: str, held: int, now: float) -> int | None:
        """Returns the exact version to ask a server for; None for any.

        Args:
          model: The model's name.
          held: The version that the server is known to have; 0 when unknown.
          now: Monotonic seconds.
        """
        demanded = self.demanded(model, now)
        if demanded is None:
            return None
        newest = self._models[model].declared
        if demanded == newest:
            return newest
        # A newer one is on its way: naming the demanded one would turn away
        # from the servers that have the newer one already.
        return held if held >= demanded else demanded
