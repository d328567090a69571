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
from clementinegw.direct import choice as choices
from clementinegw.direct import follow
from clementinegw.direct import freshness as freshness_lib
from clementinegw.direct import hedged_call
from clementinegw.direct import newest as newest_lib
from clementinegw.direct import outage
from clementinegw.direct import questions
from clementinegw.direct import raw
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
_FRESH_WAIT_S = 1.4
# And both at most, as a part of the time in which a change must be known.
_SERVING_SHARE, _FRESH_SHARE = 0.4, 0.45
# The store is read for this long after the last question of another process.
_KEEP_UP_S = 3.0
# How often an asker whose wait is over hears that it is not forgotten.
_SAY_S = 0.3
# A whole answer, and one without news, may rest on a proof of this age, in
# seconds.
_YOUNG_S = 3.0
# An answer that takes so long beyond its wait is overdue, in seconds: one with
# a proof, which comes as soon as there is one; and any other, that of the store
# too, which may be slow or send much.
_FRESH_OVERDUE_S, _OVERDUE_S = 0.2, 0.5
# Each further one is asked so much later, in seconds: nearly as long as the
# store takes to send one of them a large configuration, so that few send for
# it over one link.
_STEP_S = 0.25
# How a question to another process fails where it gives no answer at all.
_NO_ANSWER = frozenset({"broken", "timeout"})
# Failures in a row after which the store counts as out of reach from here. The
# first one may be a kept connection that had ended.
_FAILURES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
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
_Taking = Callable[[], follow.Batch]
_HedgedCall = hedged_call.HedgedCall[choices.Reader, _Taking]


class Shared:
    """Reads one topic as a `follow.Source`, and answers others about it."""

    def __init__(
        self,
        name: str,
        topic: raw.Topic,
        peers: questions.Peers,
        choice: choices.Choice,
        pace: follow.Pace,
        fresh: bool,
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: Callable[[], float],
        bound_s: float = math.inf,
        hurried: bool = True,
    ):
        """Does nothing before it is asked.

        Args:
          name: The topic's name between processes, in logs and counters.
          topic: Reads the store.
          peers: Asks other processes.
          choice: Whom to ask; shared by all topics of a process.
          pace: How long an answer may wait.
          fresh: Whether a newer proof is worth an answer by itself.
          log: Where events go.
          counters: Counts questions by where they went and how they ended.
          clock: Seconds that also count while the machine is suspended.
          bound_s: Within which a change must be known everywhere, in seconds,
            also where a reader falls out.
          hurried: Whether others are asked beside a reader that is overdue.
            One whose link is narrow hears late as a rule.
        """
        self._serving_wait_s = min(_SERVING_WAIT_S, _SERVING_SHARE * bound_s)
        self._fresh_wait_s = min(_FRESH_WAIT_S, _FRESH_SHARE * bound_s)
        self._name = name
        self._topic = topic
        self._peers = peers
        self._choice = choice
        self._pace = pace
        self._fresh = fresh
        self._hurried = hurried
        self._log = log
        self._counters = counters
        self._clock = clock
        self._newest = newest_lib.Newest()
        self._current_at: float | None = None
        self._proof = 0
        self._seen: dict[types.Address, int] = {}
        self._reader: choices.Reader = None
        self._direct = False
        self._failures = 0
        self._complete_until: float | None = None
        self._settled_at = clock()
        self._outage_s = 0.0
        self._watch = outage.Watch(clock)
        self._open = 0
        self._asked_until = 0.0
        self._hedged_call: _HedgedCall | None = None
        self._changed = asyncio.Event()

    @property
    def serving(self) -> bool:
        """Whether others ask this process."""
        return bool(self._open) or self._clock() < self._asked_until

    # What the own process asks.

    async def newest(self) -> follow.Batch:
        """See `follow.Source`."""
        return await self._read(None, 0.0)

    async def changes(self, offset: int, wait_s: float) -> follow.Batch:
        """See `follow.Source`."""
        return await self._read(offset, wait_s)

    async def _read(self, offset: int | None, wait_s: float) -> follow.Batch:
        order = self._choice.order(self.serving, whole=offset is None)
        if not order:
            raise questions.Unable("the readers are starting", "starting")

        async def ask(reader: choices.Reader) -> _Taking:
            if reader is None:
                return await self._ask_store(offset, wait_s)
            return await self._ask_peer(reader, offset, hedged.postpone)

        hedged = self._hedged_call = _HedgedCall(ask, follow.HistoryLost)
        try:
            result = await hedged.run(
                order, self._hedge_timing(order[0], offset, wait_s)
            )
        finally:
            self._hedged_call = None
        for reader in result.overdue:
            self._overdue(reader)
        self._note_reader(result.target, result.error)
        return result.answer()

    def _hedge_timing(
        self, first: choices.Reader, offset: int | None, wait_s: float
    ) -> hedged_call.HedgeTiming:
        """Returns when others are asked beside the first one.

        Everything is asked of one after the other: at a start of all many ask
        for it, and the link to the store carries it once.
        """
        if offset is None or not self._hurried:
            return hedged_call.HedgeTiming(math.inf, math.inf)
        if first is None:
            overdue_s = self._store_wait_s(wait_s) + _OVERDUE_S
        else:
            late_s = _FRESH_OVERDUE_S if self._fresh else _OVERDUE_S
            overdue_s = self._peer_wait_s(offset) + late_s
        return hedged_call.HedgeTiming(overdue_s, _STEP_S)

    def _store_wait_s(self, wait_s: float) -> float:
        """Returns for how long the store may hold a question."""
        if not self._direct:
            # The former reader's last proof is old by now, and whoever asks
            # here waits for a first one: it must not be held.
            return 0.0
        if self.serving and self._fresh:
            return min(wait_s, self._serving_wait_s)
        return wait_s

    async def _ask_store(self, offset: int | None, wait_s: float) -> _Taking:
        asked_at = self._clock()
        wait_s = self._store_wait_s(wait_s)
        self._count("store", "asked")
        try:
            if offset is None:
                batch = await self._topic.newest()
            else:
                batch = await self._topic.changes(offset, wait_s)
        except exceptions.PlatformError as error:
            self._store_failed(error, asked_at, wait_s)
            raise
        call = _Call(offset, wait_s, asked_at, self._clock())
        return lambda: self._take_store(call, batch)

    def _take_store(self, call: _Call, batch: raw.Batch) -> follow.Batch:
        asked_at, now = call.asked_at, call.now
        self._watch.answered()
        if self._failures:
            self._settled_at = now
            self._outage_s = self._watch.outage_s
        self._failures = 0
        self._choice.worked(None)
        waited_s = 0.0 if call.offset is None else call.wait_s
        lag_s = freshness_lib.lag_s(
            asked_at, now, waited_s, self._complete_until
        )
        news = bool(batch.items)
        current_at = -math.inf
        if not batch.more:
            self._complete_until = freshness_lib.complete_until(
                asked_at, now, waited_s, news
            )
            held_s = 0.0 if news else waited_s
            current_at = freshness_lib.current_at(asked_at, now, held_s)
        self._direct = True
        self._take(batch, call.offset is None, lag_s)
        return self._told(batch, current_at, lag_s, paid=True)

    def _store_failed(
        self, error: exceptions.PlatformError, asked_at: float, wait_s: float
    ) -> None:
        self._count("store", "failed")
        if isinstance(error, follow.HistoryLost):
            self._watch.answered()
            return
        self._watch.failed(asked_at, wait_s)
        self._failures += 1
        slow = getattr(error, "reason", "") == "timeout"
        if slow or self._failures >= _FAILURES:
            self._lost_store()

    def _lost_store(self) -> None:
        self._direct = False
        self._choice.failed(None)
        self._wake()

    def _overdue(self, reader: choices.Reader) -> None:
        """Notes one that another one was asked beside, and was slower."""
        if reader is None:
            self._count("store", "overdue")
            self._lost_store()
        else:
            self._count("peer", "overdue")
            self._choice.failed(reader)

    def _peer_wait_s(self, offset: int | None) -> float:
        """Returns for how long another process may hold a question."""
        if offset is None:
            return 0.0
        return self._fresh_wait_s if self._fresh else self._pace.wait_s

    async def _ask_peer(
        self,
        reader: types.Address,
        offset: int | None,
        on_bytes: Callable[[], None],
    ) -> _Taking:
        asked_at = self._clock()
        proof = self._seen.get(reader, 0) if self._fresh else None
        wait_s = self._peer_wait_s(offset)
        question = questions.Question(self._name, offset, proof, wait_s)
        self._count("peer", "asked")
        try:
            news = await self._peers.ask(reader, question, on_bytes)
        except follow.HistoryLost:
            self._count("peer", "lost")
            raise
        except exceptions.PlatformUnavailable as error:
            self._count("peer", error.reason or "failed")
            self._choice.failed(reader, gone=error.reason in _NO_ANSWER)
            self._seen.pop(reader, None)
            raise
        call = _Call(offset, wait_s, asked_at, self._clock())
        return lambda: self._take_peer(reader, call, news)

    def _take_peer(
        self, reader: types.Address, call: _Call, news: questions.News
    ) -> follow.Batch:
        asked_at, now = call.asked_at, call.now
        self._direct = False
        self._choice.worked(reader)
        self._seen = {reader: news.proof}
        if now - news.available_s > self._settled_at:
            self._settled_at = now - news.available_s
            self._outage_s = news.outage_s
        held_s = freshness_lib.current_at(asked_at, now, news.held_s) - asked_at
        # By the other process's clock the answer left at `asked_at + held_s`
        # at the earliest; what is older than that cannot be ruled out.
        current_at = asked_at + held_s - news.age_s
        lag_s = self._lag_s(news, now, now - asked_at - held_s)
        self._complete_until = now if news.items else asked_at + held_s
        batch = raw.Batch(news.items, news.end)
        self._take(batch, call.offset is None, lag_s)
        return self._told(batch, current_at, lag_s, paid=False)

    def _lag_s(
        self, news: questions.News, now: float, on_the_way_s: float
    ) -> float:
        """Returns how long what another process told may have lain.

        It can't tell of what it found when it began to read itself; what was
        not there at this process's own last answer is no older than that.
        """
        most_s = (
            math.inf
            if self._complete_until is None
            else now - self._complete_until
        )
        if news.lag_s is None:
            return most_s
        return min(news.lag_s + on_the_way_s, most_s)

    def _take(self, batch: raw.Batch, whole: bool, lag_s: float) -> None:
        now = self._clock()
        if whole:
            self._newest.replace(batch, now)
        else:
            self._newest.add(batch, now - lag_s)

    def _told(
        self, batch: raw.Batch, current_at: float, lag_s: float, paid: bool
    ) -> follow.Batch:
        if self._current_at is None or current_at > self._current_at:
            self._current_at = current_at
            self._proof += 1
        self._wake()
        available_s = self._clock() - self._settled_at
        return follow.Batch(
            self._topic.decoded(batch.items),
            batch.end,
            freshness_lib.Freshness(
                self._current_at, lag_s, available_s, self._outage_s
            ),
            paid,
        )

    def _note_reader(
        self, reader: choices.Reader, error: exceptions.PlatformError | None
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
        self, question: questions.Question, say: Callable[[], Awaitable[None]]
    ) -> questions.News:
        """Answers another process once there is something to say.

        Args:
          question: What it asks.
          say: Tells it from time to time that it is not forgotten.

        Raises:
          follow.HistoryLost: What it lacks is not known here any more.
          questions.Unable: The store is out of reach from here.
        """
        started = self._clock()
        self._count("served", "asked")
        self._open += 1
        try:
            self._begin_to_read()
            while not self._answers(question, started):
                if self._choice.is_aside(None):
                    self._count("served", "unable")
                    raise questions.Unable(
                        "the store does not answer here", "unable"
                    )
                await self._next_change()
                if self._clock() >= started + question.wait_s:
                    await say()
            # Not for one that got no answer: while the store is away all ask
            # each other, and all would read it for others when it returns.
            self._asked_until = self._clock() + _KEEP_UP_S
            return self._news(question, started)
        finally:
            self._open -= 1

    def _begin_to_read(self) -> None:
        # From the store, so that nobody waits for somebody who waits for him.
        if self._hedged_call is not None and not self._choice.is_aside(None):
            self._hedged_call.switch_to(None)

    def _answers(self, question: questions.Question, started: float) -> bool:
        end = self._newest.end
        if end is None or self._current_at is None:
            return False
        if question.offset is not None and question.offset < end:
            # Whoever told it: what is here need not be read again, and its
            # age goes with it.
            return True
        if not self._direct:
            return False
        now = self._clock()
        young = now - self._current_at < _YOUNG_S
        if question.offset is None:
            # A process that was suspended would tell of what is gone since.
            return young
        if question.proof is not None:
            return question.proof != self._proof
        return young and now >= started + question.wait_s

    def _news(
        self, question: questions.Question, started: float
    ) -> questions.News:
        assert self._current_at is not None
        assert self._newest.end is not None
        now = self._clock()
        offset = question.offset
        lag_s: float | None = None
        if offset is None:
            items = self._newest.all()
        else:
            items = self._newest.since(offset)
            lag_s = max(0.0, now - self._newest.added_after(offset))
        return questions.News(
            items=items,
            end=max(self._newest.end, offset or 0),
            proof=self._proof,
            age_s=now - self._current_at,
            held_s=now - started,
            lag_s=lag_s,
            available_s=now - self._settled_at,
            outage_s=self._outage_s,
            readers=self._choice.candidates,
        )

    async def _next_change(self) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(_SAY_S):
                await changed.wait()
        except TimeoutError:
            # Nothing changed; the asker is told so.
            return

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
