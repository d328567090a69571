"""The membership protocol: SWIM in a failure domain, bridges between domains.

Each member pings its ring successors and random members. A member that answers
neither direct nor indirect pings is suspected, and declared dead unless it
refutes with a higher incarnation. Updates are piggybacked on pings and answers,
urgent ones are also pushed immediately, and differing digests reveal lost ones.

This module does no I/O: it takes datagrams and the time, and returns actions.
"""

from collections.abc import Iterable
import random

from clementinegw import types
from clementinegw.membership import _core
from clementinegw.membership import _events
from clementinegw.membership import _probing
from clementinegw.membership import _receiving
from clementinegw.membership import _records
from clementinegw.membership import actions
from clementinegw.membership import parameters
from clementinegw.membership import view
from clementinegw.wire.gen.membership import ttypes

State = _records.State

_OWN_STATES = {
    view.MemberState.ALIVE: State.ALIVE,
    view.MemberState.LEAVING: State.LEAVING,
    view.MemberState.LEFT: State.LEFT,
}
_LATE_TICK_FACTOR = 2.0
# How long a process waits for an answer from its seeds before it assumes that
# it is the only member.
_ALONE_SETTLE_S = 5.0


class Swim:
    """One member; turns datagrams and ticks into actions."""

    def __init__(
        self,
        instance: types.Instance,
        options: parameters.Parameters,
        rng: random.Random,
        now: float,
    ):
        """Initializes a member that knows no others.

        Args:
          instance: This process. Its incarnation must exceed all earlier ones
            of the same id, so it is the wall clock at the start, in
            milliseconds.
          options: Periods and limits.
          rng: The source of random targets.
          now: Monotonic seconds.
        """
        self._options = options
        self._core = _core.Core(instance, options, rng, now)
        self._probing = _probing.Probing(self._core, now)
        self._receiving = _receiving.Receiving(self._core, self._probing, now)
        self._ticked_at = now
        self._alone_since = now

    @property
    def settled(self) -> bool:
        """Whether the view is settled since the last pause.

        A view is settled once it agrees with a peer's, or if no peer answers.
        """
        return self._core.settled

    @property
    def size(self) -> int:
        """The number of members in this failure domain, with this process."""
        core = self._core
        return len(core.table.domain(core.own_domain).ring)

    @property
    def incarnation(self) -> int:
        """This process's incarnation."""
        return self._core.own_member.incarnation

    @property
    def newest_revision(self) -> int:
        """The largest settings revision that any member has reported."""
        return self._core.newest_revision

    def set_seeds(self, seeds: Iterable[view.Seed]) -> None:
        """Replaces the addresses at which members may listen."""
        self._probing.set_seeds(seeds)

    def set_self(
        self,
        now: float,
        state: view.MemberState | None = None,
        version: str | None = None,
        load: float | None = None,
        settings_revision: int | None = None,
    ) -> list[actions.Action]:
        """Changes what this process announces; None keeps a value.

        Args:
          now: Monotonic seconds.
          state: Alive, leaving or left; a change is pushed immediately.
          version: The model version served; a change is pushed immediately.
          load: The share of capacity in use; piggybacked in a report.
          settings_revision: The settings revision in force here.
        """
        core = self._core
        core.update_report(
            _report_load(core) if load is None else load,
            core.own_report.settings_revision
            if settings_revision is None
            else settings_revision,
        )
        wanted = core.own_member.state if state is None else _OWN_STATES[state]
        same_version = version is None or version == core.own_member.version
        if wanted == core.own_member.state and same_version:
            return []
        return core.update_self(wanted, now, version=version)

    def on_tick(self, now: float) -> list[actions.Action]:
        """Runs the timers; must be called every `Parameters.tick_s`."""
        result = self._handle_pause(now)
        if self._core.own_member.state != State.LEFT:
            result += self._probing.tick(now)
        else:
            result += self._probing.tick_after_leave(now)
        self._receiving.drop_tombstones(now)
        self._check_alone(now)
        return result

    def on_datagram(
        self, message: ttypes.Gossip, source: types.Address, now: float
    ) -> list[actions.Action]:
        """Handles a datagram.

        Args:
          message: The decoded message; its proof has been checked.
          source: The sender's address.
          now: Monotonic seconds.
        """
        result = self._handle_pause(now)
        if self._core.own_member.state == State.LEFT:
            return result
        return result + self._receiving.handle(message, source, now)

    def members(
        self,
        now: float,
        role: types.Role | None = None,
        service: str | None = None,
    ) -> list[view.MemberView]:
        """Returns the members that have not died or left, with this process."""
        return [
            self._view(record, now)
            for record in self._core.table
            if record.present
            and (role is None or record.member.role == role)
            and (service is None or record.member.service_name == service)
        ]

    def member(self, instance_id: str, now: float) -> view.MemberView | None:
        """Returns one member, even if it is dead; None if it is unknown."""
        record = self._core.table.get(instance_id)
        return None if record is None else self._view(record, now)

    def domains(self, now: float) -> list[view.DomainView]:
        """Returns the other failure domains."""
        return self._core.domains.views(now)

    def _view(self, record: _records.Record, now: float) -> view.MemberView:
        member = record.member
        state = _records.STATE_VIEWS[State(member.state)]
        report = record.report
        load = report.load_permille / 1000 if report is not None else 0.0
        if member.failure_domain != self._core.own_domain:
            load = self._core.domains.load(
                member.failure_domain, member.service_name
            )
            reachable = self._core.domains.reachable(member.failure_domain, now)
            if state is view.MemberState.ALIVE and not reachable:
                state = view.MemberState.SUSPECT
        return view.MemberView(
            _records.instance_of(member, record.address),
            state,
            member.version,
            report.settings_revision if report is not None else 0,
            load,
        )

    def _handle_pause(self, now: float) -> list[actions.Action]:
        gap = now - self._ticked_at
        self._ticked_at = now
        core = self._core
        if gap <= self._options.tick_s * _LATE_TICK_FACTOR:
            return []
        if gap < self._options.pause_s:
            # No answers were read during the delay. Without the extension
            # peers that answered in time would be suspected.
            core.detector.extend_deadlines(gap)
            return []
        # The process or its machine was suspended. Its view is outdated and
        # its peers may consider it dead, so it announces itself with a new
        # incarnation and is settled only after it compared its view again.
        core.detector.reset_deadlines(now)
        core.sync.reset_request_times()
        core.settled = False
        self._alone_since = now
        return [
            *core.update_self(core.own_member.state, now),
            actions.Count("membership.pauses"),
            actions.LogEvent(_events.PROCESS_PAUSED, core.own_id),
        ]

    def _check_alone(self, now: float) -> None:
        core = self._core
        if len(core.table.domain(core.own_domain).ring) > 1:
            self._alone_since = now
        elif now - self._alone_since >= _ALONE_SETTLE_S:
            core.settled = True


def _report_load(core: _core.Core) -> float:
    return core.own_report.load_permille / 1000
