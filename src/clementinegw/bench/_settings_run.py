"""One run of `bench settings` with members, operators and faults."""

import asyncio
import dataclasses
import random

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw.bench import _settings_checker as checkers
from clementinegw.bench import _settings_faults as faults
from clementinegw.bench import _settings_network as networks
from clementinegw.bench import _settings_platform as platforms
from clementinegw.platform import log as log_lib
from clementinegw.settings import changes
from clementinegw.settings import cursor as cursor_lib
from clementinegw.settings import fold as fold_lib
from clementinegw.settings import follower as follower_lib
from clementinegw.settings import publisher
from clementinegw.settings import records
from clementinegw.settings import results

_LOST_APPEND_SHARE = 0.3
_CONVERGENCE_TIMEOUT_S = 90.0
_CUSTOMER_COUNT = 20
_READ_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a run.

    Attributes:
      processes: Number of members.
      domains: Number of failure domains.
      changes: Number of changes before the burst.
      burst: Number of concurrent changes after those.
      operators: Number of concurrent operators.
      interval_s: Mean seconds between two changes before the burst.
      relays: Members per failure domain that follow the log; 0 for all.
      seed: Seed of all random choices.
      kinds: The kinds of faults to inject.
      fault_s: Mean duration of an outage or partition, in seconds.
      virtual: Whether to run in virtual time, without sockets.
    """

    processes: int
    domains: int
    changes: int
    burst: int
    operators: int
    interval_s: float
    relays: int
    seed: int
    kinds: frozenset[faults.Fault]
    fault_s: float
    virtual: bool


@dataclasses.dataclass(slots=True)
class ChangeCounts:
    """Number of the operators' changes by outcome.

    Attributes:
      accepted: Reported as accepted.
      rejected: Reported as rejected.
      unknown: Abandoned with an unknown outcome.
      unpublished: Not published, because reading the log failed.
    """

    accepted: int = 0
    rejected: int = 0
    unknown: int = 0
    unpublished: int = 0


class Run:
    """One run of the bench and its state."""

    def __init__(self, plan: Plan, clock: clocks.Clock):
        """Creates a run; `execute` starts it."""
        self.plan = plan
        self.clock = clock
        self.rng = random.Random(plan.seed)
        self.domains = [f"d{number}" for number in range(plan.domains)]
        self.platform: platforms.Platform = (
            platforms.VirtualPlatform(clock)
            if plan.virtual
            else platforms.HttpPlatform(clock, self.domains)
        )
        self.network = networks.Network()
        self.checker = checkers.ConsistencyChecker()
        self.usage = platforms.Usage()
        self.change_counts = ChangeCounts()
        self.burst_ids: set[str] = set()
        self.measured_s = 0.0

    async def execute(self) -> checkers.Verdict:
        """Executes the run and returns the results of checking it."""
        await self.platform.start(self.domains)
        background: list[asyncio.Task] = []
        try:
            await self._publish_initial_settings()
            await self._start_members()
            background.append(asyncio.create_task(self.network.gossip()))
            start = self.clock.now()
            reads = self.usage.reads
            self.usage.most_polls = 0
            background.append(asyncio.create_task(self._fault_injector().run()))
            await self._run_operators()
            background[-1].cancel()
            await asyncio.gather(background.pop(), return_exceptions=True)
            await self._wait_for_convergence()
            self.measured_s = self.clock.now() - start
            self.usage.reads -= reads
            return self._evaluate(
                await publisher.read_fold(self._client(platforms.OPERATORS))
            )
        finally:
            for task in background:
                task.cancel()
            await self._stop_members()
            await self.platform.stop()

    def _evaluate(self, fold: fold_lib.Fold) -> checkers.Verdict:
        states = {}
        for name, member in self.network.members.items():
            own = member.follower.fold if member.follower else None
            states[name] = (own.revision, own.digest) if own else (0, "")
        return self.checker.evaluate(fold, states)

    def _client(self, domain: str) -> log_lib.LogClient:
        lossy = faults.Fault.LOST_ACK in self.plan.kinds
        return platforms.CountingLog(
            self.platform.client(domain),
            self.usage,
            self.clock,
            random.Random(self.rng.random()),
            _LOST_APPEND_SHARE if lossy else 0.0,
        )

    async def _publish_initial_settings(self) -> None:
        """Publishes the settings that the operators change later."""
        tree = {
            "regions": {"bench": {}},
            "failure_domains": {d: {"region": "bench"} for d in self.domains},
            "services": {"assistent": {"kind": "model_engine"}},
            "customers": {f"c{n}": {} for n in range(_CUSTOMER_COUNT)},
            "defaults": {"replication": {"relays": self.plan.relays}},
        }
        operations = tuple(changes.Set(k, value) for k, value in tree.items())
        await self._publish(0, operations)
        # Not measured, because no member was running yet.
        self.change_counts.accepted -= 1
        self.checker.accepted.clear()

    async def _start_members(self) -> None:
        for number in range(self.plan.processes):
            domain = self.domains[number % len(self.domains)]
            member = networks.Member(f"m{number}", domain)
            self.network.add(member)
            if not self.plan.virtual:
                await networks.listen(member, self.rng)
        for member in self.network.members.values():
            await self._start_member(member)
        await self._wait_until(
            lambda: self._min_revision() > 0, _CONVERGENCE_TIMEOUT_S
        )

    async def _start_member(self, member: networks.Member) -> None:
        link = networks.VirtualLink if self.plan.virtual else networks.TcpLink
        await start_member(
            member,
            self._client(member.domain),
            link(self.network, member),
            self.checker,
            self.clock,
            random.Random(self.rng.random()),
        )

    async def _stop_members(self) -> None:
        for member in self.network.members.values():
            if member.follower is not None:
                await member.follower.stop()
        for member in self.network.members.values():
            if member.endpoint is not None:
                await member.endpoint.close(0.0)

    def _min_revision(self) -> int:
        return min(self.network.revision(n) for n in self.network.members)

    def _fault_injector(self) -> faults.FaultInjector:
        return faults.FaultInjector(
            self.plan.kinds,
            self.platform,
            self.network,
            self.checker,
            self.clock,
            random.Random(self.rng.random()),
            self.domains,
            self.plan.fault_s,
            self._restart,
        )

    async def _restart(self, member: networks.Member) -> None:
        """Replaces a member; the checker keeps its earlier observations."""
        follower = member.follower
        member.follower = None
        if follower is not None:
            await follower.stop()
        await self._start_member(member)

    async def _run_operators(self) -> None:
        """Publishes changes at random intervals, then a concurrent burst."""
        plan = self.plan
        sequential = []
        for _ in range(plan.changes):
            sequential.append(asyncio.create_task(self._change_once()))
            await asyncio.sleep(self.rng.expovariate(1 / plan.interval_s))
        await asyncio.gather(*sequential)
        if plan.burst:
            before = set(self.checker.accepted)
            await self._burst()
            self.burst_ids = set(self.checker.accepted) - before

    async def _change_once(self) -> None:
        try:
            fold = await publisher.read_fold(self._client(platforms.OPERATORS))
        except exceptions.PlatformError:
            self.change_counts.unpublished += 1
            return
        await self._publish(fold.revision, self._operations())

    async def _burst(self) -> None:
        """Publishes concurrent changes that are based on the same revision."""
        cursors = [await self._read_first() for _ in range(self.plan.burst)]
        bases = [cursor.fold.revision for cursor in cursors if cursor.fold]
        await asyncio.gather(
            *(
                self._publish(min(bases), self._operations(), cursor)
                for cursor in cursors
            )
        )

    async def _read_first(self) -> cursor_lib.Cursor:
        """Returns a cursor that has read the log; retries until it succeeds."""
        while True:
            cursor = cursor_lib.Cursor()
            client = self._client(platforms.OPERATORS)
            try:
                await publisher.read_fold(client, cursor)
            except exceptions.PlatformError:
                await asyncio.sleep(_READ_RETRY_S)
            else:
                return cursor

    def _operations(self) -> tuple[changes.Operation, ...]:
        customer = self.rng.randrange(_CUSTOMER_COUNT)
        path = f"customers.c{customer}.settings.limits.requests_per_s"
        return (changes.Set(path, float(self.rng.randrange(1, 10_000))),)

    async def _publish(
        self,
        base: int,
        operations: tuple[changes.Operation, ...],
        cursor: cursor_lib.Cursor | None = None,
    ) -> None:
        operator = f"operator-{self.rng.randrange(self.plan.operators)}"
        change = publisher.new_change(
            base, operator, "", operations, self.clock
        )
        change = dataclasses.replace(
            change, change_id=f"{self.rng.getrandbits(64):016x}"
        )
        client = self._client(platforms.OPERATORS)
        rng = random.Random(self.rng.random())
        try:
            result = await publisher.publish(
                client, change, cursor, self.clock, rng
            )
        except exceptions.PlatformError:
            self.change_counts.unknown += 1
            return
        if isinstance(result, results.Rejected):
            self.change_counts.rejected += 1
            return
        self.change_counts.accepted += 1
        self.checker.on_accepted(change.change_id, self._appended_at(change))

    def _appended_at(self, change: changes.Change) -> float:
        """Returns the append time of a change, in monotonic seconds."""
        offset_s = self.clock.now() - self.clock.wall()
        value = change.encode()
        for record in self.platform.records.all(records.STREAM):
            if record.value == value:
                return record.time + offset_s
        return self.clock.now()

    async def _wait_for_convergence(self) -> None:
        members = len(self.network.members)
        await self._wait_until(
            lambda: self.checker.complete(members) and self._is_converged(),
            _CONVERGENCE_TIMEOUT_S,
        )

    def _is_converged(self) -> bool:
        revisions = {
            self.network.revision(name) for name in self.network.members
        }
        refused = any(
            member.follower is not None and member.follower.refused
            for member in self.network.members.values()
        )
        return len(revisions) == 1 and not refused

    async def _wait_until(self, condition, timeout_s: float) -> None:
        end = self.clock.now() + timeout_s
        while not condition() and self.clock.now() < end:  # noqa: ASYNC110
            await asyncio.sleep(0.1)


async def start_member(
    member: networks.Member,
    client: log_lib.LogClient,
    link: networks.Link,
    checker: checkers.ConsistencyChecker,
    clock: clocks.Clock,
    rng: random.Random,
) -> None:
    """Starts the follower of a member and reports its state to the checker."""
    follower = follower_lib.Follower(client, member.name, link, clock, rng)
    member.follower = follower
    follower.subscribe(
        lambda _: checker.on_state(
            member.name, member.domain, follower, clock.now()
        )
    )
    await follower.start()
