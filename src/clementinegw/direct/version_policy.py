"""Which version of the weights a request must be served with, and from when."""

from collections.abc import Callable, Mapping
import math

from clementinegw.direct import declarations
from clementinegw.direct import types

# A version is demanded this much before it is due: the time in which a request
# that is sent now begins at a server with room. Any more, and servers stand
# idle before each due time. Seconds.
_DISPATCH_MARGIN_S = 0.3
# Servers that have it already are preferred from this much earlier, in seconds.
_PREFER_LEAD_S = 0.3
# Servers without it load within about this time before it is demanded: they
# swap in groups, and as late as they can where its pieces come late. Seconds.
_STABLE_LEAD_S = 1.3
# A request that has not begun yet is taken back from a server with an older
# version this much before the newer one is due: some round trips. Seconds.
_CANCEL_LEAD_S = 0.15


class VersionPolicy:
    """What is demanded of servers, by the declared versions of every model.

    Times are boot time: a machine that was suspended must find on waking that
    a version is due.
    """

    def __init__(
        self,
        due_s: float,
        clock: Callable[[], float],
        settled_s: float = 0.0,
    ):
        """Starts without any.

        Args:
          due_s: How long after its declaration a version must serve.
          clock: Seconds that also count while the machine is suspended.
          settled_s: How long a process must have run in calm to be bound.
        """
        self._clock = clock
        self._declared = declarations.Declarations(due_s, settled_s, clock)

    @property
    def due_s(self) -> float:
        """How long after its declaration a version must serve."""
        return self._declared.due_s

    @due_s.setter
    def due_s(self, due_s: float) -> None:
        self._declared.due_s = due_s

    @property
    def now(self) -> float:
        """The boot time, in seconds."""
        return self._clock()

    def record_declared(
        self, declared: types.DeclaredVersion, unread_s: float = 0.0
    ) -> declarations.Change | None:
        """Takes a declaration in; returns what is new; None for nothing.

        Args:
          declared: What the operators named.
          unread_s: How long ago it may have been named, in seconds; infinite
            when the process found it declared at its start.
        """
        return self._declared.record(declared.model, declared.version, unread_s)

    def merge_ages(
        self, model: str, ages_s: Mapping[int, float]
    ) -> list[declarations.Change]:
        """Takes in what an agent knows; see `Declarations.merge_ages`."""
        return self._declared.merge_ages(
            model, ages_s, declarations.Source.AGENT
        )

    def ages_s(self) -> dict[str, dict[int, float]]:
        """Returns what agents are told, by model and version."""
        return self._declared.all_ages_s()

    def newest_declared(self, model: str) -> int:
        """Returns the newest declared version; 0 when there is none."""
        return self._declared.newest().get(model, 0)

    def newest_by_model(self) -> dict[str, int]:
        """Returns the newest declared version of every model."""
        return self._declared.newest()

    def required_at(self, found: declarations.Declaration) -> float:
        """Returns from when on no former version may begin a request."""
        return found.declared_at + self.due_s - _DISPATCH_MARGIN_S

    def required(self, model: str, now: float) -> int | None:
        """Returns the least version that may begin a request now."""
        return self._required_by(model, now) or None

    def preferred(self, model: str, now: float) -> int:
        """Returns the version whose servers go first now; 0 for any.

        A request may wait at a server, and would begin there on a version that
        is no longer allowed by then.
        """
        return self._required_by(model, now + _PREFER_LEAD_S)

    def stable(self, model: str, now: float) -> int:
        """Returns the version whose servers do not load soon; 0 for any.

        A stream that a load broke off must not be broken off once more by the
        next server's load: it would have used its attempts, and be lost.
        """
        return self._required_by(model, now + _STABLE_LEAD_S)

    def _required_by(self, model: str, until: float) -> int:
        """Returns the newest version that is demanded by then; 0 for none."""
        near = [
            found.version
            for found in self._declared.for_model(model)
            if self.required_at(found) <= until
        ]
        return max(near, default=0)

    def withdraw_at(self, model: str, held: int) -> float:
        """Returns when a request must have begun at a server.

        A server that is slow, or fuller than it seemed, lets a request wait
        for a second and then begins it on a version that is too old by then.

        Args:
          model: The model's name.
          held: The version that the server has.

        Returns:
          Boot seconds; infinite while no newer version is on its way.
        """
        newer = [
            self.required_at(found)
            for found in self._declared.for_model(model)
            if found.version > held
        ]
        grace_s = _DISPATCH_MARGIN_S - _CANCEL_LEAD_S
        return min(newer, default=math.inf) + grace_s

    def expected(self, model: str, held: int, now: float) -> int | None:
        """Returns the exact version to ask a server for; None for any.

        Args:
          model: The model's name.
          held: The version that the server is known to have; 0 when unknown.
          now: Boot seconds.
        """
        required = self.required(model, now)
        if required is None:
            return None
        newest = self.newest_declared(model)
        if required == newest:
            return newest
        # A newer one is on its way: naming the demanded one would turn away
        # from the servers that have the newer one already.
        return held if held >= required else required
