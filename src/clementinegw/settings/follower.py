"""The service that keeps the settings of a process up to date."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

import mode

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw.platform import log as log_lib
from clementinegw.settings import _events
from clementinegw.settings import _polls
from clementinegw.settings import _reporter
from clementinegw.settings import _source
from clementinegw.settings import cursor as cursor_lib
from clementinegw.settings import exchange
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import knobs
from clementinegw.settings import model
from clementinegw.settings import records
from clementinegw.settings import snapshots
from clementinegw.settings import tree as tree_lib
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import events
from clementinegw.telemetry import logs
from clementinegw.wire.gen.settings import ttypes

_PULL_TIMEOUT_MARGIN_S = 1.0
_START_PEERS = 2
_START_TIMEOUT_S = 10.0
_START_RETRY_S = 0.5
_DEFECT_RETRY_S = 1.0
_DEFAULT_REPLICATION = knobs.Replication()


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The settings in force.

    Attributes:
      revision: Their revision.
      tree: The tree.
      resolver: Looks knobs up in the tree.
    """

    revision: int
    tree: model.Tree
    resolver: tree_lib.Resolver


class Follower(mode.Service):
    """Follows the log, or a relay that does, and peers where neither answers.

    The revision in `current` never falls.
    """

    def __init__(
        self,
        log_client: log_lib.LogClient,
        instance_id: str,
        peers: exchange.Peers | None = None,
        clock: clocks.Clock | None = None,
        rng: random.Random | None = None,
        counters: counters_lib.Counters | None = None,
        log: logs.Log | None = None,
        settings: knobs.Replication | None = None,
        check_interval_s: float = _polls.CHECK_INTERVAL_S,
    ):
        """Prepares a follower without settings.

        Args:
          log_client: The platform's log.
          instance_id: This process.
          peers: The other processes.
          clock: The source of time.
          rng: The source of jitter.
          counters: Where refusals and retries are counted.
          log: Where events go.
          settings: How to follow until the first settings are there.
          check_interval_s: Seconds between two looks at what the members know
            while a long poll waits.
        """
        super().__init__()
        rng = rng or random.Random(instance_id)
        self._log_client = log_client
        self._peers: exchange.Peers = peers or exchange.NoPeers()
        self._clock = clock or clocks.SystemClock()
        self._counters = counters or counters_lib.Counters()
        self._log = log or logs.Log(instance=instance_id)
        self._initial_replication = settings or _DEFAULT_REPLICATION
        self._cursor = cursor_lib.Cursor()
        self._tail = exchange.Tail()
        self._snapshot_schedule = snapshots.SnapshotSchedule(rng)
        self._backoff = _source.Backoff(rng)
        self._reporter = _reporter.Reporter(self._log, self._counters)
        self._polls = _polls.LongPolls(
            self._peers, self._clock, check_interval_s
        )
        self._repair_schedule = _source.RepairSchedule(rng)
        self._sources = _source.Sources(instance_id, rng)
        self._started_at: float | None = None
        self._was_relay: bool | None = None
        self._state: State | None = None
        self._subscribers: list[Callable[[State], None]] = []
        self._progress = asyncio.Event()

    @property
    def current(self) -> State | None:
        """The settings in force; None before the first."""
        return self._state

    @property
    def fold(self) -> fold_lib.Fold | None:
        """The fold in force; None before the first."""
        return self._cursor.fold

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return self._state.revision if self._state else 0

    @property
    def refused(self) -> cursor_lib.RefuseReason | None:
        """Why the log is not believed at present; None when it is."""
        return self._cursor.refused

    def subscribe(self, callback: Callable[[State], None]) -> None:
        """Calls back with each newer state, and at once with the present."""
        self._subscribers.append(callback)
        if self._state is not None:
            callback(self._state)

    def receive_revision(self, revision: int) -> None:
        """Takes a revision that a member was heard to have."""
        self._polls.receive_revision(revision)

    async def answer(self, pull: ttypes.SettingsPull) -> ttypes.SettingsState:
        """Answers a peer, at most `pull.wait_ms` later."""
        loop = asyncio.get_running_loop()
        end = loop.time() + (pull.wait_ms or 0) / 1000
        while not exchange.is_ahead(self.fold, pull):
            progress = self._progress
            try:
                async with asyncio.timeout_at(end):
                    await progress.wait()
            except TimeoutError:
                break
        return exchange.answer(self.fold, self._tail, pull)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self._step()
            except asyncio.CancelledError:
                raise
            except Exception as error:  # noqa: BLE001
                # Without this, one defect would end the loop, and the process
                # would serve with old settings without a word.
                self._log.write(
                    events.TASK_FAILED, task="settings", error=repr(error)
                )
                self._counters.add("settings.defects")
                await asyncio.sleep(_DEFECT_RETRY_S)

    def _replication(self) -> knobs.Replication:
        if self._state is None:
            return self._initial_replication
        return self._state.tree.defaults.replication

    async def _step(self) -> None:
        fold = self._cursor.fold
        if fold is not None and fold.halted is not None:
            # Only another version of the program gets past that record.
            await asyncio.sleep(self._replication().poll_wait_s)
            return
        domain = self._peers.domain()
        count = self._replication().relays
        now = self._clock.now()
        is_relay = self._sources.follows_log(domain, count, now)
        if is_relay != self._was_relay:
            self._was_relay = is_relay
            self._log.write(_events.RELAY_CHANGED, relay=is_relay)
        self._counters.gauge("settings.relay", int(is_relay))
        upstream = self._sources.upstream(domain, count, now)
        if is_relay or upstream is None:
            await self._step_log()
        else:
            await self._pull_from(upstream, self._replication().peer_period_s)

    async def _step_log(self) -> None:
        read = self._cursor.next_read()
        try:
            page = await self._read(read)
        except exceptions.PlatformError as error:
            await self._on_unreachable(error)
            return
        if page is None:
            self._cursor.require_verification()
            await self._pull_from_any_peer()
            return
        if self._backoff.failures:
            self._log.write(_events.LOG_REACHABLE)
        self._backoff.record_success()
        refused_before = self._cursor.refused
        for event in self._cursor.on_page(page):
            await self._on_event(event)
        if refused_before and not self._cursor.refused:
            self._log.write(_events.LOG_BELIEVED, revision=self.revision)
        await self._confirm_first_settings()
        self._publish()
        await self._append_snapshot_if_due()

    async def _confirm_first_settings(self) -> None:
        """Asks peers before the first settings are taken from the log.

        A log that came back without its last records looks whole to a process
        that has just started; it would run with settings that were overridden
        until someone mends the log.
        """
        if self._state is not None or self._cursor.fold is None:
            return
        for _ in range(_START_PEERS):
            await self._pull_from_any_peer()
        newest = self._peers.newest_revision()
        now = self._clock.now()
        if self._started_at is None:
            self._started_at = now
        while (
            self._cursor.fold.revision < newest
            and now < self._started_at + _START_TIMEOUT_S
        ):
            self._counters.add("settings.start_held_back")
            await self._pull_from_any_peer()
            await asyncio.sleep(_START_RETRY_S)
            now = self._clock.now()

    async def _read(self, read: cursor_lib.Read) -> log_lib.Page | None:
        """Reads; returns None when the read hangs while others know more."""
        wait_s = 0.0
        if read.wait:
            remaining = self._snapshot_schedule.seconds_until_due(
                self._clock.now()
            )
            wait_s = min(self._replication().poll_wait_s, remaining)
            await self._polls.pace()
        self._counters.add("settings.log_reads")
        reading = asyncio.ensure_future(
            self._log_client.read(
                records.STREAM, read.offset, read.limit, wait_s
            )
        )
        if await self._polls.wait(reading, self.revision):
            return reading.result()
        self._counters.add("settings.log_reads_given_up")
        return None

    async def _on_unreachable(self, error: exceptions.PlatformError) -> None:
        self._counters.add("settings.log_unreachable")
        if not self._backoff.failures:
            self._log.write(_events.LOG_UNREACHABLE, error=error.message)
        wait_s = self._backoff.record_failure(self._replication())
        self._cursor.require_verification()
        await self._pull_from_any_peer()
        await asyncio.sleep(wait_s)

    async def _on_event(self, event: cursor_lib.Event) -> None:
        if isinstance(event, cursor_lib.Folded):
            self._on_folded(event)
        elif isinstance(event, cursor_lib.Adopted):
            self._tail.clear()
            if event.diverged:
                self._reporter.report_divergence("log", self.revision)
        else:
            await self._on_refused(event)

    def _on_folded(self, folded: cursor_lib.Folded) -> None:
        self._tail.add(
            folded.offset, folded.time, folded.value, folded.fingerprint_before
        )
        self._reporter.report_folded(folded, self.revision)

    async def _on_refused(self, refused: cursor_lib.Refused) -> None:
        self._counters.add(f"settings.log_refused.{refused.reason}")
        self._log.write(
            _events.LOG_REFUSED, reason=refused.reason, detail=refused.detail
        )
        wait_s, repair = self._repair_schedule.on_refused(
            refused.repair, self._clock.now()
        )
        if repair is not cursor_lib.Repair.NONE:
            await self._append_snapshot(repair is cursor_lib.Repair.REBASE)
        else:
            await self._pull_from_any_peer()
        await asyncio.sleep(wait_s)

    async def _append_snapshot_if_due(self) -> None:
        fold = self._cursor.fold
        if fold is None or not self._cursor.at_end:
            return
        if self._snapshot_schedule.due(
            fold,
            self._cursor.first_offset,
            self._replication(),
            self._clock.now(),
            self._clock.wall(),
        ):
            await self._append_snapshot()

    async def _append_snapshot(self, rebase: bool = False) -> None:
        fold = self._cursor.fold
        if fold is None or fold.halted is not None:
            return
        self._counters.add("settings.snapshots_appended")
        try:
            await self._log_client.append(records.STREAM, fold.snapshot(rebase))
        except exceptions.PlatformError:
            # Lost or not, it is harmless twice; the log shows it.
            self._counters.add("settings.snapshot_append_unanswered")
            return
        self._log.write(_events.SNAPSHOT_APPENDED, revision=fold.revision)

    async def _pull_from_any_peer(self) -> None:
        """Asks some peer once, without waiting for news.

        One that told of a newer revision, if there is any: in a failure domain
        that is cut off, most others hang at the same place as this process.
        """
        now = self._clock.now()
        ahead = self._peers.ahead_of(self.revision)
        peer = self._sources.random_peer(ahead, now)
        if peer is None:
            peer = self._sources.random_peer(self._peers.others(), now)
        if peer is not None:
            await self._pull_from(peer, 0.0)

    async def _pull_from(self, peer: str, wait_s: float) -> None:
        """Asks a peer and takes what it answers."""
        if wait_s > 0:
            await self._polls.pace()
        pull = exchange.make_pull(self._cursor.fold, wait_s)
        self._counters.add("settings.peer_pulls")
        try:
            state = await self._pull(
                peer, pull, wait_s + _PULL_TIMEOUT_MARGIN_S
            )
        except (exceptions.ClementineError, TimeoutError):
            self._counters.add("settings.peer_unreachable")
            self._sources.penalize(peer, self._clock.now())
            return
        if state is None:
            # Not the peer's fault: it may not have been told either.
            self._counters.add("settings.peer_pulls_given_up")
            if wait_s > 0:
                await self._pull_from_any_peer()
            return
        newest = self._peers.newest_revision()
        # Only a relay is known to follow the log; any other member may still
        # stand where the log was before it went back.
        taken, folded = exchange.apply_answer(
            self._cursor, state, newest, adopt_position=wait_s > 0
        )
        for event in folded:
            self._on_folded(event)
        self._on_pull_result(peer, taken, state.revision)
        self._publish()

    async def _pull(
        self, peer: str, pull: ttypes.SettingsPull, timeout_s: float
    ) -> ttypes.SettingsState | None:
        """Pulls; returns None when it hangs while others know more."""
        pulling = asyncio.ensure_future(self._peers.pull(peer, pull, timeout_s))
        if await self._polls.wait(pulling, self.revision):
            return pulling.result()
        return None

    def _on_pull_result(
        self, peer: str, taken: exchange.PullResult, revision: int
    ) -> None:
        self._counters.add(f"settings.from_peer.{taken}")
        if taken is exchange.PullResult.ADOPTED:
            self._tail.clear()
            self._log.write(_events.FROM_PEER, peer=peer, revision=revision)
        elif taken is exchange.PullResult.DIVERGED:
            self._reporter.report_divergence(peer, self.revision)
            self._sources.follow_log_directly(self._clock.now())
        elif taken in (
            exchange.PullResult.LACKS_CHANGES,
            exchange.PullResult.NOT_CONTINUED,
        ):
            self._sources.follow_log_directly(self._clock.now())
        elif taken in (exchange.PullResult.OLDER, exchange.PullResult.DAMAGED):
            self._log.write(_events.PEER_REFUSED, peer=peer, reason=taken)
            self._sources.penalize(peer, self._clock.now())

    def _publish(self) -> None:
        """Tells the subscribers and the peers that wait."""
        fold = self._cursor.fold
        if fold is None:
            return
        self._progress.set()
        self._progress = asyncio.Event()
        if self._state is not None and fold.revision <= self._state.revision:
            return
        self._state = State(
            fold.revision, fold.tree, tree_lib.Resolver(fold.tree)
        )
        self._counters.gauge("settings.revision", fold.revision)
        self._log.write(_events.REVISION, revision=fold.revision)
        for callback in self._subscribers:
            callback(self._state)
