"""The retry budget over all entries, while these restart and callers move."""

import asyncio
import bisect
import collections
import dataclasses
import heapq
import random

import platform_site as sites
import pytest

from clementinegw.direct import budget
from clementinegw.direct import reports

LIMITS = budget.Limits(ratio=0.2, slack=104.0, window_s=10.0)
ENTRIES = 8
REQUESTS_PER_S = 110.0
CUSTOMERS = 10
LENGTH_S = 60.0
# Requests that servers fail are sent this often in all.
MAX_SENDS = 3


@dataclasses.dataclass(frozen=True)
class Load:
    """How large a fleet is, and what its callers and links do.

    Attributes:
      entries: Number of entries.
      requests_per_s: Requests of all callers.
      limits: What the operators allow.
      unknown_s: How long an entry does not know the number of entries after
        its start, in seconds.
      held: Pairs of times: a link holds retries that are sent between them,
        and delivers them at the second one.
    """

    entries: int = ENTRIES
    requests_per_s: float = REQUESTS_PER_S
    limits: budget.Limits = LIMITS
    unknown_s: float = 0.0
    held: tuple[tuple[float, float], ...] = ()

    def arrival(self, at):
        """Returns when a retry arrives that is sent at a time."""
        return next((end for begin, end in self.held if begin <= at < end), at)


@dataclasses.dataclass(order=True)
class _Send:
    at: float
    entry: int
    start: int
    customer: str
    number: int
    charge: budget.Charge | None = dataclasses.field(
        default=None, compare=False
    )


class Fleet:
    """Entries that retry all that fails, as their own budgets allow.

    Attributes:
      requests: When callers sent requests, in seconds.
      retries: When servers got a request again, in seconds.
    """

    def __init__(
        self, seed, failing, restarts=(), open_entries=None, load=None
    ):
        """Initializes the fleet.

        Args:
          seed: Draws requests, failures and delays.
          failing: Returns the share of requests that servers fail at a time.
          restarts: Pairs of a time and the entries that then restart.
          open_entries: Returns the entries that callers connect to at a time.
          load: The size of the fleet and its load.
        """
        self._load = load or Load()
        self._rng = random.Random(seed)
        self._failing = failing
        self._restarts = collections.deque(sorted(restarts))
        entries = self._load.entries
        self._open_entries = open_entries or (lambda now: range(entries))
        self._budgets = [budget.RetryBudget(self._load.limits)] * entries
        self._starts = [0] * entries
        self._started_at = [0.0] * entries
        for entry in range(entries):
            self._start(entry, 0.0)
        self._sends = []
        self.requests = []
        self.retries = []

    def _start(self, entry, now):
        self._budgets[entry] = budget.RetryBudget(self._load.limits)
        self._started_at[entry] = now

    def _budget(self, entry, now):
        one = self._budgets[entry]
        known = now - self._started_at[entry] >= self._load.unknown_s
        one.entries = self._load.entries if known else 0
        return one

    def run(self):
        now = 0.0
        while now < LENGTH_S:
            now += self._rng.expovariate(self._load.requests_per_s)
            self._send_until(now)
            entry = self._rng.choice(list(self._open_entries(now)))
            customer = f"c{self._rng.randrange(CUSTOMERS)}"
            self.requests.append(now)
            self._budget(entry, now).record_request(now, customer)
            self._push(now, entry, customer, 1)
        return self

    def _push(self, now, entry, customer, number, charge=None):
        at = now + self._rng.uniform(0.005, 0.3)
        if number > 1:
            at = self._load.arrival(at)
        start = self._starts[entry]
        send = _Send(at, entry, start, customer, number, charge)
        heapq.heappush(self._sends, send)

    def _send_until(self, now):
        while self._sends and self._sends[0].at <= now:
            send = heapq.heappop(self._sends)
            self._restart_until(send.at)
            if self._starts[send.entry] != send.start:
                continue
            if send.charge is not None:
                self.retries.append(send.at)
                send.charge.confirm()
            if self._rng.random() >= self._failing(send.at):
                continue
            if send.number == MAX_SENDS:
                continue
            one = self._budget(send.entry, send.at)
            charge = one.try_acquire(send.at, send.customer)
            if charge is not None:
                number = send.number + 1
                self._push(send.at, send.entry, send.customer, number, charge)
        self._restart_until(now)

    def _restart_until(self, now):
        while self._restarts and self._restarts[0][0] <= now:
            at, entries = self._restarts.popleft()
            for entry in entries:
                self._start(entry, at)
                self._starts[entry] += 1

    @property
    def excess(self):
        """By how much the retries of a window exceed what is allowed."""
        limits = self._load.limits
        window_s = limits.window_s
        worst = -limits.slack
        for index, begin in enumerate(self.retries):
            end = bisect.bisect_left(self.retries, begin + window_s)
            most = max(
                self._requests_between(
                    begin - before, begin - before + window_s
                )
                for before in (0.0, window_s / 2, window_s)
            )
            allowed = limits.ratio * most + limits.slack
            worst = max(worst, end - index - allowed)
        return worst

    def _requests_between(self, begin, end):
        first = bisect.bisect_left(self.requests, begin)
        return bisect.bisect_left(self.requests, end) - first


ALL = tuple(range(ENTRIES))


def every(interval_s, entries=ALL):
    count = int(LENGTH_S / interval_s)
    return [(interval_s * n, entries) for n in range(1, count)]


def one_by_one(interval_s):
    count = int(LENGTH_S / interval_s)
    return [(interval_s * n, (n % ENTRIES,)) for n in range(1, count)]


@pytest.mark.parametrize("share", [0.1, 0.6, 1.0])
def test_fleet_keeps_the_retry_budget(share):
    """Guards the sum over all entries while servers fail."""
    fleets = [Fleet(seed, lambda now: share).run() for seed in range(3)]
    assert max(fleet.excess for fleet in fleets) <= 0


def test_restarts_of_all_entries_do_not_renew_the_retry_budget():
    """Servers got more retries than allowed after all entries restarted."""
    fleets = [
        Fleet(seed, lambda now: 1.0, every(interval_s)).run()
        for seed in range(3)
        for interval_s in (2.5, 6.0, 11.0)
    ]
    assert max(fleet.excess for fleet in fleets) <= 0


def test_rolling_restarts_do_not_renew_the_retry_budget():
    """Servers got more retries than allowed while entries were replaced."""
    fleets = [
        Fleet(seed, lambda now, share=share: share, one_by_one(1.1)).run()
        for seed in range(3)
        for share in (0.6, 1.0)
    ]
    assert max(fleet.excess for fleet in fleets) <= 0


def test_a_restart_after_a_burst_does_not_renew_the_retry_budget():
    """Servers failed all at once, and the entries restarted a second later."""
    fleets = [
        Fleet(seed, lambda now: float(now >= 30.0), [(31.0, ALL)]).run()
        for seed in range(3)
    ]
    assert max(fleet.excess for fleet in fleets) <= 0


def test_callers_that_move_do_not_renew_the_retry_budget():
    """Other entries granted retries anew for the callers of ended ones."""
    fleets = [
        Fleet(
            seed,
            lambda now: float(now >= 30.0),
            open_entries=lambda now: ALL if now < 31.0 else ALL[4:],
        ).run()
        for seed in range(3)
    ]
    assert max(fleet.excess for fleet in fleets) <= 0


def draw_fleet(seed):
    """Returns a fleet with restarts, failures and moves at drawn times."""
    rng = random.Random(seed)
    failures = [
        (at, at + rng.uniform(1.0, 15.0), rng.choice((0.3, 0.6, 1.0)))
        for at in (rng.uniform(10.0, 50.0) for _ in range(3))
    ]
    restarts = [
        (at, tuple(rng.sample(ALL, rng.randint(1, ENTRIES))))
        for at in (rng.uniform(10.0, 50.0) for _ in range(8))
    ]
    moves = [
        (at, at + rng.uniform(1.0, 10.0), rng.sample(ALL, rng.randint(2, 6)))
        for at in (rng.uniform(10.0, 50.0) for _ in range(2))
    ]

    def failing(now):
        return max(
            (share for begin, end, share in failures if begin <= now < end),
            default=0.02,
        )

    def open_entries(now):
        return next(
            (some for begin, end, some in moves if begin <= now < end), ALL
        )

    return Fleet(seed, failing, restarts, open_entries)


def test_drawn_restarts_and_failures_keep_the_retry_budget():
    """Guards the budget where restarts, failures and moves coincide."""
    fleets = [draw_fleet(seed).run() for seed in range(12)]
    assert max(fleet.excess for fleet in fleets) <= 0


LARGE = Load(
    entries=99,
    requests_per_s=370.0,
    limits=budget.Limits(ratio=0.2, slack=208.0, window_s=10.0),
    unknown_s=1.0,
)


@pytest.mark.parametrize("interval_s", [2.5, 5.0])
def test_restarts_of_a_large_fleet_do_not_renew_the_retry_budget(interval_s):
    """More entries restarted than may share what a start brings."""
    restarts = every(interval_s, range(LARGE.entries))[:12]
    fleets = [
        Fleet(seed, lambda now: 1.0, restarts, load=LARGE).run()
        for seed in range(2)
    ]
    assert max(fleet.excess for fleet in fleets) <= 0


@pytest.mark.parametrize("held_s", [2.0, 4.0, 6.0, 8.0])
def test_retries_that_a_link_holds_keep_the_retry_budget(held_s):
    """Retries of seconds arrived together when a link was free again."""
    load = Load(held=((30.0 - held_s, 30.0),))
    fleets = [
        Fleet(
            seed,
            lambda now: 1.0 if now >= 30.0 else 0.5 * (now >= 30.0 - held_s),
            load=load,
        ).run()
        for seed in range(3)
    ]
    assert max(fleet.excess for fleet in fleets) <= 0


class CutOffSite(sites.Site):
    """An entry that started behind a cut, with a third of all entries."""

    regions = {"d1": "r1", "d2": "r1", "d3": "r2"}

    async def report_for(self, seconds, entries=3, rank=0):
        """Reports ten times a second from the only reachable agent."""
        for _ in range(round(10 * seconds)):
            report = reports.Report("i-1", 0, 0, 8, entries=entries, rank=rank)
            self.entry._on_report("127.0.0.1", report)
            await asyncio.sleep(0.1)

    async def granted_in_a_window(self, entries=3, rank=0):
        """Returns how many retries are granted in ten seconds."""
        await self.ask("/safe/1")
        await self.report_for(30.0, entries, rank)
        granted = 0
        for _ in range(100):
            await self.report_for(0.1, entries, rank)
            budgets = self.entry._forwarder._retry_budgets
            while budgets.try_acquire("plain", ""):
                granted += 1
        return granted


def test_an_entry_behind_a_cut_leaves_others_their_share_of_the_slack():
    """Entries that started behind a cut divided the slack among themselves."""

    async def play():
        async with CutOffSite("i-1", "i-2", "i-3") as site:
            return await site.granted_in_a_window()

    assert 9 * sites.run(play()) <= budget.Limits().slack


def test_a_started_agent_does_not_raise_the_share_of_the_slack():
    """Agents that had just started knew one entry, which took all slack."""

    async def play():
        async with CutOffSite("i-1", "i-2", "i-3") as site:
            await site.ask("/safe/1")
            await site.report_for(1.0, entries=9)
            return await site.granted_in_a_window(entries=1, rank=-1)

    assert 9 * sites.run(play()) <= budget.Limits().slack
