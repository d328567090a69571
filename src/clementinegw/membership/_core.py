"""State shared by probing and receiving: own record, table, updates."""

import random

from clementinegw import types
from clementinegw.membership import _events
from clementinegw.membership import _records
from clementinegw.membership import actions
from clementinegw.membership import detector
from clementinegw.membership import dissemination
from clementinegw.membership import domains
from clementinegw.membership import parameters
from clementinegw.membership import sync
from clementinegw.membership import table as tables
from clementinegw.membership import token_bucket
from clementinegw.wire.gen.membership import ttypes

State = _records.State

_PER_MILLE = 1000
_ENTRY = str(types.Role.ENTRY)


class Core:
    """The protocol state of one member; applies updates to it.

    Attributes:
      options: Periods and limits.
      rng: The source of random targets.
      own_member: This process's newest record of itself.
      key: The hash of this process's id.
      own_report: This process's newest report.
      newest_revision: The largest settings revision received.
      settled: Whether the view agreed with a peer's, or no peer was found,
        since the start or the last pause.
      table: The known members.
      detector: Open probes, relays and suspicions.
      dissemination: Updates and reports to send.
      domains: What is known of the other failure domains.
      sync: Decides on synchronisations.
      push_budget: Limits the datagrams with urgent updates.
      lost_addresses: Addresses of members that died, by id, for rejoin
        probes.
      disputed_addresses: Addresses of members, by id, that are dead in this
        process's view and alive in a peer's.
    """

    def __init__(
        self,
        instance: types.Instance,
        options: parameters.Parameters,
        rng: random.Random,
        now: float,
    ):
        self.options = options
        self.rng = rng
        self.own_member = _records.member_of(instance, "")
        self.key = _records.key_of(instance.instance_id)
        self.own_report = ttypes.Report(self.key, instance.incarnation, 0, 0, 0)
        self.newest_revision = 0
        self.settled = False
        self.table = tables.Table()
        self.detector = detector.Detector(options)
        self.dissemination = dissemination.Dissemination(options, rng)
        self.domains = domains.Domains(
            self.own_member.failure_domain, self.table, options
        )
        self.sync = sync.Sync(self.table, options, rng)
        self.push_budget = token_bucket.TokenBucket(
            options.urgent_rate, options.urgent_burst, now
        )
        self.lost_addresses: dict[str, types.Address] = {}
        self.disputed_addresses: dict[str, types.Address] = {}
        # A restarted process starts above the sequences of its earlier
        # incarnations.
        self._sequence = instance.incarnation << 20
        self.table.apply(self.own_member, now)

    @property
    def own_id(self) -> str:
        """This process's instance id."""
        return self.own_member.instance_id

    @property
    def own_domain(self) -> str:
        """This process's failure domain."""
        return self.own_member.failure_domain

    def next_sequence(self) -> int:
        """Returns a sequence that no datagram of this process has used."""
        self._sequence += 1
        return self._sequence

    def is_bridge(self) -> bool:
        """Returns whether this process probes other failure domains."""
        bridges = self.domains.bridges(self.own_domain)
        return any(r.member.instance_id == self.own_id for r in bridges)

    def tracks_remote_domains(self, member: ttypes.Member) -> bool:
        """Returns whether a member tracks other failure domains' members."""
        if member.role == _ENTRY:
            return True
        if self.table.domain(member.failure_domain).entries:
            return False
        bridges = self.domains.bridges(member.failure_domain)
        return any(r.member.instance_id == member.instance_id for r in bridges)

    def new_message(
        self, kind: int, now: float, receiver: ttypes.Member | None = None
    ) -> ttypes.Gossip:
        """Returns a message with the updates that its receiver needs.

        Args:
          kind: A `GossipKind`.
          now: Monotonic seconds.
          receiver: The member it is sent to; None if it is not known.
        """
        message = ttypes.Gossip(
            kind,
            self.own_id,
            self.own_member.incarnation,
            self.next_sequence(),
            0,
            self.newest_revision,
            [],
            [],
            [],
        )
        if receiver is None:
            message.domains = [self.domains.own_digest_summary()]
            return message
        if receiver.failure_domain != self.own_domain:
            message.domains = [self.domains.own_summary()]
            message.updates = self.dissemination.take_updates(
                self._is_relevant_remotely
            )
            return message
        message.reports = self.dissemination.take_reports(self.own_report)
        if self.own_member.role == receiver.role == _ENTRY or (
            self.tracks_remote_domains(receiver)
            and self.tracks_remote_domains(self.own_member)
        ):
            message.domains = self.domains.summaries(now)
            message.updates = self.dissemination.take_updates(_accept_all)
        else:
            message.domains = [self.domains.own_digest_summary()]
            message.updates = self.dissemination.take_updates(self._is_local)
        return message

    def apply_update(
        self, member: ttypes.Member, now: float
    ) -> list[actions.Action]:
        """Applies an update about a member, which may be this process."""
        if member.instance_id == self.own_id:
            return self._apply_own_update(member, now)
        if not self._is_tracked(member):
            return []
        before = self.table.get(member.instance_id)
        previous_state = (
            before.member.state if before is not None else State.ALIVE
        )
        if not self.table.apply(member, now):
            return []
        local = self._is_local(member)
        urgent = local and (
            member.state != State.ALIVE or previous_state != State.ALIVE
        )
        self.dissemination.add(member, len(self.table), urgent)
        if local:
            self._update_detector(member, now)
        return [
            actions.MemberChanged(member.instance_id),
            *_state_change_actions(member),
        ]

    def update_self(
        self, state: int, now: float, above: int = 0, version: str | None = None
    ) -> list[actions.Action]:
        """Replaces this process's record under a new incarnation.

        Args:
          state: A `MemberState`.
          now: Monotonic seconds.
          above: An incarnation that the new one must exceed.
          version: The version served; None keeps the previous one.
        """
        incarnation = max(self.own_member.incarnation, above) + 1
        self.own_member = _records.with_state(
            self.own_member, state, incarnation
        )
        if version is not None:
            self.own_member.version = version
        self.table.apply(self.own_member, now)
        self.dissemination.add(self.own_member, len(self.table), urgent=True)
        return [actions.MemberChanged(self.own_id)]

    def update_report(self, load: float, settings_revision: int) -> None:
        """Replaces this process's report."""
        self.own_report = ttypes.Report(
            self.key,
            self.own_member.incarnation,
            self.own_report.sequence + 1,
            round(load * _PER_MILLE),
            settings_revision,
        )
        self.newest_revision = max(self.newest_revision, settings_revision)
        self.table.apply_report(self.own_report)

    def random_peers(
        self, count: int, excluded: str = ""
    ) -> list[_records.Record]:
        """Returns up to `count` random live members of the failure domain."""
        ring = self.table.domain(self.own_domain).ring
        sampled = self.rng.sample(ring, min(len(ring), count + 2))
        chosen = []
        for _, instance_id in sampled:
            record = self.table.get(instance_id)
            if instance_id in (self.own_id, excluded) or record is None:
                continue
            if record.member.state in (State.ALIVE, State.LEAVING):
                chosen.append(record)
        return chosen[:count]

    def _apply_own_update(
        self, member: ttypes.Member, now: float
    ) -> list[actions.Action]:
        if self.own_member.state == State.LEFT:
            return []
        if not _records.supersedes(member, self.own_member):
            return []
        # The update is a suspicion, or stems from an earlier run of this
        # process whose clock was ahead. An incarnation above the update's
        # overrides both.
        return [
            *self.update_self(
                self.own_member.state, now, above=member.incarnation
            ),
            actions.Count("membership.refutations"),
            actions.LogEvent(_events.SUSPICION_REFUTED, self.own_id),
        ]

    def _update_detector(self, member: ttypes.Member, now: float) -> None:
        instance_id = member.instance_id
        if member.state == State.SUSPECT:
            self.detector.suspect(instance_id, member.incarnation, now, False)
            return
        self.detector.clear_suspicion(instance_id)
        if member.state == State.DEAD:
            if len(self.lost_addresses) >= self.options.max_lost_addresses:
                self.lost_addresses.pop(next(iter(self.lost_addresses)))
            self.lost_addresses[instance_id] = types.Address(
                member.host, member.port
            )
            return
        self.lost_addresses.pop(instance_id, None)
        self.disputed_addresses.pop(instance_id, None)

    def _is_tracked(self, member: ttypes.Member) -> bool:
        if self._is_local(member):
            return True
        # Suspicions of other failure domains are ignored: their end would
        # arrive by another path than their start.
        if member.state == State.SUSPECT:
            return False
        return self.tracks_remote_domains(self.own_member)

    def _is_local(self, member: ttypes.Member) -> bool:
        return member.failure_domain == self.own_domain

    def _is_relevant_remotely(self, member: ttypes.Member) -> bool:
        return self._is_local(member) and member.state != State.SUSPECT


def _accept_all(member: ttypes.Member) -> bool:
    return True


_STATE_EVENTS = {
    State.SUSPECT: (_events.MEMBER_SUSPECTED, "membership.suspected"),
    State.DEAD: (_events.MEMBER_DEAD, "membership.dead"),
}


def _state_change_actions(member: ttypes.Member) -> list[actions.Action]:
    state_event = _STATE_EVENTS.get(member.state)
    if state_event is None:
        return []
    event, counter = state_event
    return [
        actions.LogEvent(event, member.instance_id),
        actions.Count(counter),
    ]
