"""Sends the load and state of backend servers from agents to entries.

The platform's list of servers is one heartbeat old, and reading the state of a
server costs a call. The agent on its host reads the state anyway, so it sends
reports in datagrams to every entry that has subscribed. A lost datagram is
compensated by the next one.
"""

import asyncio
from collections.abc import Callable, Mapping
import dataclasses
import math
import random

from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import rate_limit
from clementinegw.direct import suspicion_codec
from clementinegw.direct import types as servers
from clementinegw.scheduling import slot_shares
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

# How long a subscription lasts without renewal, in seconds. Entries renew it
# several times within this time.
SUBSCRIPTION_S = 4.0
# The same for an entry that gets changes only. It renews a third as often, as
# with a hundred entries renewals were most of what an agent received.
_CHANGES_SUBSCRIPTION_S = 12.0
_MAX_SUBSCRIBERS = 512
# Less use of a server's memory is not reported, which saves bytes where memory
# is ample.
_MIN_MEMORY_USED = 0.25
# An entry in another region gets one of this many reports, unless the server's
# weights have changed. Traffic between regions is billed, and with 43 entries
# reports took a tenth of a machine's link. Distant servers get few requests.
_FAR_INTERVAL = 4
# Up to this many entries of the agent's region get every report. With more of
# them each gets every second one, and so on. A report takes 58 bytes plus
# headers, and an entry with 31 agents spent a third of its processor time on
# receiving reports.
_MAX_NEAR_PER_REPORT = 8
# How long the end of a rate limit is reported, in seconds, so that a few
# datagrams may be lost.
_LIMIT_END_S = 10.0
# The highest rate limit that a server can report, in requests per second. The
# slots of much higher ones cannot be computed.
_MAX_LIMIT_PER_S = 1e9
# The largest age that fits into a field of a report, in milliseconds.
_MAX_AGE_MS = 2**31 - 1
# The time after its start within which an agent gets the subscriptions of all
# entries, in seconds. Before that it knows only the first ones, and each would
# take too large a share of a server's rate limit.
_RANKS_DELAY_S = 2.0
# How often an entry gets the ages of declared versions, in seconds. An entry
# that was cut off learns them after this time. They take at least six bytes.
_AGES_INTERVAL_S = 1.0


# To each entry about this many agents of the fleet send what is suspected of
# requests, drawn anew each time; a quarter of that to entries in other regions.
# All agents know the same.
_RELAYS = 6.0

OnSuspicions = Callable[[tuple[suspicion_codec.Suspicion, ...]], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """An agent's report about the server on its host.

    Attributes:
      server_id: The id of the server; empty if it is not known or if the report
        has ages only.
      running: The number of requests in progress.
      waiting: The number of requests in the server's queue.
      slots: The number of requests that the server runs at once.
      model: The loaded model; empty for none.
      version: The version of the loaded weights; 0 for none.
      whole: Whether all layers are loaded.
      loading: Whether the server accepts no requests because it loads weights.
      pace: The factor by which the server is slower than usual.
      yielding: Whether the server is about to load weights, so that other
        servers are preferred.
      entries: The number of entries that have subscribed at the agent.
      followers: The number of entries among them that send requests to the
        server; 0 if it is not known.
      ready_in_s: The estimated time until the server accepts requests again, in
        seconds; negative if it is not known.
      started_ms: When this start of the server began; see
        `direct.types.ServerStart`.
      ages_s: The time since a version of the model was declared, in seconds, by
        version, as far as known.
      rank: The position of the receiving entry among `entries`, ordered by
        name; negative if this report does not have it.
      follower_rank: The same among `followers`.
      limit: The newest observation of the server's rate limit by any entry.
      demand: The requests per second that all followers together want to send
        to the server; None if one of them does not tell.
      cold_s: How much longer the server is cold, in seconds.
      evacuated: Whether the operators want no requests in the server's failure
        domain.
      memory_used: The share of the server's memory that requests use; 0 if it
        is little or unknown.
      round_trip_s: The time that the receiving entry's last subscription and
        this report took on their way, in seconds; None if this report does not
        answer one.
    """

    server_id: str
    running: int
    waiting: int
    slots: int
    model: str = ""
    version: int = 0
    whole: bool = False
    loading: bool = False
    pace: float = 1.0
    yielding: bool = False
    entries: int = 0
    followers: int = 0
    ready_in_s: float = -1.0
    started_ms: int = 0
    ages_s: Mapping[int, float] = dataclasses.field(default_factory=dict)
    rank: int = -1
    follower_rank: int = -1
    limit: rate_limit.Observation | None = None
    demand: float | None = None
    cold_s: float = 0.0
    evacuated: bool = False
    memory_used: float = 0.0
    round_trip_s: float | None = None

    @property
    def start(self) -> servers.ServerStart:
        """The start of the server that the report is about."""
        return servers.ServerStart(self.server_id, self.started_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredVersions:
    """The declared versions that an entry knows.

    Attributes:
      newest: The newest version of each model.
      ages_s: The time since a version was declared, in seconds, by model and
        version, as far as known.
    """

    newest: Mapping[str, int]
    ages_s: Mapping[str, Mapping[int, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class Subscription:
    """The content of an entry's subscription at an agent.

    Attributes:
      far: Whether the entry is in another region.
      changes_only: Whether the entry sends no requests to the agent's server
        and therefore gets changes of its state only, and not its load.
      limit: The entry's own last observation of the server's rate limit.
      demand: The requests per second that the entry wants to send to the
        server; None if it does not tell.
    """

    far: bool
    changes_only: bool = False
    limit: rate_limit.Observation | None = None
    demand: float | None = None

    def has_same_terms(self, other: "Subscription | None") -> bool:
        """Returns whether another one differs in nothing but the demand."""
        return other is not None and self == dataclasses.replace(
            other, demand=self.demand
        )


@dataclasses.dataclass(slots=True)
class _Subscriber:
    """An entry that has subscribed; times are in seconds of the event loop."""

    subscription: Subscription
    expires_at: float
    name: str = ""
    ages_sent_at: float = -math.inf
    # The first report is sent at once: the entry sends no requests before it.
    first_pending: bool = True
    # What the last subscription asked to be sent back, and when it arrived.
    echo: tuple[int, float] | None = None

    @property
    def ages_interval_s(self) -> float:
        """How often ages are sent if no report has them, in seconds.

        An entry that gets changes only learns ages from the agents of servers
        that it sends requests to.
        """
        return (
            _CHANGES_SUBSCRIPTION_S
            if self.subscription.changes_only
            else 2 * _AGES_INTERVAL_S
        )

    def renew(self, subscription: Subscription, now: float) -> None:
        """Replaces the subscription and extends its lifetime."""
        self.first_pending = (
            self.first_pending
            or not subscription.has_same_terms(self.subscription)
        )
        self.subscription = subscription
        lifetime_s = (
            _CHANGES_SUBSCRIPTION_S
            if subscription.changes_only
            else SUBSCRIPTION_S
        )
        self.expires_at = now + lifetime_s


class Reporter(asyncio.DatagramProtocol):
    """Sends reports from an agent to the entries that have subscribed."""

    def __init__(
        self,
        on_declared: Callable[[DeclaredVersions], None],
        ages: Callable[[], Report | None] = lambda: None,
        on_suspicions: OnSuspicions = lambda suspicions: None,
        agent_count: Callable[[], int] = lambda: 1,
        rng: random.Random | None = None,
    ):
        """Sends nothing before it is bound to a socket.

        Args:
          on_declared: Called with the declared versions that an entry knows.
          ages: Returns a report with ages only; None while none is known.
          on_suspicions: Called with an entry's suspicions about requests that
            crash servers.
          agent_count: Returns how many agents there are.
          rng: Draws the entries that suspicions are sent to.
        """
        self._agent_count = agent_count
        self._rng = rng or random.Random()
        self._on_declared = on_declared
        self._ages_report = ages
        self._on_suspicions = on_suspicions
        self._transport: asyncio.DatagramTransport | None = None
        self._subscribers: dict[tuple, _Subscriber] = {}
        self._report_count = 0
        self._last_state: tuple = ()
        self._limit: rate_limit.Observation | None = None
        self._ranks: dict[tuple, tuple[int, int]] | None = None
        self._ranks_valid_at = math.inf

    def connection_made(self, transport) -> None:
        """Called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Handles a subscription."""
        try:
            message = codec.decode(ttypes.Subscribe, data)
        except exceptions.DecodeError:
            return
        subscription = Subscription(
            bool(message.far),
            bool(message.changes_only),
            demand=slot_shares.valid_demand(message.demand),
        )
        now = asyncio.get_running_loop().time()
        self._ranks_valid_at = min(self._ranks_valid_at, now + _RANKS_DELAY_S)
        subscriber = self._subscribers.get(addr)
        if subscriber is None and len(self._subscribers) < _MAX_SUBSCRIBERS:
            subscriber = _Subscriber(
                subscription, 0.0, message.instance_id or ""
            )
            self._subscribers[addr] = subscriber
            self._ranks = None
        if subscriber is not None:
            if not subscriber.subscription.has_same_terms(subscription):
                self._ranks = None
            subscriber.renew(subscription, now)
            if message.sent_ms is not None:
                subscriber.echo = (message.sent_ms, now)
        limit = _limit_from_wire(message.limit, now)
        if limit is not None:
            self._update_limit(limit)
        self._on_declared(
            DeclaredVersions(
                message.declared, _all_ages_from_ms(message.ages_ms)
            )
        )
        if message.suspicions or message.part_suspicions:
            self._on_suspicions(
                suspicion_codec.from_wire(
                    message.suspicions, message.part_suspicions
                )
            )
        # An entry that has just started needs the ages at once.
        self.send_due_ages()

    def _update_limit(self, limit: rate_limit.Observation) -> None:
        """Stores an entry's observation if it is newer than the stored one."""
        known = self._limit
        if known is None or not known.start.matches(limit.start):
            newer = (
                known is None
                or limit.start.started_ms >= known.start.started_ms
            )
        else:
            newer = limit.at > known.at
        if newer:
            self._limit = limit

    def _current_limit(
        self, start: servers.ServerStart, now: float
    ) -> rate_limit.Observation | None:
        """Returns the observed rate limit to report; None if there is none."""
        limit = self._limit
        if limit is None or not limit.start.matches(start):
            return None
        ended = limit.per_s is None
        return None if ended and now - limit.at > _LIMIT_END_S else limit

    @property
    def entries(self) -> int:
        """The number of entries that have subscribed."""
        return len(self._subscribers)

    @property
    def followers(self) -> int:
        """The number of these entries that send requests to the server."""
        return sum(
            not s.subscription.changes_only for s in self._subscribers.values()
        )

    @property
    def demand(self) -> float | None:
        """The demand of all followers; None if unknown or if there is one."""
        subscriptions = [s.subscription for s in self._subscribers.values()]
        demands = [s.demand for s in subscriptions if not s.changes_only]
        return slot_shares.total_demand(demands) if len(demands) > 1 else None

    def send(
        self,
        report: Report,
        suspicions: tuple[suspicion_codec.Suspicion, ...] = (),
    ) -> None:
        """Sends a report to the subscribed entries that are due.

        Args:
          report: The state of the server.
          suspicions: Suspicions about requests that crash servers. The report
            also goes to some entries for these, whether due or not.
        """
        if self._transport is None:
            return
        now = asyncio.get_running_loop().time()
        self._drop_expired(now)
        limit = self._current_limit(report.start, now)
        if limit is not None:
            report = dataclasses.replace(report, limit=limit)
        told = self._draw_relayed() if suspicions else frozenset()
        recipients = self._recipients(self._is_change(report), told)
        if not recipients:
            return
        without_ages = dataclasses.replace(report, ages_s={})
        short = _encode_report(without_ages)
        if told:
            short_told = _encode_report(without_ages, suspicions)
        for addr, subscriber in recipients:
            data = short_told if addr in told else short
            if (
                subscriber.echo is not None
                or subscriber.ages_sent_at + _AGES_INTERVAL_S <= now
            ):
                subscriber.ages_sent_at = now
                echo, subscriber.echo = subscriber.echo, None
                data = _encode_report(
                    self._with_ranks(report, addr, now),
                    suspicions if addr in told else (),
                    echo and (echo[0], int(1e3 * (now - echo[1]))),
                )
            self._transport.sendto(data, addr)

    def relay(self, suspicions: tuple[suspicion_codec.Suspicion, ...]) -> None:
        """Sends suspicions to some entries while there is nothing to report."""
        if self._transport is None or not suspicions:
            return
        self._drop_expired(asyncio.get_running_loop().time())
        data = _encode_report(Report("", 0, 0, 1), suspicions)
        for addr in self._draw_relayed():
            self._transport.sendto(data, addr)

    def _draw_relayed(self) -> frozenset[tuple]:
        """Returns the subscribers to send suspicions to, new ones always."""
        share = _RELAYS / max(1, self._agent_count())
        return frozenset(
            addr
            for addr, subscriber in self._subscribers.items()
            if subscriber.first_pending
            or self._rng.random()
            < (share / 4 if subscriber.subscription.far else share)
        )

    def _with_ranks(self, report: Report, addr: tuple, now: float) -> Report:
        """Returns the report with the ranks of a subscriber, if valid."""
        if now < self._ranks_valid_at:
            return report
        if self._ranks is None:
            self._ranks = self._rank_all()
        rank, follower_rank = self._ranks[addr]
        return dataclasses.replace(
            report, rank=rank, follower_rank=follower_rank
        )

    def _rank_all(self) -> dict[tuple, tuple[int, int]]:
        """Returns each subscriber's rank among all, and among followers."""
        ranks: dict[tuple, tuple[int, int]] = {}
        followers = 0
        by_name = sorted(
            self._subscribers.items(), key=lambda item: (item[1].name, item[0])
        )
        for rank, (addr, subscriber) in enumerate(by_name):
            is_follower = not subscriber.subscription.changes_only
            ranks[addr] = (rank, followers if is_follower else -1)
            followers += is_follower
        return ranks

    def _drop_expired(self, now: float) -> None:
        """Removes subscribers that have not renewed their subscription."""
        expired = [
            a for a, s in self._subscribers.items() if s.expires_at < now
        ]
        for addr in expired:
            del self._subscribers[addr]
            self._ranks = None
        if not self._subscribers:
            # Entries subscribe one by one again, as after a start.
            self._ranks_valid_at = math.inf

    def _recipients(
        self, is_change: bool, told: frozenset[tuple] = frozenset()
    ) -> list[tuple[tuple, _Subscriber]]:
        """Returns the subscribers that get the present report.

        Args:
          is_change: Whether the report has a change, so that all get it.
          told: The subscribers that get it for the suspicions in it.
        """
        self._report_count += 1
        near = not self._report_count % self._near_interval
        far = not self._report_count % _FAR_INTERVAL
        recipients = []
        for addr, subscriber in self._subscribers.items():
            subscription = subscriber.subscription
            turn = far if subscription.far else near
            due = subscriber.first_pending or (
                turn and not subscription.changes_only
            )
            if is_change or due or addr in told:
                subscriber.first_pending = False
                recipients.append((addr, subscriber))
        return recipients

    def send_ages_now(self) -> None:
        """Sends the ages of declared versions to all subscribers at once."""
        for subscriber in self._subscribers.values():
            subscriber.ages_sent_at = -math.inf
        self.send_due_ages()

    def send_due_ages(self) -> None:
        """Sends the ages to subscribers that have not had them for a while.

        This also works while the server does not answer and there are no
        reports.
        """
        now = asyncio.get_running_loop().time()
        due = {
            addr: subscriber
            for addr, subscriber in self._subscribers.items()
            if subscriber.ages_sent_at + subscriber.ages_interval_s
            <= now
            <= subscriber.expires_at
        }
        report = self._ages_report() if due else None
        if self._transport is None or report is None:
            return
        data = _encode_report(report)
        for addr, subscriber in due.items():
            subscriber.ages_sent_at = now
            self._transport.sendto(data, addr)

    @property
    def _near_interval(self) -> int:
        near = sum(
            not s.subscription.far and not s.subscription.changes_only
            for s in self._subscribers.values()
        )
        return min(_FAR_INTERVAL, 1 + near // (_MAX_NEAR_PER_REPORT + 1))

    def _is_change(self, report: Report) -> bool:
        """Returns whether a report has a change that all entries need."""
        state = (
            report.start,
            report.version,
            report.whole,
            report.loading,
            report.yielding,
            report.limit and report.limit.per_s,
            report.evacuated,
        )
        changed = state != self._last_state
        self._last_state = state
        return changed

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()


class Listener(asyncio.DatagramProtocol):
    """Subscribes an entry at agents and receives their reports."""

    def __init__(
        self,
        name: str,
        on_report: Callable[[str, Report], None],
        *,
        on_suspicions: OnSuspicions = lambda suspicions: None,
    ):
        """Sends nothing before it is bound to a socket.

        Args:
          name: The instance name of this entry.
          on_report: Called with the sender's IP address and the report.
          on_suspicions: Called with the suspicions of all entries about
            requests that crash servers.
        """
        self._name = name
        self._on_report = on_report
        self._on_suspicions = on_suspicions
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport) -> None:
        """Called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Handles a report."""
        try:
            message = codec.decode(ttypes.BackendReport, data)
        except exceptions.DecodeError:
            return
        if message.suspicions or message.part_suspicions:
            self._on_suspicions(
                suspicion_codec.from_wire(
                    message.suspicions, message.part_suspicions
                )
            )
        self._on_report(addr[0], _report_from_wire(message))

    def subscribe(
        self,
        agents: Mapping[types.Address, Subscription],
        declared: DeclaredVersions,
        suspicions: tuple[suspicion_codec.Suspicion, ...] = (),
    ) -> None:
        """Sends subscriptions to agents.

        Args:
          agents: The subscription for each agent.
          declared: The versions of weights that are known to be declared.
          suspicions: This entry's suspicions about requests that crash servers.
        """
        if self._transport is None:
            return
        sent_ms = _clock_ms()
        ages_ms = {m: _ages_to_ms(a) for m, a in declared.ages_s.items()}
        newest = dict(declared.newest)
        data = {
            subscription: codec.encode(
                ttypes.Subscribe(
                    self._name,
                    newest,
                    subscription.far,
                    subscription.changes_only or None,
                    _limit_to_wire(subscription.limit),
                    subscription.demand,
                    sent_ms,
                    ages_ms=ages_ms or None,
                    suspicions=suspicion_codec.to_wire(suspicions),
                    part_suspicions=suspicion_codec.parts_to_wire(suspicions),
                )
            )
            for subscription in set(agents.values())
        }
        for agent, subscription in agents.items():
            self._transport.sendto(data[subscription], (agent.host, agent.port))

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()


def _encode_report(
    report: Report,
    suspicions: tuple[suspicion_codec.Suspicion, ...] = (),
    echo: tuple[int, int] | None = None,
) -> bytes:
    echo_ms, echo_held_ms = echo or (None, None)
    ages_ms = _ages_to_ms(report.ages_s)
    return codec.encode(
        ttypes.BackendReport(
            report.server_id,
            report.running,
            report.waiting,
            report.slots,
            report.model,
            report.version,
            report.whole,
            report.loading,
            report.pace,
            report.yielding,
            report.entries,
            report.ready_in_s,
            report.followers or None,
            None if report.rank < 0 else report.rank,
            None if report.follower_rank < 0 else report.follower_rank,
            _limit_to_wire(report.limit),
            report.demand,
            int(1e3 * report.cold_s) or None,
            report.evacuated or None,
            born=report.started_ms,
            ages_ms=ages_ms or None,
            memory_percent=_to_percent(report.memory_used),
            echo_ms=echo_ms,
            echo_held_ms=echo_held_ms,
            suspicions=suspicion_codec.to_wire(suspicions),
            part_suspicions=suspicion_codec.parts_to_wire(suspicions),
        )
    )


def _report_from_wire(message: ttypes.BackendReport) -> Report:
    return Report(
        message.server_id,
        message.running,
        message.waiting,
        message.slots,
        message.model,
        message.version,
        message.whole,
        message.loading,
        message.pace,
        message.yielding,
        message.entries,
        message.followers or 0,
        message.ready_in_s,
        message.born or 0,
        _ages_from_ms(message.ages_ms),
        -1 if message.rank is None else message.rank,
        -1 if message.follower_rank is None else message.follower_rank,
        _limit_from_wire(message.limit, asyncio.get_running_loop().time()),
        slot_shares.valid_demand(message.demand),
        max(0, message.cold_ms or 0) / 1e3,
        bool(message.evacuated),
        max(0, message.memory_percent or 0) / 100,
        _round_trip_s(message),
    )


def _clock_ms() -> int:
    """Returns the event loop's time in milliseconds, modulo 2^31."""
    return int(1e3 * asyncio.get_running_loop().time()) & _MAX_AGE_MS


def _round_trip_s(message: ttypes.BackendReport) -> float | None:
    """Returns the time of a round trip in seconds; None if it is not told."""
    if message.echo_ms is None or message.echo_held_ms is None:
        return None
    passed_ms = (_clock_ms() - message.echo_ms) & _MAX_AGE_MS
    return max(0, passed_ms - message.echo_held_ms) / 1e3


def _to_percent(memory_used: float) -> int | None:
    """Returns a share in percent; None if it is too little to be reported."""
    if memory_used < _MIN_MEMORY_USED:
        return None
    return math.ceil(100 * min(1.0, memory_used))


def _limit_to_wire(
    observed: rate_limit.Observation | None,
) -> ttypes.Limit | None:
    if observed is None:
        return None
    age_s = asyncio.get_running_loop().time() - observed.at
    return ttypes.Limit(
        observed.start.server_id,
        observed.start.started_ms,
        min(int(1e3 * age_s), _MAX_AGE_MS),
        observed.per_s,
    )


def _limit_from_wire(
    message: ttypes.Limit | None, now: float
) -> rate_limit.Observation | None:
    """Returns the rate limit in a datagram; None if it is absent or invalid."""
    if message is None or None in (
        message.server_id,
        message.born,
        message.age_ms,
    ):
        return None
    if (
        message.per_s is not None
        and not 0.0 <= message.per_s <= _MAX_LIMIT_PER_S
    ):
        return None
    return rate_limit.Observation(
        servers.ServerStart(message.server_id, message.born),
        message.per_s,
        now - message.age_ms / 1e3,
    )


def _ages_to_ms(ages_s: Mapping[int, float]) -> dict[int, int]:
    """Returns ages in milliseconds.

    They are rounded down so that an age that is passed on many times does not
    grow.
    """
    return {version: int(1e3 * age_s) for version, age_s in ages_s.items()}


def _ages_from_ms(ages_ms: Mapping[int, int] | None) -> dict[int, float]:
    return {v: age_ms / 1e3 for v, age_ms in (ages_ms or {}).items()}


def _all_ages_from_ms(
    ages_ms: Mapping[str, Mapping[int, int]] | None,
) -> dict[str, dict[int, float]]:
    return {
        model: _ages_from_ms(ages) for model, ages in (ages_ms or {}).items()
    }
