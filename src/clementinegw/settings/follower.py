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
      tree: The settings tree.
      resolver: Resolves knobs in the tree.
    """

    revision: int
    tree: model.Tree
    resolver: tree_lib.Resolver


class Follower(mode.Service):
    """Follows the log or a relay, and pulls from peers if neither answers.

    The revision in `current` never decreases.
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
        """Initializes a follower without settings.

        Args:
          log_client: The client of the platform's log.
          instance_id: The id of this process.
          peers: The other processes.
          clock: The source of time.
          rng: The source of jitter.
          counters: Count refusals and retries.
          log: Receives the events.
          settings: The replication knobs until the first settings are in force.
          check_interval_s: Seconds between two checks of the revisions that
            members advertise while a long poll waits.
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
        """The settings in force; None before the first ones."""
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
        """Why the log is refused at present; None if it is not."""
        return self._cursor.refused

    def subscribe(self, callback: Callable[[State], None]) -> None:
        """Calls back with each newer state, and now with the current one."""
        self._subscribers.append(callback)
        if self._state is not None:
            callback(self._state)

    def receive_revision(self, revision: int) -> None:
        """Records a revision that a member advertised."""
        self._polls.receive_revision(revision)

    async def answer(self, pull: ttypes.SettingsPull) -> ttypes.SettingsState:
        """Returns the answer to a peer after at most `pull.wait_ms`."""
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
                # Otherwise one defect would end the loop, and the process would
                # serve with old settings unnoticed.
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
            # Only a later version of the program can fold that record.
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
        """Pulls from peers before the first settings from the log are in force.

        To a process that has just started, a log that lost its last records
        looks complete. The process would run with overridden settings until
        another process repairs the log.
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
        """Reads the log; returns None if it stalls while members are ahead."""
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
            # A second snapshot does no harm; the log shows if one was appended.
            self._counters.add("settings.snapshot_append_unanswered")
            return
        self._log.write(_events.SNAPSHOT_APPENDED, revision=fold.revision)

    async def _pull_from_any_peer(self) -> None:
        """Pulls once from a random peer, without waiting for a newer revision.

        A peer that advertised a newer revision is preferred: in a failure
        domain that is cut off, most peers lack the same changes as this
        process.
        """
        now = self._clock.now()
        ahead = self._peers.ahead_of(self.revision)
        peer = self._sources.random_peer(ahead, now)
        if peer is None:
            peer = self._sources.random_peer(self._peers.others(), now)
        if peer is not None:
            await self._pull_from(peer, 0.0)

    async def _pull_from(self, peer: str, wait_s: float) -> None:
        """Pulls from a peer and applies its answer."""
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
            # The peer is not penalized: it may lack the newer revision as well.
            self._counters.add("settings.peer_pulls_given_up")
            if wait_s > 0:
                await self._pull_from_any_peer()
            return
        newest = self._peers.newest_revision()
        # Only a relay is known to follow the log. The position of any other
        # member may be from before a rollback of the log.
        result, folded = exchange.apply_answer(
            self._cursor, state, newest, adopt_position=wait_s > 0
        )
        for event in folded:
            self._on_folded(event)
        self._on_pull_result(peer, result, state.revision)
        self._publish()

    async def _pull(
        self, peer: str, pull: ttypes.SettingsPull, timeout_s: float
    ) -> ttypes.SettingsState | None:
        """Sends a pull; returns None if it stalls while members are ahead."""
        pulling = asyncio.ensure_future(self._peers.pull(peer, pull, timeout_s))
        if await self._polls.wait(pulling, self.revision):
            return pulling.result()
        return None

    def _on_pull_result(
        self, peer: str, result: exchange.PullResult, revision: int
    ) -> None:
        self._counters.add(f"settings.from_peer.{result}")
        if result is exchange.PullResult.ADOPTED:
            self._tail.clear()
            self._log.write(_events.FROM_PEER, peer=peer, revision=revision)
        elif result is exchange.PullResult.DIVERGED:
            self._reporter.report_divergence(peer, self.revision)
            self._sources.follow_log_directly(self._clock.now())
        elif result in (
            exchange.PullResult.LACKS_CHANGES,
            exchange.PullResult.NOT_CONTINUED,
        ):
            self._sources.follow_log_directly(self._clock.now())
        elif result in (exchange.PullResult.OLDER, exchange.PullResult.DAMAGED):
            self._log.write(_events.PEER_REFUSED, peer=peer, reason=result)
            self._sources.penalize(peer, self._clock.now())

    def _publish(self) -> None:
        """Notifies the subscribers and the peers whose pulls wait."""
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
