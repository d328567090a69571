"""The decisions of membership: SWIM within a failure domain, bridges between.

Each member pings its ring successors and random members; one that answers
neither directly nor through helpers is suspected, and declared dead unless it
refutes with a higher incarnation. Statements ride on the pings, urgent ones
are pushed at once, and digests show what got lost.
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
# How long a process without peers waits for its seeds before it takes itself
# for the only member.
_ALONE_SETTLE_S = 5.0


class Swim:
    """One member: datagrams and ticks in, actions out."""

    def __init__(
        self,
        instance: types.Instance,
        options: parameters.Parameters,
        rng: random.Random,
        now: float,
    ):
        """Starts alone.

        Args:
          instance: This process; its incarnation must exceed that of any
            former life under the same id, so it is the wall clock at the
            start, in milliseconds.
          options: Periods and bounds.
          rng: For random targets.
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
        """Whether the view was compared with a peer's since the last pause."""
        return self._core.settled

    @property
    def size(self) -> int:
        """The number of members in this failure domain, oneself included."""
        core = self._core
        return len(core.table.domain(core.own_domain).ring)

    @property
    def incarnation(self) -> int:
        """This process's incarnation."""
        return self._core.own_member.incarnation

    @property
    def newest_revision(self) -> int:
        """The largest settings revision that any member was heard to hold."""
        return self._core.newest_revision

    def set_seeds(self, seeds: Iterable[view.Seed]) -> None:
        """Replaces the addresses where members may be found."""
        self._probing.set_seeds(seeds)

    def set_self(
        self,
        now: float,
        state: view.MemberState | None = None,
        version: str | None = None,
        load: float | None = None,
        settings_revision: int | None = None,
    ) -> list[actions.Action]:
        """Changes what this process says about itself.

        Args:
          now: Monotonic seconds.
          state: Alive, leaving or left; the two latter are pushed at once.
          version: The model version that is served.
          load: The share of capacity in use; rides along when there is room.
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
        """Runs what is due; called every `Parameters.tick_s`."""
        found = self._handle_pause(now)
        if self._core.own_member.state != State.LEFT:
            found += self._probing.tick(now)
        else:
            found += self._probing.tick_after_leave(now)
        self._receiving.drop_tombstones(now)
        self._check_alone(now)
        return found

    def on_datagram(
        self, message: ttypes.Gossip, source: types.Address, now: float
    ) -> list[actions.Action]:
        """Takes in a datagram.

        Args:
          message: Decoded, its proof of the key checked.
          source: Where it came from.
          now: Monotonic seconds.
        """
        found = self._handle_pause(now)
        if self._core.own_member.state == State.LEFT:
            return found
        return found + self._receiving.handle(message, source, now)

    def members(
        self,
        now: float,
        role: types.Role | None = None,
        service: str | None = None,
    ) -> list[view.MemberView]:
        """Returns the members that are present, this process included."""
        return [
            self._view(record, now)
            for record in self._core.table
            if record.present
            and (role is None or record.member.role == role)
            and (service is None or record.member.service_name == service)
        ]

    def member(self, instance_id: str, now: float) -> view.MemberView | None:
        """Returns one member, also when it is dead; None when unknown."""
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
            # A late tick has read no answers meanwhile; without this, peers
            # that answered in time would be suspected.
            core.detector.extend_deadlines(gap)
            return []
        # The process was stopped, or its machine was. Its view is old and its
        # peers may hold it for dead; it says so with a new incarnation and
        # compares its view before it counts as settled again.
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
