"""What a member does by itself at each tick: probe, suspect, push, rejoin."""

from collections.abc import Callable, Iterable

from clementinegw import types
from clementinegw.membership import _core
from clementinegw.membership import _records
from clementinegw.membership import actions
from clementinegw.membership import detector
from clementinegw.membership import token_bucket
from clementinegw.membership import view
from clementinegw.wire.gen.membership import ttypes

State = _records.State
Kind = ttypes.GossipKind

_JOIN_PROBES = 3


class Probing:
    """The timers of one member."""

    def __init__(self, core: _core.Core, now: float):
        self._core = core
        self._options = core.options
        self._random_rounds = detector.RandomRounds(core.rng)
        self._seeds: list[view.Seed] = []
        self._successor_index = 0
        self._remote_domain_index = 0
        options = core.options
        # Suspicions cost datagrams. Where many arise at once because this
        # process or the network is overloaded, more datagrams make it worse.
        self._extra_budget = token_bucket.TokenBucket(
            options.extra_rate, options.extra_burst, now
        )
        self._timers = [
            _Timer(
                now,
                options.ring_probe_s,
                core.rng.random(),
                self._probe_ring_successor,
            ),
            _Timer(
                now,
                options.random_probe_s,
                core.rng.random(),
                self._probe_random_member,
            ),
            _Timer(now, options.suspect_ping_s, 0.0, self._ping_suspects),
            _Timer(
                now,
                options.bridge_s,
                core.rng.random(),
                self._probe_remote_domain,
            ),
            _Timer(now, options.join_s, 0.0, self._probe_seeds),
            _Timer(
                now,
                options.rejoin_s,
                core.rng.random(),
                self._probe_lost_member,
            ),
        ]

    def set_seeds(self, seeds: Iterable[view.Seed]) -> None:
        """Replaces the addresses where members may be found."""
        own = types.Address(
            self._core.own_member.host, self._core.own_member.port
        )
        self._seeds = [seed for seed in seeds if seed.address != own]

    def tick(self, now: float) -> list[actions.Action]:
        """Runs what is due."""
        found = self._process_deadlines(now)
        for timer in self._timers:
            if timer.check_due(now):
                found += timer.run(now)
        found += self._ping_disputed(now)
        found += self._push_urgent(now)
        return found

    def tick_after_leave(self, now: float) -> list[actions.Action]:
        """Goes on telling that this process has left, and nothing else."""
        self._core.dissemination.add(self._core.own_member, 1, urgent=True)
        return self._push_urgent(now)

    def ping(
        self,
        address: types.Address,
        now: float,
        record: _records.Record | None = None,
    ) -> list[actions.Action]:
        """Pings a member, or whoever listens at an address."""
        core = self._core
        member = record.member if record is not None else None
        message = core.new_message(Kind.PING, now, member)
        if member is None or member.state >= State.DEAD:
            message.introduction = core.own_member
        if member is not None and member.state != State.ALIVE:
            # Whoever is suspected must hear of it to be able to refute.
            message.updates = [member, *message.updates]
        probe = detector.Probe(
            message.sequence,
            member.instance_id if member is not None else "",
            member.incarnation if member is not None else 0,
            address,
            now + self._options.probe_timeout_s,
        )
        if record is not None and self._is_local(record):
            probe.indirect_at = now + self._options.direct_timeout_s
        core.detector.add_probe(probe)
        return [actions.Send(address, message)]

    def ping_unverified(
        self, address: types.Address, now: float
    ) -> list[actions.Action]:
        """Pings an address whose claim to be a member has no fresh proof."""
        if self._core.detector.has_open_probe(address):
            return []
        if not self._extra_budget.take(1, now):
            return [actions.Count("membership.strangers_limited")]
        return self.ping(address, now)

    def push_to(
        self, record: _records.Record, updates: list, now: float
    ) -> list[actions.Action]:
        """Pushes statements to one member at once."""
        message = self._core.new_message(Kind.UPDATES, now, None)
        message.updates = updates
        return [actions.Send(record.address, message)]

    def _process_deadlines(self, now: float) -> list[actions.Action]:
        core = self._core
        found: list[actions.Action] = []
        for probe in core.detector.take_indirect_due(now):
            found += self._request_indirect_pings(probe, now)
        for probe in core.detector.take_failed_probes(now):
            found += self._on_probe_failed(probe, now)
        for instance_id, incarnation in core.detector.take_expired_suspicions(
            now
        ):
            record = core.table.get(instance_id)
            if record is None or record.member.incarnation != incarnation:
                continue
            found += core.apply_update(
                _records.with_state(record.member, State.DEAD), now
            )
        return found

    def _request_indirect_pings(
        self, probe: detector.Probe, now: float
    ) -> list[actions.Action]:
        core = self._core
        record = core.table.get(probe.instance_id)
        if record is None or not self._is_local(record):
            return []
        found: list[actions.Action] = []
        granted = self._extra_budget.take(self._options.helpers, now)
        helpers = core.random_peers(granted, excluded=probe.instance_id)
        for helper in helpers:
            message = core.new_message(Kind.PING_REQUEST, now, helper.member)
            message.target = record.member
            message.answers = probe.sequence
            found.append(actions.Send(helper.address, message))
        found.append(actions.Count("membership.indirect_pings"))
        return found

    def _on_probe_failed(
        self, probe: detector.Probe, now: float
    ) -> list[actions.Action]:
        record = self._core.table.get(probe.instance_id)
        if record is None or not self._is_local(record):
            return [actions.Count("membership.probes_failed")]
        if record.member.incarnation != probe.incarnation:
            # The ping went to a former life, perhaps at another address; its
            # silence says nothing about the process that took its place.
            return [actions.Count("membership.probes_outdated")]
        if probe.is_confirmation:
            return self._suspect(record, now)
        return self._send_second_probe(record, now)

    def _send_second_probe(
        self, record: _records.Record, now: float
    ) -> list[actions.Action]:
        # One lost round is common at 5% loss and 295 members, and a suspicion
        # costs datagrams at all of them twice, there and back. A second round
        # before anybody is told makes such suspicions rare.
        core = self._core
        if not self._extra_budget.take(1, now):
            return [actions.Count("membership.confirmations_limited")]
        message = core.new_message(Kind.PING, now, record.member)
        probe = detector.Probe(
            message.sequence,
            record.member.instance_id,
            record.member.incarnation,
            record.address,
            now + self._options.confirm_timeout_s,
            is_confirmation=True,
        )
        core.detector.add_probe(probe)
        found = self._request_indirect_pings(probe, now)
        return [actions.Send(record.address, message), *found]

    def _suspect(
        self, record: _records.Record, now: float
    ) -> list[actions.Action]:
        core = self._core
        member = record.member
        core.detector.suspect(member.instance_id, member.incarnation, now, True)
        if member.state == State.LEAVING:
            # Its own word outranks a suspicion, so it is only timed here.
            return []
        suspect = _records.with_state(member, State.SUSPECT)
        found = core.apply_update(suspect, now)
        return found + self.push_to(record, [suspect], now)

    def _ping_suspects(self, now: float) -> list[actions.Action]:
        # What a suspect answers carries its refutation, should it have missed
        # every other way to hear of the suspicion or to be heard.
        core = self._core
        own = [
            i for i, s in core.detector.suspicions.items() if s.detected_here
        ]
        wanted = min(len(own), self._options.suspect_pings)
        chosen = core.rng.sample(own, self._extra_budget.take(wanted, now))
        found: list[actions.Action] = []
        for instance_id in chosen:
            record = core.table.get(instance_id)
            if record is not None:
                found += self.ping(record.address, now, record)
        return found

    def _is_local(self, record: _records.Record) -> bool:
        domain = record.member.failure_domain
        return record.present and domain == self._core.own_domain

    def _probe_ring_successor(self, now: float) -> list[actions.Action]:
        # Each member is probed by its two predecessors, at fixed periods, so
        # that the time to the first probe after a death has a bound; random
        # probes alone leave a tail. Suspects are passed over, so that a
        # neighbour that died too does not hide the one behind it.
        core = self._core
        self._successor_index = (
            self._successor_index + 1
        ) % self._options.ring_successors
        left = self._successor_index
        domain = core.table.domain(core.own_domain)
        for instance_id in domain.successors(core.key, core.own_id):
            record = core.table.get(instance_id)
            if record is None or instance_id in core.detector.suspicions:
                continue
            if left == 0:
                return self.ping(record.address, now, record)
            left -= 1
        return []

    def _probe_random_member(self, now: float) -> list[actions.Action]:
        core = self._core
        ring = core.table.domain(core.own_domain).ring
        present = [instance_id for _, instance_id in ring]
        for instance_id in self._random_rounds.next(present):
            record = core.table.get(instance_id)
            if record is None or instance_id == core.own_id:
                continue
            if record.present:
                return self.ping(record.address, now, record)
        return []

    def _probe_remote_domain(self, now: float) -> list[actions.Action]:
        core = self._core
        found = self._ping_random_entry(now)
        if not core.is_bridge():
            return found
        names = set(core.table.domains)
        names |= {seed.failure_domain for seed in self._seeds}
        others = sorted(names - {core.own_domain, ""})
        if not others:
            return found
        self._remote_domain_index = (self._remote_domain_index + 1) % len(
            others
        )
        return found + self._ping_domain(others[self._remote_domain_index], now)

    def _ping_random_entry(self, now: float) -> list[actions.Action]:
        # What bridges learn spreads among the entries by digests alone, so
        # each entry compares with one more entry a period.
        core = self._core
        if not core.tracks_remote_domains(core.own_member):
            return []
        entries = [
            record
            for record in core.table.present(core.own_domain)
            if record.member.role == types.Role.ENTRY
            and record.member.instance_id != core.own_id
        ]
        if not entries:
            return []
        record = core.rng.choice(entries)
        return self.ping(record.address, now, record)

    def _ping_domain(self, name: str, now: float) -> list[actions.Action]:
        core = self._core
        known = core.domains.bridges(name)
        seeds = [s.address for s in self._seeds if s.failure_domain == name]
        if known and (core.domains.reachable(name, now) or not seeds):
            record = core.rng.choice(known)
            return self.ping(record.address, now, record)
        # All bridges that were known there may be gone since: any seed and
        # any member will do to hear who is there now.
        usable = seeds or [r.address for r in core.table.present(name)]
        if not usable:
            return []
        return self.ping(core.rng.choice(usable), now)

    def _probe_seeds(self, now: float) -> list[actions.Action]:
        core = self._core
        if len(core.table.domain(core.own_domain).ring) > 1:
            return []
        usable = self._local_seeds()
        chosen = core.rng.sample(usable, min(len(usable), _JOIN_PROBES))
        found: list[actions.Action] = []
        for seed in chosen:
            found += self.ping(seed, now)
        return found

    def _probe_lost_member(self, now: float) -> list[actions.Action]:
        # After a partition each half holds the other for dead and would never
        # speak to it again; one probe a period to a random lost member or
        # unknown seed finds it. One side's probes together are frequent.
        core = self._core
        known = {r.address for r in core.table.present(core.own_domain)}
        usable = [s for s in self._local_seeds() if s not in known]
        usable += [a for a in core.lost_addresses.values() if a not in known]
        if not usable:
            return []
        address = core.rng.choice(usable)
        record = None
        for instance_id, lost in core.lost_addresses.items():
            if lost == address:
                record = core.table.get(instance_id)
        return self.ping(address, now, record)

    def _local_seeds(self) -> list[types.Address]:
        own = self._core.own_domain
        return [s.address for s in self._seeds if s.failure_domain in ("", own)]

    def _ping_disputed(self, now: float) -> list[actions.Action]:
        # A member that a peer holds for alive and this process for dead is
        # told so and refutes; a few each tick, so that a healed partition
        # does not become a storm.
        core = self._core
        found: list[actions.Action] = []
        for instance_id in list(core.disputed_addresses)[
            : self._options.disputed_per_tick
        ]:
            address = core.disputed_addresses.pop(instance_id)
            record = core.table.get(instance_id)
            if record is not None and not record.present:
                found += self.ping(address, now, record)
        return found

    def _push_urgent(self, now: float) -> list[actions.Action]:
        core = self._core
        updates = core.dissemination.take_urgent(self._options.records_per_sync)
        if not updates:
            return []
        count = core.push_budget.take(self._options.fanout, now)
        if not count:
            # The piggyback queue still has them.
            return [actions.Count("membership.pushes_limited")]
        found: list[actions.Action] = []
        for record in core.random_peers(count):
            found += self.push_to(record, updates, now)
        return found


class _Timer:
    """Runs an action each period, from a random point of the first one."""

    __slots__ = ("_next", "_period", "run")

    def __init__(
        self,
        now: float,
        period: float,
        phase: float,
        run: Callable[[float], list[actions.Action]],
    ):
        self._next = now + period * phase
        self._period = period
        self.run = run

    def check_due(self, now: float) -> bool:
        """Returns whether to run now, and sets the next time."""
        if now < self._next:
            return False
        # After a delay the missed runs are dropped, not made up for.
        self._next = max(self._next + self._period, now)
        return True
