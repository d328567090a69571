"""Shares a topic that one process of a failure domain reads from the store.

Each process keeps a compacted copy of the topic and how fresh it is, whether it
comes from the store or from a peer. A process that is queried by peers reads
the store itself and reports only freshness from there, so that processes do not
wait for each other in a cycle.
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
from clementinegw.telemetry import errors
from clementinegw.telemetry import logs

# How long the store may hold a poll of a process that is queried for freshness,
# in seconds. The copies of its peers get as old as its own, plus 5 %, and an
# entry rejects unknown routes as final only while that is below 1.9 s. If the
# store stops answering only the reader, this wait and the further 1.2 s after
# which the poll fails end before 2.75 s, the age at which entries accept no new
# callers.
_SERVING_WAIT_S = 1.3
# How long a query for freshness may be held, in seconds. A reader that is
# silent for this time plus 0.5 s has stopped, and the next reader is queried
# while the copy is still fresh enough.
_FRESHNESS_WAIT_S = 1.4
# The maximum of both waits as a share of the time in which a change must be
# known.
_SERVING_SHARE, _FRESHNESS_SHARE = 0.4, 0.45
# How long the store is read after the last query of a peer, in seconds.
_SERVING_LINGER_S = 3.0
# The interval of keep-alive frames after the end of a query's wait, in seconds.
_KEEP_ALIVE_S = 0.3
# The maximum age of the copy for an answer with a snapshot or without changes,
# in seconds.
_MAX_AGE_S = 3.0
# How long after its wait an answer is overdue, in seconds. An answer about
# freshness comes as soon as the reader has one. Any other may be slow or large,
# as may those of the store.
_FRESHNESS_OVERDUE_S, _OVERDUE_S = 0.2, 0.5
# The time between hedged calls, in seconds: nearly as long as the store takes
# to send a large configuration, so that few processes fetch it over one link.
_HEDGE_INTERVAL_S = 0.25
# The reasons of a failed query if the peer gave no answer at all.
_NO_ANSWER_REASONS = frozenset({"broken", "timeout"})
# The number of consecutive failures after which the store counts as
# unreachable. A single one may be due to a kept connection that had ended.
_MAX_FAILURES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _AnsweredCall:
    """The parameters and times of a call that was answered.

    Attributes:
      position: The first requested position; None for a snapshot.
      wait_s: How long the answer may have been held, in seconds.
      asked_at: When the call was sent, in seconds.
      now: When its answer arrived, in seconds.
    """

    position: int | None
    wait_s: float
    asked_at: float
    now: float


# Applies an answer to the copy; called for the first answer only.
_Accept = Callable[[], topic_watch.Batch]
_HedgedCall = hedged_call.HedgedCall[reader_selector.Reader, _Accept]


class SharedTopic:
    """Reads a topic as a `topic_watch.Source` and answers queries about it."""

    def __init__(
        self,
        name: str,
        topic: raw.Topic,
        peers: peer_queries.Peers,
        selector: reader_selector.ReaderSelector,
        poll_timing: topic_watch.PollTiming,
        needs_freshness: bool,
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: Callable[[], float],
        propagation_bound_s: float = math.inf,
        hedges: bool = True,
    ):
        """Makes no calls before it is used.

        Args:
          name: The topic's name in queries, logs and counters.
          topic: Reads the store.
          peers: Queries other processes.
          selector: Selects the readers; shared by all topics of a process.
          poll_timing: How long a query may be held.
          needs_freshness: Whether the age of the copy matters, so that peers
            should also answer when only their freshness has changed.
          log: Receives events.
          counters: Counts queries by target and result.
          clock: Returns seconds, including time while suspended.
          propagation_bound_s: The time within which a change must be known
            everywhere even if a reader fails, in seconds.
          hedges: Whether further readers are queried while one is overdue. A
            process with a narrow link regularly gets answers late.
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
        self._needs_freshness = needs_freshness
        self._hedges = hedges
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
        self._call: _HedgedCall | None = None
        self._changed = asyncio.Event()

    @property
    def serving(self) -> bool:
        """Whether peers query this process."""
        return bool(self._open_queries) or self._clock() < self._serving_until

    # Reads of this process.

    async def snapshot(self) -> topic_watch.Batch:
        """See `topic_watch.Source`."""
        return await self._read(None, 0.0)

    async def changes(self, position: int, wait_s: float) -> topic_watch.Batch:
        """See `topic_watch.Source`."""
        return await self._read(position, wait_s)

    async def _read(
        self, position: int | None, wait_s: float
    ) -> topic_watch.Batch:
        is_snapshot = position is None
        order = self._selector.order(self.serving, is_snapshot)
        if not order:
            raise peer_queries.Unable("the readers are starting", "starting")

        async def ask(reader: reader_selector.Reader) -> _Accept:
            try:
                if reader is None:
                    return await self._ask_store(position, wait_s)
                return await self._ask_peer(reader, position, call.postpone)
            except exceptions.PlatformError:
                raise
            except Exception as error:
                raise self._unexpected(reader, error) from error

        call = self._call = _HedgedCall(ask, topic_watch.HistoryLost)
        try:
            result = await call.run(
                order,
                self._hedge_timing(order[0], position, wait_s),
                lambda: self._selector.usable_peers(is_snapshot),
            )
        finally:
            self._call = None
        for reader in result.overdue:
            self._mark_overdue(reader)
        self._log_reader(result.target, result.error)
        return result.answer()

    def _hedge_timing(
        self, first: reader_selector.Reader, position: int | None, wait_s: float
    ) -> hedged_call.HedgeTiming:
        """Returns when further readers are queried besides the first one.

        Snapshots are not hedged: many processes may need one at the same time
        after a common start, and it should cross the link to the store once.
        """
        if position is None or not self._hedges:
            return hedged_call.HedgeTiming(math.inf, math.inf)
        if first is None:
            overdue_s = self._store_wait_s(wait_s) + _OVERDUE_S
        else:
            margin_s = (
                _FRESHNESS_OVERDUE_S if self._needs_freshness else _OVERDUE_S
            )
            overdue_s = self._peer_wait_s(position) + margin_s
        return hedged_call.HedgeTiming(overdue_s, _HEDGE_INTERVAL_S)

    def _store_wait_s(self, wait_s: float) -> float:
        """Returns how long the store may hold a poll, in seconds."""
        if not self._reads_store:
            # The copy from the previous reader has aged by now, and peers may
            # be waiting for a first answer, so this poll must not be held.
            return 0.0
        if self.serving and self._needs_freshness:
            return min(wait_s, self._serving_wait_s)
        return wait_s

    async def _ask_store(self, position: int | None, wait_s: float) -> _Accept:
        asked_at = self._clock()
        wait_s = self._store_wait_s(wait_s)
        self._count("store", "asked")
        try:
            if position is None:
                batch = await self._topic.snapshot()
            else:
                batch = await self._topic.changes(position, wait_s)
        except exceptions.PlatformError as error:
            self._store_failed(error, asked_at, wait_s)
            raise
        call = _AnsweredCall(position, wait_s, asked_at, self._clock())
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
        waited_s = 0.0 if call.position is None else call.wait_s
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
        self._store_batch(batch, call.position is None, lag_s)
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

    def _unexpected(
        self, reader: reader_selector.Reader, error: Exception
    ) -> peer_queries.Unable:
        """Records an unexpected error; returns the failure of the call.

        The next reader is queried then as after any failure. Otherwise the copy
        would age for as long as this reader is the first one in order.
        """
        if reader is None:
            self._count("store", "unexpected")
            self._mark_store_failed()
        else:
            self._count("peer", "unexpected")
            self._selector.record_failure(reader)
        found = errors.describe(error)
        return peer_queries.Unable(
            f"{reader or 'store'}: {found['error']} at {found['at']}",
            "unexpected",
        )

    def _mark_store_failed(self) -> None:
        self._reads_store = False
        self._selector.record_failure(None)
        self._wake_waiters()

    def _mark_overdue(self, reader: reader_selector.Reader) -> None:
        """Records a reader that was overdue when another one answered."""
        if reader is None:
            self._count("store", "overdue")
            self._mark_store_failed()
        else:
            self._count("peer", "overdue")
            self._selector.record_failure(reader)

    def _peer_wait_s(self, position: int | None) -> float:
        """Returns how long a peer may hold a query, in seconds."""
        if position is None:
            return 0.0
        return (
            self._freshness_wait_s
            if self._needs_freshness
            else self._poll_timing.wait_s
        )

    async def _ask_peer(
        self,
        reader: types.Address,
        position: int | None,
        on_progress: Callable[[], None],
    ) -> _Accept:
        asked_at = self._clock()
        freshness_id = (
            self._seen_freshness.get(reader, 0)
            if self._needs_freshness
            else None
        )
        wait_s = self._peer_wait_s(position)
        query = peer_queries.Query(self._name, position, freshness_id, wait_s)
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
        call = _AnsweredCall(position, wait_s, asked_at, self._clock())
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
        # The peer sent the answer at `asked_at + held_s` at the earliest, by
        # its clock. Its copy may be older by `age_s` than that.
        current_at = asked_at + held_s - update.age_s
        lag_s = self._lag_s(update, now, now - asked_at - held_s)
        self._complete_until = now if update.items else asked_at + held_s
        batch = raw.Batch(update.items, update.next_position)
        self._store_batch(batch, call.position is None, lag_s)
        return self._publish(batch, current_at, lag_s, billed=False)

    def _lag_s(
        self, update: peer_queries.Update, now: float, transit_s: float
    ) -> float:
        """Returns the maximum time that items from a peer lay unread.

        The peer does not know it for items that it found when it began to read.
        Items that are new since this process's own last answer cannot have lain
        unread for longer than since then.
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
            batch.next_position,
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
            reason=error.message if error else "first in order",
        )
        self._reader = reader

    def _count(self, where: str, what: str) -> None:
        self._counters.add(f"topics.{self._name}.{where}.{what}")

    # Queries of peers.

    async def answer(
        self,
        query: peer_queries.Query,
        send_keep_alive: Callable[[], Awaitable[None]],
    ) -> peer_queries.Update:
        """Returns the answer to a query, once there is one.

        Args:
          query: The query of a peer.
          send_keep_alive: Reports that the query is still held; called
            repeatedly after the end of the query's wait.

        Raises:
          topic_watch.HistoryLost: Not all changes since the position are known.
          peer_queries.Unable: This process cannot reach the store.
        """
        received_at = self._clock()
        self._count("served", "asked")
        self._open_queries += 1
        try:
            self._switch_to_store()
            while not self._can_answer(query, received_at):
                if self._selector.is_backed_off(None):
                    self._count("served", "unable")
                    raise peer_queries.Unable(
                        "the store does not answer here", "unable"
                    )
                await self._wait_for_change()
                if self._clock() >= received_at + query.wait_s:
                    await send_keep_alive()
            # Only after an answer: while the store is unavailable, all
            # processes query each other. If that made them serve, all of them
            # would read the store when it returns.
            self._serving_until = self._clock() + _SERVING_LINGER_S
            return self._make_update(query, received_at)
        finally:
            self._open_queries -= 1

    def _switch_to_store(self) -> None:
        # Reads from the store, so that processes do not wait in a cycle.
        if self._call is not None and not self._selector.is_backed_off(None):
            self._call.switch_to(None)

    def _can_answer(
        self, query: peer_queries.Query, received_at: float
    ) -> bool:
        next_position = self._compacted.next_position
        if next_position is None or self._current_at is None:
            return False
        if query.position is not None and query.position < next_position:
            # Items that are here can be passed on even if they come from a
            # peer, as their age is passed on with them.
            return True
        if not self._reads_store:
            return False
        now = self._clock()
        is_fresh = now - self._current_at < _MAX_AGE_S
        if query.position is None:
            # A process that was suspended has keys that were deleted since.
            return is_fresh
        if query.freshness_id is not None:
            return query.freshness_id != self._freshness_id
        return is_fresh and now >= received_at + query.wait_s

    def _make_update(
        self, query: peer_queries.Query, received_at: float
    ) -> peer_queries.Update:
        assert self._current_at is not None
        assert self._compacted.next_position is not None
        now = self._clock()
        position = query.position
        lag_s: float | None = None
        if position is None:
            items = self._compacted.all()
        else:
            items = self._compacted.since(position)
            lag_s = max(0.0, now - self._compacted.added_after(position))
        return peer_queries.Update(
            items=items,
            next_position=max(self._compacted.next_position, position or 0),
            freshness_id=self._freshness_id,
            age_s=now - self._current_at,
            held_s=now - received_at,
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
            # Nothing changed, so the caller may send a keep-alive.
            return

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
