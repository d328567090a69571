"""Handling of datagrams: trust in the sender, updates and answers."""

import enum

from clementinegw import types
from clementinegw.membership import _core
from clementinegw.membership import _events
from clementinegw.membership import _probing
from clementinegw.membership import _records
from clementinegw.membership import actions
from clementinegw.membership import detector
from clementinegw.membership import sync
from clementinegw.membership import token_bucket
from clementinegw.membership import window
from clementinegw.wire.gen.membership import ttypes

State = _records.State
Kind = ttypes.GossipKind


class Trust(enum.Enum):
    """How far the sender of a datagram is trusted.

    The values are parts of counter names.

    Attributes:
      KNOWN: A live member.
      UNVERIFIED: An unknown member, or a newer incarnation of a dead one. It
        must answer a ping first, because a replayed datagram of an earlier
        incarnation would look the same.
      UNTRUSTED: A dead or suspect member, or an older incarnation. The answer
        to its ping says so, and it refutes if it is alive.
    """

    KNOWN = "known"
    UNVERIFIED = "stranger"
    UNTRUSTED = "disbelieved"


class Receiving:
    """Handles the datagrams of peers."""

    def __init__(self, core: _core.Core, probing: _probing.Probing, now: float):
        self._core = core
        self._probing = probing
        self._replay_windows: dict[str, window.ReplayWindow] = {}
        self._sync_answer_budget = token_bucket.TokenBucket(
            core.options.sync_answers_rate,
            core.options.sync_answers_rate,
            now,
        )
        self._matching_digests = 0
        self._handlers = {
            Kind.PING: self._on_ping,
            Kind.ACK: self._on_ack,
            Kind.PING_REQUEST: self._on_ping_request,
            Kind.UPDATES: self._on_updates,
            Kind.SYNC_ASK: self._on_sync_request,
            Kind.SYNC_RECORDS: self._on_sync_records,
        }

    def handle(
        self, message: ttypes.Gossip, source: types.Address, now: float
    ) -> list[actions.Action]:
        """Handles one datagram whose proof of the key has been checked."""
        handler = self._handlers.get(message.kind)
        if handler is None:
            return [actions.Count("membership.refused.unknown_kind")]
        if message.sender == self._core.own_id:
            return [actions.Count("membership.refused.own_datagram")]
        trust = self._sender_trust(message)
        if trust is None:
            return [actions.Count("membership.refused.replayed")]
        return handler(message, source, trust, now)

    def drop_tombstones(self, now: float) -> None:
        """Drops old tombstones and the replay windows of their members."""
        core = self._core
        for instance_id in core.table.drop_tombstones(
            now - core.options.tombstone_s
        ):
            self._replay_windows.pop(instance_id, None)

    def _sender_trust(self, message: ttypes.Gossip) -> Trust | None:
        record = self._core.table.get(message.sender)
        if record is None:
            return Trust.UNVERIFIED
        known = record.member
        replay_window = self._replay_windows.setdefault(
            message.sender, window.ReplayWindow()
        )
        if not replay_window.accept(message.sequence):
            return None
        if message.incarnation > known.incarnation:
            if record.present:
                return Trust.KNOWN
            return Trust.UNVERIFIED
        if message.incarnation < known.incarnation:
            return Trust.UNTRUSTED
        if known.state in (State.ALIVE, State.LEAVING):
            return Trust.KNOWN
        return Trust.UNTRUSTED

    def _on_ping(
        self,
        message: ttypes.Gossip,
        source: types.Address,
        trust: Trust,
        now: float,
    ) -> list[actions.Action]:
        core = self._core
        result = self._apply_contents(message, source, trust, now)
        record = core.table.get(message.sender)
        known = trust is Trust.KNOWN and record is not None
        answer = core.new_message(
            Kind.ACK, now, record.member if known and record else None
        )
        answer.answers = message.sequence
        answer.settled = core.settled
        if not known or message.introduction is not None:
            answer.introduction = core.own_member
        if trust is Trust.UNTRUSTED and record is not None:
            answer.updates = [record.member]
        result.append(actions.Send(source, answer))
        if trust is Trust.UNVERIFIED:
            result += self._probing.ping_unverified(source, now)
        return result

    def _on_ack(
        self,
        message: ttypes.Gossip,
        source: types.Address,
        trust: Trust,
        now: float,
    ) -> list[actions.Action]:
        core = self._core
        relay = core.detector.take_relay(message.answers)
        if relay is not None:
            return self._forward_ack(message, relay, now)
        probe = core.detector.take_probe(message.answers)
        if probe is None:
            return [actions.Count("membership.late_answers")]
        if message.target is None and trust is Trust.UNVERIFIED:
            trust = self._verify_introduction(message)
            result = self._apply_introduction(message, now)
        else:
            result = []
        return result + self._apply_contents(message, source, trust, now)

    def _verify_introduction(self, message: ttypes.Gossip) -> Trust:
        # The answer contains the sequence of an open probe, so it is not a
        # replay.
        introduction = message.introduction
        if introduction is None or introduction.instance_id != message.sender:
            return Trust.UNVERIFIED
        replay_window = window.ReplayWindow()
        replay_window.accept(message.sequence)
        self._replay_windows[message.sender] = replay_window
        return Trust.KNOWN

    def _apply_introduction(
        self, message: ttypes.Gossip, now: float
    ) -> list[actions.Action]:
        if message.introduction is None:
            return []
        return self._core.apply_update(message.introduction, now)

    def _forward_ack(
        self, message: ttypes.Gossip, relay: detector.Relay, now: float
    ) -> list[actions.Action]:
        record = self._core.table.get(message.sender)
        answer = self._core.new_message(Kind.ACK, now, None)
        answer.answers = relay.sequence
        answer.target = record.member if record is not None else None
        return [actions.Send(relay.requester, answer)]

    def _on_ping_request(
        self,
        message: ttypes.Gossip,
        source: types.Address,
        trust: Trust,
        now: float,
    ) -> list[actions.Action]:
        target = message.target
        if trust is not Trust.KNOWN or target is None:
            return [actions.Count("membership.refused.ping_request")]
        core = self._core
        result = self._apply_contents(message, source, trust, now)
        ping = core.new_message(Kind.PING, now, target)
        core.detector.add_relay(
            ping.sequence,
            detector.Relay(
                source, message.answers, now + core.options.probe_timeout_s
            ),
        )
        address = types.Address(target.host, target.port)
        result.append(actions.Send(address, ping))
        return result

    def _on_updates(
        self,
        message: ttypes.Gossip,
        source: types.Address,
        trust: Trust,
        now: float,
    ) -> list[actions.Action]:
        return self._apply_contents(message, source, trust, now)

    def _on_sync_request(
        self,
        message: ttypes.Gossip,
        source: types.Address,
        trust: Trust,
        now: float,
    ) -> list[actions.Action]:
        core = self._core
        # An agent stores no members of other failure domains, so their bridges
        # stay unverified to it. If a bridge knows only an agent of this
        # failure domain and got no answer from it, its entries would never
        # learn the other members. The answer contains only what any member
        # may know.
        if trust is Trust.UNTRUSTED:
            return [actions.Count("membership.refused.sync")]
        granted = self._sync_answer_budget.take(
            core.options.datagrams_per_sync, now
        )
        if not granted:
            return [actions.Count("membership.sync_limited")]
        name = message.sync_domain or ""
        request = sync.SyncRequest(
            message.prints or b"", max(message.parts or 1, 1), message.part or 0
        )
        result: list[actions.Action] = []
        for members in core.sync.missing_records(name, request, granted) or [
            []
        ]:
            answer = core.new_message(Kind.SYNC_RECORDS, now, None)
            answer.sync_domain = name
            answer.updates = members
            if not result:
                answer.prints = core.sync.unknown_fingerprints(name, request)
            result.append(actions.Send(source, answer))
        return result

    def _on_sync_records(
        self,
        message: ttypes.Gossip,
        source: types.Address,
        trust: Trust,
        now: float,
    ) -> list[actions.Action]:
        if trust is not Trust.KNOWN:
            return [actions.Count("membership.refused.sync")]
        core = self._core
        result: list[actions.Action] = [actions.Count("membership.syncs")]
        result += self._apply_contents(message, source, trust, now)
        result += self._mark_unlisted_dead(message, now)
        dead_members = self._dead_remote_members(message)
        if dead_members:
            reply = core.new_message(Kind.UPDATES, now, None)
            reply.updates = dead_members
            result.append(actions.Send(source, reply))
        return result

    def _mark_unlisted_dead(
        self, message: ttypes.Gossip, now: float
    ) -> list[actions.Action]:
        # A failure domain that was partitioned for longer than its tombstones
        # are kept no longer knows which of its members died. Its own list is
        # complete, so a member that is missing there has gone.
        core = self._core
        name = message.sync_domain or ""
        sender = core.table.get(message.sender)
        if name == core.own_domain or sender is None:
            return []
        if sender.member.failure_domain != name:
            return []
        result: list[actions.Action] = []
        for member in core.sync.members_by_fingerprint(
            name, message.prints or b""
        ):
            result += core.apply_update(
                _records.with_state(member, State.DEAD), now
            )
        return result

    def _dead_remote_members(
        self, message: ttypes.Gossip
    ) -> list[ttypes.Member]:
        # A peer that still lists dead members of another failure domain gets
        # their death as an update. For this process's own failure domain it
        # does not: after a partition the halves consider each other dead, the
        # first exchange would spread the death of a whole live half, and its
        # members would flap until each has refuted.
        if message.sync_domain == self._core.own_domain:
            return []
        records = [
            self._core.table.get(member.instance_id)
            for member in message.updates
        ]
        return [r.member for r in records if r is not None and not r.present]

    def _apply_contents(
        self,
        message: ttypes.Gossip,
        source: types.Address,
        trust: Trust,
        now: float,
    ) -> list[actions.Action]:
        core = self._core
        result: list[actions.Action] = []
        if trust is not Trust.KNOWN:
            # An update about this process is harmless from any sender: it only
            # causes a refutation.
            own_updates = [
                m for m in message.updates if m.instance_id == core.own_id
            ]
            for member in own_updates:
                result += core.apply_update(member, now)
            return [*result, actions.Count(f"membership.{trust.value}")]
        for member in message.updates:
            result += self._apply_update(member, now)
        for report in message.reports:
            if core.table.apply_report(report):
                core.dissemination.add_report(report)
        core.newest_revision = max(
            core.newest_revision, message.newest_revision
        )
        for summary in message.domains:
            result += self._compare_digest(summary, source, message, now)
        return result

    def _apply_update(
        self, member: ttypes.Member, now: float
    ) -> list[actions.Action]:
        core = self._core
        record = core.table.get(member.instance_id)
        result = core.apply_update(member, now)
        if result or record is None or record.present:
            return result
        if (
            member.state < State.DEAD
            and member.incarnation == record.member.incarnation
            and member.failure_domain == core.own_domain
        ):
            core.disputed_addresses[member.instance_id] = record.address
        return result

    def _compare_digest(
        self,
        summary: ttypes.DomainSummary,
        source: types.Address,
        message: ttypes.Gossip,
        now: float,
    ) -> list[actions.Action]:
        core = self._core
        name = summary.failure_domain
        local = name == core.own_domain
        core.domains.apply_summary(summary, now)
        if not local and not core.tracks_remote_domains(core.own_member):
            return []
        result: list[actions.Action] = []
        if core.sync.needs_request(name, summary.digest, core.settled, now):
            request = core.sync.build_request(name)
            sync_ask = core.new_message(Kind.SYNC_ASK, now, None)
            sync_ask.sync_domain = name
            sync_ask.prints = request.fingerprints
            sync_ask.parts = request.parts
            sync_ask.part = request.part
            result.append(actions.Send(source, sync_ask))
        if local and message.kind == Kind.ACK and not core.settled:
            result += self._update_settled(summary, message)
        return result

    def _update_settled(
        self, summary: ttypes.DomainSummary, message: ttypes.Gossip
    ) -> list[actions.Action]:
        # Two processes that have just started agree trivially, because neither
        # knows any member. So one matching digest suffices only from a settled
        # peer. After a restart of the whole deployment no peer is settled;
        # then several matching digests in a row suffice.
        core = self._core
        if core.table.domain(core.own_domain).digest != summary.digest:
            self._matching_digests = 0
            return []
        self._matching_digests += 1
        enough = self._matching_digests >= core.options.settle_matches
        if not enough and not message.settled:
            return []
        core.settled = True
        return [actions.LogEvent(_events.VIEW_SETTLED, core.own_id)]
