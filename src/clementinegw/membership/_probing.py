"""Periodic work of a member: probes, suspicions, pushes and rejoins."""

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
    """Runs the timers of one member."""

    def __init__(self, core: _core.Core, now: float):
        self._core = core
        self._options = core.options
        self._random_rounds = detector.RandomRounds(core.rng)
        self._seeds: list[view.Seed] = []
        # The seeds probed since this process knows no peer.
        self._tried_seeds: set[types.Address] = set()
        self._successor_index = 0
        self._remote_domain_index = 0
        options = core.options
        # Suspicions cost datagrams. If many arise at once because this process
        # or the network is overloaded, more datagrams increase the overload.
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
                options.join_untried_s,
                1.0,
                self._probe_untried_seeds,
            ),
            _Timer(
                now,
                options.rejoin_s,
                core.rng.random(),
                self._probe_lost_member,
            ),
        ]

    def set_seeds(self, seeds: Iterable[view.Seed]) -> None:
        """Replaces the addresses at which members may listen."""
        own = types.Address(
            self._core.own_member.host, self._core.own_member.port
        )
        self._seeds = [seed for seed in seeds if seed.address != own]

    def tick(self, now: float) -> list[actions.Action]:
        """Processes expired deadlines and runs the timers that are due."""
        result = self._process_deadlines(now)
        for timer in self._timers:
            if timer.check_due(now):
                result += timer.run(now)
        result += self._ping_disputed(now)
        result += self._push_urgent(now)
        return result

    def tick_after_leave(self, now: float) -> list[actions.Action]:
        """Pushes the update that this process has left, and nothing else."""
        self._core.dissemination.add(self._core.own_member, 1, urgent=True)
        return self._push_urgent(now)

    def ping(
        self,
        address: types.Address,
        now: float,
        record: _records.Record | None = None,
    ) -> list[actions.Action]:
        """Pings a member, or an address whose member is not known."""
        core = self._core
        member = record.member if record is not None else None
        message = core.new_message(Kind.PING, now, member)
        if member is None or member.state >= State.DEAD:
            message.introduction = core.own_member
        if member is not None and member.state != State.ALIVE:
            # A suspect can refute only after it has received the suspicion.
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
        """Pings an address to verify that its sender is a live member.

        The datagram received from it may be a replay.
        """
        if self._core.detector.has_open_probe(address):
            return []
        if not self._extra_budget.take(1, now):
            return [actions.Count("membership.strangers_limited")]
        return self.ping(address, now)

    def push_to(
        self, record: _records.Record, updates: list, now: float
    ) -> list[actions.Action]:
        """Sends updates to one member without waiting for a probe."""
        message = self._core.new_message(Kind.UPDATES, now, None)
        message.updates = updates
        return [actions.Send(record.address, message)]

    def _process_deadlines(self, now: float) -> list[actions.Action]:
        core = self._core
        result: list[actions.Action] = []
        for probe in core.detector.take_indirect_due(now):
            result += self._request_indirect_pings(probe, now)
        for probe in core.detector.take_failed_probes(now):
            result += self._on_probe_failed(probe, now)
        for instance_id, incarnation in core.detector.take_expired_suspicions(
            now
        ):
            record = core.table.get(instance_id)
            if record is None or record.member.incarnation != incarnation:
                continue
            result += core.apply_update(
                _records.with_state(record.member, State.DEAD), now
            )
        return result

    def _request_indirect_pings(
        self, probe: detector.Probe, now: float
    ) -> list[actions.Action]:
        core = self._core
        record = core.table.get(probe.instance_id)
        if record is None or not self._is_local(record):
            return []
        result: list[actions.Action] = []
        granted = self._extra_budget.take(self._options.helpers, now)
        helpers = core.random_peers(granted, excluded=probe.instance_id)
        for helper in helpers:
            message = core.new_message(Kind.PING_REQUEST, now, helper.member)
            message.target = record.member
            message.answers = probe.sequence
            result.append(actions.Send(helper.address, message))
        result.append(actions.Count("membership.indirect_pings"))
        return result

    def _on_probe_failed(
        self, probe: detector.Probe, now: float
    ) -> list[actions.Action]:
        record = self._core.table.get(probe.instance_id)
        if record is None or not self._is_local(record):
            return [actions.Count("membership.probes_failed")]
        if record.member.incarnation != probe.incarnation:
            # The ping went to an earlier incarnation, perhaps at another
            # address. That it got no answer says nothing about the current
            # one.
            return [actions.Count("membership.probes_outdated")]
        if probe.is_confirmation:
            return self._suspect(record, now)
        return self._send_second_probe(record, now)

    def _send_second_probe(
        self, record: _records.Record, now: float
    ) -> list[actions.Action]:
        # With 5% loss and 295 members one failed probe is common, and each
        # suspicion costs every member datagrams twice, for the suspicion and
        # for its refutation. A second probe before the suspicion is spread
        # makes false suspicions rare.
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
        result = self._request_indirect_pings(probe, now)
        return [actions.Send(record.address, message), *result]

    def _suspect(
        self, record: _records.Record, now: float
    ) -> list[actions.Action]:
        core = self._core
        member = record.member
        core.detector.suspect(member.instance_id, member.incarnation, now, True)
        if member.state == State.LEAVING:
            # LEAVING, announced by the member itself, supersedes SUSPECT, so
            # the suspicion is only timed here and not spread.
            return []
        suspect = _records.with_state(member, State.SUSPECT)
        result = core.apply_update(suspect, now)
        return result + self.push_to(record, [suspect], now)

    def _ping_suspects(self, now: float) -> list[actions.Action]:
        # The suspect's answer carries its refutation, in case the suspicion or
        # an earlier refutation was lost on every other path.
        core = self._core
        detected = [
            i for i, s in core.detector.suspicions.items() if s.detected_here
        ]
        wanted = min(len(detected), self._options.suspect_pings)
        chosen = core.rng.sample(detected, self._extra_budget.take(wanted, now))
        result: list[actions.Action] = []
        for instance_id in chosen:
            record = core.table.get(instance_id)
            if record is not None:
                result += self.ping(record.address, now, record)
        return result

    def _is_local(self, record: _records.Record) -> bool:
        domain = record.member.failure_domain
        return record.present and domain == self._core.own_domain

    def _probe_ring_successor(self, now: float) -> list[actions.Action]:
        # Each member is probed by its two predecessors at fixed periods, which
        # bounds the time to the first probe after a death; with random probes
        # alone it has a long tail. Suspects are skipped: otherwise a dead
        # neighbour would delay the detection of the member after it.
        core = self._core
        self._successor_index = (
            self._successor_index + 1
        ) % self._options.ring_successors
        remaining = self._successor_index
        domain = core.table.domain(core.own_domain)
        for instance_id in domain.successors(core.key, core.own_id):
            record = core.table.get(instance_id)
            if record is None or instance_id in core.detector.suspicions:
                continue
            if remaining == 0:
                return self.ping(record.address, now, record)
            remaining -= 1
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
        result = self._ping_random_entry(now)
        if not core.is_bridge():
            return result
        names = set(core.table.domains)
        names |= {seed.failure_domain for seed in self._seeds}
        others = sorted(names - {core.own_domain, ""})
        if not others:
            return result
        self._remote_domain_index = (self._remote_domain_index + 1) % len(
            others
        )
        return result + self._ping_domain(
            others[self._remote_domain_index], now
        )

    def _ping_random_entry(self, now: float) -> list[actions.Action]:
        # Records of other failure domains reach the entries only through the
        # comparison of digests, so each entry pings one more entry each
        # period.
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
        # All known bridges of that failure domain may have gone. Any seed or
        # member can answer with its current members.
        usable = seeds or [r.address for r in core.table.present(name)]
        if not usable:
            return []
        return self.ping(core.rng.choice(usable), now)

    def _probe_seeds(self, now: float) -> list[actions.Action]:
        if not self._is_alone():
            self._tried_seeds.clear()
            return []
        return self._ping_seeds(
            self._untried_seeds() or self._local_seeds(), now
        )

    def _probe_untried_seeds(self, now: float) -> list[actions.Action]:
        # Most seeds may have gone, and the others may be about to leave. With
        # only some seeds probed each `join_s`, this process could miss the
        # last ones that know the other members and stay alone.
        if not self._is_alone():
            return []
        return self._ping_seeds(self._untried_seeds(), now)

    def _ping_seeds(
        self, usable: list[types.Address], now: float
    ) -> list[actions.Action]:
        chosen = self._core.rng.sample(usable, min(len(usable), _JOIN_PROBES))
        self._tried_seeds.update(chosen)
        result: list[actions.Action] = []
        for seed in chosen:
            result += self.ping(seed, now)
        return result

    def _untried_seeds(self) -> list[types.Address]:
        return [s for s in self._local_seeds() if s not in self._tried_seeds]

    def _is_alone(self) -> bool:
        core = self._core
        return len(core.table.domain(core.own_domain).ring) <= 1

    def _probe_lost_member(self, now: float) -> list[actions.Action]:
        # After a partition each half considers the other dead and would never
        # contact it again. One probe each period to a random lost member or
        # unknown seed restores contact; over all members of one half such
        # probes are frequent.
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
        # A member that is alive for a peer and dead for this process gets a
        # ping that says so, and refutes. Only a few are pinged each tick, so
        # that the end of a partition does not cause a burst of datagrams.
        core = self._core
        result: list[actions.Action] = []
        for instance_id in list(core.disputed_addresses)[
            : self._options.disputed_per_tick
        ]:
            address = core.disputed_addresses.pop(instance_id)
            record = core.table.get(instance_id)
            if record is not None and not record.present:
                result += self.ping(address, now, record)
        return result

    def _push_urgent(self, now: float) -> list[actions.Action]:
        core = self._core
        updates = core.dissemination.take_urgent(self._options.records_per_sync)
        if not updates:
            return []
        count = core.push_budget.take(self._options.fanout, now)
        if not count:
            # The updates are still in the piggyback queue.
            return [actions.Count("membership.pushes_limited")]
        result: list[actions.Action] = []
        for record in core.random_peers(count):
            result += self.push_to(record, updates, now)
        return result


class _Timer:
    """Runs a function each period; the first time after a part of one."""

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
        """Returns whether to run now, and if so sets the next time."""
        if now < self._next:
            return False
        # Runs missed during a delay are skipped.
        self._next = max(self._next + self._period, now)
        return True
