"""Determines which version of the weights a request may be served with."""

from collections.abc import Callable, Mapping
import math

from clementinegw import process_age
from clementinegw.direct import declarations
from clementinegw.direct import types

# How long before its due time a version is required, in seconds: the time from
# sending a request until a server with free slots starts it. With a longer
# margin, servers would be idle before each due time.
DISPATCH_MARGIN_S = 0.3
# How long before a version is required the servers that have it are preferred,
# in seconds.
_PREFER_LEAD_S = 0.3
# The time before a version is required in which the servers without it load it,
# in seconds. They load in groups, as late as possible if chunks arrive late.
_STABLE_LEAD_S = 1.3
# How long before a newer version is due a request that has not started is
# withdrawn from a server with an older one, in seconds: a few round trips.
_WITHDRAW_LEAD_S = 0.15


class VersionPolicy:
    """Determines required and preferred versions from the declared ones.

    All times are boot time, so that a machine that was suspended notices on
    resuming that a version is due.
    """

    def __init__(
        self,
        due_s: float,
        clock: Callable[[], float],
        settled_s: float = 0.0,
        process_age_s: float = process_age.TYPICAL_START_S,
    ):
        """Creates a policy without any declared version.

        Args:
          due_s: The time after its declaration by which a version must serve,
            in seconds.
          clock: Returns seconds that also count while the machine is suspended.
          settled_s: How long a process must have run undisturbed before
            deadlines apply to it, in seconds.
          process_age_s: How long ago the process was started, in seconds.
        """
        self._clock = clock
        self._declared = declarations.Declarations(
            due_s, settled_s, clock, process_age_s
        )

    @property
    def due_s(self) -> float:
        """The time after its declaration by which a version must serve."""
        return self._declared.due_s

    @due_s.setter
    def due_s(self, due_s: float) -> None:
        self._declared.due_s = due_s

    @property
    def now(self) -> float:
        """The current boot time, in seconds."""
        return self._clock()

    def record_declared(
        self, declared: types.DeclaredVersion, lag_s: float = 0.0
    ) -> declarations.Change | None:
        """Records a declaration; returns the change or None if there is none.

        A declaration without a model is ignored: the model of a plain service
        has no name, and no version applies to it.

        Args:
          declared: The record that the operators wrote.
          lag_s: For how long it may have been declared already, in seconds;
            infinite if the process found it declared at its start.
        """
        if not declared.model:
            return None
        return self._declared.record(declared.model, declared.version, lag_s)

    def merge_ages(
        self, model: str, ages_s: Mapping[int, float]
    ) -> list[declarations.Change]:
        """Merges the ages of an agent; see `Declarations.merge_ages`."""
        if not model:
            return []
        return self._declared.merge_ages(
            model, ages_s, declarations.Source.AGENT
        )

    def ages_s(self) -> dict[str, dict[int, float]]:
        """Returns the ages to report to agents, by model and version."""
        return self._declared.all_ages_s()

    def newest_declared(self, model: str) -> int:
        """Returns a model's newest declared version; 0 if there is none."""
        return self._declared.newest().get(model, 0)

    def newest_by_model(self) -> dict[str, int]:
        """Returns the newest declared version of each model."""
        return self._declared.newest()

    def required_at(self, declaration: declarations.Declaration) -> float:
        """Returns when former versions stop starting requests."""
        return declaration.declared_at + self.due_s - DISPATCH_MARGIN_S

    def required(self, model: str, now: float) -> int | None:
        """Returns the lowest version that may start a request; None for any."""
        return self._required_by(model, now) or None

    def preferred(self, model: str, now: float) -> int:
        """Returns the lowest version whose servers are preferred; 0 for any.

        A request may wait at a server and would otherwise start there on a
        version that is no longer allowed by then.
        """
        return self._required_by(model, now + _PREFER_LEAD_S)

    def stable(self, model: str, now: float) -> int:
        """Returns the lowest version whose servers do not load soon; 0 for any.

        A stream that was aborted by a load must not be aborted again by a load
        of the next server: it would run out of attempts and fail.
        """
        return self._required_by(model, now + _STABLE_LEAD_S)

    def _required_by(self, model: str, until: float) -> int:
        """Returns the newest version that is required by a time; 0 for none."""
        required = [
            declaration.version
            for declaration in self._declared.for_model(model)
            if self.required_at(declaration) <= until
        ]
        return max(required, default=0)

    def upcoming(self, model: str, now: float) -> tuple[int, float] | None:
        """Returns the next version that will be required, and when it will be.

        Args:
          model: The model's name.
          now: The current boot time, in seconds.

        Returns:
          The version and the boot time; None if no version is declared that is
          not required yet.
        """
        required = [
            (at, declaration.version)
            for declaration in self._declared.for_model(model)
            if (at := self.required_at(declaration)) > now
        ]
        if not required:
            return None
        at, version = min(required)
        return version, at

    def withdraw_at(self, model: str, held: int) -> float:
        """Returns when to withdraw a request that a server has not started.

        A server that is slow, or busier than expected, may queue a request for
        a second and then start it on a version that is too old by then.

        Args:
          model: The model's name.
          held: The version that the server has.

        Returns:
          The boot time, in seconds; infinite if no newer version is declared.
        """
        newer = [
            self.required_at(declaration)
            for declaration in self._declared.for_model(model)
            if declaration.version > held
        ]
        grace_s = DISPATCH_MARGIN_S - _WITHDRAW_LEAD_S
        return min(newer, default=math.inf) + grace_s

    def expected(self, model: str, held: int, now: float) -> int | None:
        """Returns the exact version to request of a server; None for any.

        Args:
          model: The model's name.
          held: The version that the server is known to have; 0 if unknown.
          now: The current boot time, in seconds.
        """
        required = self.required(model, now)
        if required is None:
            return None
        newest = self.newest_declared(model)
        if required == newest:
            return newest
        # A newer version is being rolled out. Servers that have it already
        # would refuse a request for exactly the required one.
        return held if held >= required else required
