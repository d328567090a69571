"""One topic, read from the store by one process of a failure domain.

Each process keeps the newest values, and what it knows of their age, whether
the store or another process told it. Asked by others it reads the store itself
and answers from that alone, so nobody waits for somebody who waits for him.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import math

from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import _events
from clementinegw.direct import compacted_log
from clementinegw.direct import freshness as freshness_lib
from clementinegw.direct import hedged_call
from clementinegw.direct import outage
from clementinegw.direct import peer_queries
from clementinegw.direct import raw
from clementinegw.direct import reader_selector
from clementinegw.direct import topic_watch
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# How long the store may hold a question of a process that others ask for
# proofs, in seconds. Their knowledge is as old as its own and a twentieth more;
# an entry refuses unknown routes for good while that is under 1.9 s. Where the
# store goes silent for the reader alone, this and the store's 1.2 s of patience
# are over before entries take no new callers, at 2.75 s.
_SERVING_WAIT_S = 1.3
# How long a question for proofs may be held, in seconds. A reader that says
# nothing for this long and half a second more has stopped, and the next one is
# asked while the knowledge is young enough.
_FRESHNESS_WAIT_S = 1.4
# And both at most, as a part of the time in which a change must be known.
_SERVING_SHARE, _FRESHNESS_SHARE = 0.4, 0.45
# The store is read for this long after the last question of another process.
_SERVING_LINGER_S = 3.0
# How often an asker whose wait is over hears that it is not forgotten.
_KEEP_ALIVE_S = 0.3
# A whole answer, and one without news, may rest on a proof of this age, in
# seconds.
_MAX_AGE_S = 3.0
# An answer that takes so long beyond its wait is overdue, in seconds: one with
# a proof, which comes as soon as there is one; and any other, that of the store
# too, which may be slow or send much.
_FRESHNESS_OVERDUE_S, _OVERDUE_S = 0.2, 0.5
# Each further one is asked so much later, in seconds: nearly as long as the
# store takes to send one of them a large configuration, so that few send for
# it over one link.
_HEDGE_INTERVAL_S = 0.25
# How a question to another process fails where it gives no answer at all.
_NO_ANSWER_REASONS = frozenset({"broken", "timeout"})
# Failures in a row after which the store counts as out of reach from here. The
# first one may be a kept connection that had ended.
_MAX_FAILURES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _AnsweredCall:
    """One call that was answered.

    Attributes:
      offset: Where it asked from; None for everything.
      wait_s: For how long the answer might be kept back, in seconds.
      asked_at: When it was made, in seconds.
      now: When its answer was there.
    """

    offset: int | None
    wait_s: float
    asked_at: float
    now: float


# Takes an answer over; only the first one that came is.
_Accept = Callable[[], topic_watch.Batch]
_HedgedCall = hedged_call.HedgedCall[reader_selector.Reader, _Accept]


class SharedTopic:
    """Reads a topic as a `topic_watch.Source`, and answers others about it."""

    def __init__(
        self,
        name: str,
        topic: raw.Topic,
        peers: peer_queries.Peers,
        selector: reader_selector.ReaderSelector,
        poll_timing: topic_watch.PollTiming,
        notify_freshness: bool,
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: Callable[[], float],
        propagation_bound_s: float = math.inf,
        hedged: bool = True,
    ):
        """Does nothing before it is asked.

        Args:
          name: The topic's name between processes, in logs and counters.
          topic: Reads the store.
          peers: Asks other processes.
          selector: Whom to ask; shared by all topics of a process.
          poll_timing: How long an answer may wait.
          notify_freshness: Whether a newer proof is worth an answer by itself.
          log: Where events go.
          counters: Counts questions by where they went and how they ended.
          clock: Seconds that also count while the machine is suspended.
          propagation_bound_s: Within which a change must be known everywhere,
            in seconds, also where a reader falls out.
          hedged: Whether others are asked beside a reader that is overdue.
            One whose link is narrow hears late as a rule.
        """
        self._serving_wait_s = min(
            _SERVING_WAIT_S, _SERVING_SHARE * propagation_bound_s
        )
        self._freshness_wait_s = min(
            _FRESHNESS_WAIT_S, _FRESHNESS_SHARE * propagation_bound_s
        )
        self._name = name
        self._topic = topic
        self._peers = peers
        self._selector = selector
        self._poll_timing = poll_timing
        self._notify_freshness = notify_freshness
        self._hedged = hedged
        self._log = log
        self._counters = counters
        self._clock = clock
        self._compacted = compacted_log.CompactedLog()
        self._current_at: float | None = None
        self._freshness_id = 0
        self._seen_freshness: dict[types.Address, int] = {}
        self._reader: reader_selector.Reader = None
        self._reads_store = False
        self._failures = 0
        self._complete_until: float | None = None
        self._available_since = clock()
        self._outage_s = 0.0
        self._outages = outage.OutageTracker(clock)
        self._open_queries = 0
        self._serving_until = 0.0
        self._hedged_call: _HedgedCall | None = None
        self._changed = asyncio.Event()

    @property
    def serving(self) -> bool:
        """Whether others ask this process."""
        return bool(self._open_queries) or self._clock() < self._serving_until

    # What the own process asks.

    async def snapshot(self) -> topic_watch.Batch:
        """See `topic_watch.Source`."""
        return await self._read(None, 0.0)

    async def changes(self, offset: int, wait_s: float) -> topic_watch.Batch:
        """See `topic_watch.Source`."""
        return await self._read(offset, wait_s)

    async def _read(
        self, offset: int | None, wait_s: float
    ) -> topic_watch.Batch:
        order = self._selector.order(self.serving, is_snapshot=offset is None)
        if not order:
            raise peer_queries.Unable("the readers are starting", "starting")

        async def ask(reader: reader_selector.Reader) -> _Accept:
            if reader is None:
                return await self._ask_store(offset, wait_s)
            return await self._ask_peer(reader, offset, call.postpone)

        call = self._hedged_call = _HedgedCall(ask, topic_watch.HistoryLost)
        try:
            result = await call.run(
                order, self._hedge_timing(order[0], offset, wait_s)
            )
        finally:
            self._hedged_call = None
        for reader in result.overdue:
            self._mark_overdue(reader)
        self._log_reader(result.target, result.error)
        return result.answer()

    def _hedge_timing(
        self, first: reader_selector.Reader, offset: int | None, wait_s: float
    ) -> hedged_call.HedgeTiming:
        """Returns when others are asked beside the first one.

        Everything is asked of one after the other: at a start of all many ask
        for it, and the link to the store carries it once.
        """
        if offset is None or not self._hedged:
            return hedged_call.HedgeTiming(math.inf, math.inf)
        if first is None:
            overdue_s = self._store_wait_s(wait_s) + _OVERDUE_S
        else:
            margin_s = (
                _FRESHNESS_OVERDUE_S if self._notify_freshness else _OVERDUE_S
            )
            overdue_s = self._peer_wait_s(offset) + margin_s
        return hedged_call.HedgeTiming(overdue_s, _HEDGE_INTERVAL_S)

    def _store_wait_s(self, wait_s: float) -> float:
        """Returns for how long the store may hold a question."""
        if not self._reads_store:
            # The former reader's last proof is old by now, and whoever asks
            # here waits for a first one: it must not be held.
            return 0.0
        if self.serving and self._notify_freshness:
            return min(wait_s, self._serving_wait_s)
        return wait_s

    async def _ask_store(self, offset: int | None, wait_s: float) -> _Accept:
        asked_at = self._clock()
        wait_s = self._store_wait_s(wait_s)
        self._count("store", "asked")
        try:
            if offset is None:
                batch = await self._topic.snapshot()
            else:
                batch = await self._topic.changes(offset, wait_s)
        except exceptions.PlatformError as error:
            self._store_failed(error, asked_at, wait_s)
            raise
        call = _AnsweredCall(offset, wait_s, asked_at, self._clock())
        return lambda: self._accept_from_store(call, batch)

    def _accept_from_store(
        self, call: _AnsweredCall, batch: raw.Batch
    ) -> topic_watch.Batch:
        asked_at, now = call.asked_at, call.now
        self._outages.record_answer()
        if self._failures:
            self._available_since = now
            self._outage_s = self._outages.outage_s
        self._failures = 0
        self._selector.record_success(None)
        waited_s = 0.0 if call.offset is None else call.wait_s
        lag_s = freshness_lib.lag_s(
            asked_at, now, waited_s, self._complete_until
        )
        has_items = bool(batch.items)
        current_at = -math.inf
        if not batch.has_more:
            self._complete_until = freshness_lib.complete_until(
                asked_at, now, waited_s, has_items
            )
            held_s = 0.0 if has_items else waited_s
            current_at = freshness_lib.current_at(asked_at, now, held_s)
        self._reads_store = True
        self._store_batch(batch, call.offset is None, lag_s)
        return self._publish(batch, current_at, lag_s, billed=True)

    def _store_failed(
        self, error: exceptions.PlatformError, asked_at: float, wait_s: float
    ) -> None:
        self._count("store", "failed")
        if isinstance(error, topic_watch.HistoryLost):
            self._outages.record_answer()
            return
        self._outages.record_failure(asked_at, wait_s)
        self._failures += 1
        slow = getattr(error, "reason", "") == "timeout"
        if slow or self._failures >= _MAX_FAILURES:
            self._mark_store_failed()

    def _mark_store_failed(self) -> None:
        self._reads_store = False
        self._selector.record_failure(None)
        self._wake_waiters()

    def _mark_overdue(self, reader: reader_selector.Reader) -> None:
        """Notes one that another one was asked beside, and was slower."""
        if reader is None:
            self._count("store", "overdue")
            self._mark_store_failed()
        else:
            self._count("peer", "overdue")
            self._selector.record_failure(reader)

    def _peer_wait_s(self, offset: int | None) -> float:
        """Returns for how long another process may hold a question."""
        if offset is None:
            return 0.0
        return (
            self._freshness_wait_s
            if self._notify_freshness
            else self._poll_timing.wait_s
        )

    async def _ask_peer(
        self,
        reader: types.Address,
        offset: int | None,
        on_progress: Callable[[], None],
    ) -> _Accept:
        asked_at = self._clock()
        freshness_id = (
            self._seen_freshness.get(reader, 0)
            if self._notify_freshness
            else None
        )
        wait_s = self._peer_wait_s(offset)
        query = peer_queries.Query(self._name, offset, freshness_id, wait_s)
        self._count("peer", "asked")
        try:
            update = await self._peers.ask(reader, query, on_progress)
        except topic_watch.HistoryLost:
            self._count("peer", "lost")
            raise
        except exceptions.PlatformUnavailable as error:
            self._count("peer", error.reason or "failed")
            self._selector.record_failure(
                reader, unreachable=error.reason in _NO_ANSWER_REASONS
            )
            self._seen_freshness.pop(reader, None)
            raise
        call = _AnsweredCall(offset, wait_s, asked_at, self._clock())
        return lambda: self._accept_from_peer(reader, call, update)

    def _accept_from_peer(
        self,
        reader: types.Address,
        call: _AnsweredCall,
        update: peer_queries.Update,
    ) -> topic_watch.Batch:
        asked_at, now = call.asked_at, call.now
        self._reads_store = False
        self._selector.record_success(reader)
        self._seen_freshness = {reader: update.freshness_id}
        if now - update.available_s > self._available_since:
            self._available_since = now - update.available_s
            self._outage_s = update.outage_s
        held_s = (
            freshness_lib.current_at(asked_at, now, update.held_s) - asked_at
        )
        # By the other process's clock the answer left at `asked_at + held_s`
        # at the earliest; what is older than that cannot be ruled out.
        current_at = asked_at + held_s - update.age_s
        lag_s = self._lag_s(update, now, now - asked_at - held_s)
        self._complete_until = now if update.items else asked_at + held_s
        batch = raw.Batch(update.items, update.next_offset)
        self._store_batch(batch, call.offset is None, lag_s)
        return self._publish(batch, current_at, lag_s, billed=False)

    def _lag_s(
        self, update: peer_queries.Update, now: float, transit_s: float
    ) -> float:
        """Returns how long what another process told may have lain.

        It can't tell of what it found when it began to read itself; what was
        not there at this process's own last answer is no older than that.
        """
        max_s = (
            math.inf
            if self._complete_until is None
            else now - self._complete_until
        )
        if update.lag_s is None:
            return max_s
        return min(update.lag_s + transit_s, max_s)

    def _store_batch(
        self, batch: raw.Batch, is_snapshot: bool, lag_s: float
    ) -> None:
        now = self._clock()
        if is_snapshot:
            self._compacted.replace(batch, now)
        else:
            self._compacted.add(batch, now - lag_s)

    def _publish(
        self, batch: raw.Batch, current_at: float, lag_s: float, billed: bool
    ) -> topic_watch.Batch:
        if self._current_at is None or current_at > self._current_at:
            self._current_at = current_at
            self._freshness_id += 1
        self._wake_waiters()
        available_s = self._clock() - self._available_since
        return topic_watch.Batch(
            self._topic.decoded(batch.items),
            batch.next_offset,
            freshness_lib.Freshness(
                self._current_at, lag_s, available_s, self._outage_s
            ),
            billed,
        )

    def _log_reader(
        self,
        reader: reader_selector.Reader,
        error: exceptions.PlatformError | None,
    ) -> None:
        if reader == self._reader:
            return
        self._log.write(
            _events.READER_CHANGED,
            topic=self._name,
            reader=str(reader or "store"),
            was=str(self._reader or "store"),
            reason=error.message if error else "its turn",
        )
        self._reader = reader

    def _count(self, where: str, what: str) -> None:
        self._counters.add(f"topics.{self._name}.{where}.{what}")

    # What others ask.

    async def answer(
        self,
        query: peer_queries.Query,
        send_keep_alive: Callable[[], Awaitable[None]],
    ) -> peer_queries.Update:
        """Answers another process once there is something to say.

        Args:
          query: What it asks.
          send_keep_alive: Tells it from time to time that it is not forgotten.

        Raises:
          topic_watch.HistoryLost: What it lacks is not known here any more.
          peer_queries.Unable: The store is out of reach from here.
        """
        started = self._clock()
        self._count("served", "asked")
        self._open_queries += 1
        try:
            self._switch_to_store()
            while not self._can_answer(query, started):
                if self._selector.is_backed_off(None):
                    self._count("served", "unable")
                    raise peer_queries.Unable(
                        "the store does not answer here", "unable"
                    )
                await self._wait_for_change()
                if self._clock() >= started + query.wait_s:
                    await send_keep_alive()
            # Not for one that got no answer: while the store is away all ask
            # each other, and all would read it for others when it returns.
            self._serving_until = self._clock() + _SERVING_LINGER_S
            return self._make_update(query, started)
        finally:
            self._open_queries -= 1

    def _switch_to_store(self) -> None:
        # From the store, so that nobody waits for somebody who waits for him.
        if self._hedged_call is not None and not self._selector.is_backed_off(
            None
        ):
            self._hedged_call.switch_to(None)

    def _can_answer(self, query: peer_queries.Query, started: float) -> bool:
        end = self._compacted.next_offset
        if end is None or self._current_at is None:
            return False
        if query.offset is not None and query.offset < end:
            # Whoever told it: what is here need not be read again, and its
            # age goes with it.
            return True
        if not self._reads_store:
            return False
        now = self._clock()
        is_fresh = now - self._current_at < _MAX_AGE_S
        if query.offset is None:
            # A process that was suspended would tell of what is gone since.
            return is_fresh
        if query.freshness_id is not None:
            return query.freshness_id != self._freshness_id
        return is_fresh and now >= started + query.wait_s

    def _make_update(
        self, query: peer_queries.Query, started: float
    ) -> peer_queries.Update:
        assert self._current_at is not None
        assert self._compacted.next_offset is not None
        now = self._clock()
        offset = query.offset
        lag_s: float | None = None
        if offset is None:
            items = self._compacted.all()
        else:
            items = self._compacted.since(offset)
            lag_s = max(0.0, now - self._compacted.added_after(offset))
        return peer_queries.Update(
            items=items,
            next_offset=max(self._compacted.next_offset, offset or 0),
            freshness_id=self._freshness_id,
            age_s=now - self._current_at,
            held_s=now - started,
            lag_s=lag_s,
            available_s=now - self._available_since,
            outage_s=self._outage_s,
            readers=self._selector.candidates,
        )

    async def _wait_for_change(self) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(_KEEP_ALIVE_S):
                await changed.wait()
        except TimeoutError:
            # Nothing changed; the asker is told so.
            return

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
