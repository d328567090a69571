"""What backend servers are doing, in datagrams from agents to entries.

The platform's list is a heartbeat behind and a server's own report costs a
call. The agent beside a server asks for nothing, so it tells every entry that
has subscribed; a lost datagram is made good by the next one.
"""

import asyncio
from collections.abc import Callable, Mapping
import dataclasses
import math

from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import rate_limit
from clementinegw.direct import suspects
from clementinegw.direct import suspicion_codec
from clementinegw.direct import types as servers
from clementinegw.wire import codec
from clementinegw.wire.gen.reports import ttypes

# A subscription that is not renewed ends after this, in seconds; entries
# renew it more often by some times.
SUBSCRIPTION_S = 4.0
# The same for an entry that is told of changes only, and renews it a third as
# often: with a hundred entries these were most of what an agent was sent.
_CHANGES_SUBSCRIPTION_S = 12.0
_MAX_SUBSCRIBERS = 512
# Of so many reports an entry in another region gets one, unless the server's
# weights have changed. Bytes between regions are paid for, and with 43 entries
# reports took a tenth of a machine's link; servers far away get few requests.
_FAR_INTERVAL = 4
# So many entries of the own region get every report; with more of them each
# gets every second one, and so on. A report takes 58 bytes and its headers,
# and taking them in was a third of what an entry before 31 agents ran.
_MAX_NEAR_PER_REPORT = 8
# How long the end of a rate limit is reported, in seconds: some lost datagrams.
_LIMIT_END_S = 10.0
# The largest age in a report, in milliseconds: what a field holds.
_MAX_AGE_MS = 2**31 - 1
# Entries renew their subscriptions within this, in seconds, after an agent has
# started. Before that it knows of the first ones only, and each would take too
# large a share of a server's rate limit.
_RANKS_DELAY_S = 2.0
# How often an entry is told of the ages of declared versions, in seconds: one
# that was cut off hears of them so long after. They take six bytes and more.
_AGES_INTERVAL_S = 1.0


OnSuspicions = Callable[[tuple[suspects.Suspicion, ...]], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an agent tells of the server beside it.

    Attributes:
      server_id: The server's present start; empty when it is not known, or
        when only ages are told.
      running: Requests that it works on.
      waiting: Requests in its queue.
      slots: Requests that it runs at once.
      model: The model it holds; empty for none.
      version: The version of the weights it holds; 0 for none.
      whole: Whether every layer is there.
      loading: Whether it takes no requests because it loads weights.
      pace: How many times slower than usual it works.
      yielding: Whether it is about to load, so that others are preferred.
      entries: Entries that ask its agent for reports.
      followers: Those of them that send requests to the server; 0 when that is
        not known.
      ready_in_s: About when it serves again, in seconds; negative when that is
        not known.
      started_ms: Which start of the server it is of; see
        `direct.types.ServerStart`.
      ages_s: By version of the model, how long ago it was declared, in
        seconds; those that are known.
      rank: The place among `entries` of the entry that it goes to, by name;
        negative when it is not reported this time.
      follower_rank: The same among `followers`.
      limit: The newest observation of any entry of the server's rate limit.
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

    @property
    def start(self) -> servers.ServerStart:
        """Which start of the server it is of."""
        return servers.ServerStart(self.server_id, self.started_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredVersions:
    """What an entry knows of declared versions.

    Attributes:
      newest: The newest version of each model.
      ages_s: By model and version, how long ago it was declared, in seconds;
        those that are known.
    """

    newest: Mapping[str, int]
    ages_s: Mapping[str, Mapping[int, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class Subscription:
    """What an entry asks an agent for.

    Attributes:
      far: Whether it stands in another region.
      changes_only: Whether it sends no requests to the server beside, and is
        told of what changes only, not of the load.
      limit: The entry's own last observation of the server's rate limit.
    """

    far: bool
    changes_only: bool = False
    limit: rate_limit.Observation | None = None


@dataclasses.dataclass(slots=True)
class _Subscriber:
    subscription: Subscription
    expires_at: float
    name: str = ""
    ages_sent_at: float = -math.inf
    # Its first report does not wait for its turn: it sends nothing until then.
    new: bool = True

    @property
    def ages_interval_s(self) -> float:
        """How often it is told of ages where no report does, in seconds.

        Who is told of changes only hears of ages from the agents it follows.
        """
        return (
            _CHANGES_SUBSCRIPTION_S
            if self.subscription.changes_only
            else 2 * _AGES_INTERVAL_S
        )

    def renew(self, subscription: Subscription, now: float) -> None:
        self.new = self.new or subscription != self.subscription
        self.subscription = subscription
        lifetime_s = (
            _CHANGES_SUBSCRIPTION_S
            if subscription.changes_only
            else SUBSCRIPTION_S
        )
        self.expires_at = now + lifetime_s


class Reporter(asyncio.DatagramProtocol):
    """The agent's side."""

    def __init__(
        self,
        on_declared: Callable[[DeclaredVersions], None],
        ages: Callable[[], Report | None] = lambda: None,
        on_suspicions: OnSuspicions = lambda suspicions: None,
    ):
        """Does nothing before it is bound.

        Args:
          on_declared: Takes the versions that an entry knows to be declared.
          ages: Returns a report of ages only; None while none is known.
          on_suspicions: Takes what an entry saw of requests that crash servers.
        """
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
        """Takes a subscription."""
        try:
            message = codec.decode(ttypes.Subscribe, data)
        except exceptions.DecodeError:
            return
        subscription = Subscription(
            bool(message.far), bool(message.changes_only)
        )
        now = asyncio.get_running_loop().time()
        self._ranks_valid_at = min(self._ranks_valid_at, now + _RANKS_DELAY_S)
        known = self._subscribers.get(addr)
        if known is None and len(self._subscribers) < _MAX_SUBSCRIBERS:
            known = _Subscriber(subscription, 0.0, message.instance_id or "")
            self._subscribers[addr] = known
            self._ranks = None
        if known is not None:
            if known.subscription != subscription:
                self._ranks = None
            known.renew(subscription, now)
        limit = _limit_from_wire(message.limit, now)
        if limit is not None:
            self._update_limit(limit)
        self._on_declared(
            DeclaredVersions(
                message.declared, _all_ages_from_ms(message.ages_ms)
            )
        )
        if message.suspicions:
            self._on_suspicions(suspicion_codec.from_wire(message.suspicions))
        # An entry that starts must not wait for what it alone can't know.
        self.send_due_ages()

    def _update_limit(self, limit: rate_limit.Observation) -> None:
        """Takes in an observation of an entry; the newest of a start counts."""
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
        """Returns what is reported of a start's rate limit."""
        limit = self._limit
        if limit is None or not limit.start.matches(start):
            return None
        ended = limit.per_s is None
        return None if ended and now - limit.at > _LIMIT_END_S else limit

    @property
    def entries(self) -> int:
        """How many have subscribed."""
        return len(self._subscribers)

    @property
    def followers(self) -> int:
        """How many of them send requests to the server beside."""
        return sum(
            not s.subscription.changes_only for s in self._subscribers.values()
        )

    def send(
        self,
        report: Report,
        suspicions: tuple[suspects.Suspicion, ...] = (),
    ) -> None:
        """Sends a report to whoever has subscribed.

        Args:
          report: What the server beside is doing.
          suspicions: Requests that crash servers; they go to all.
        """
        if self._transport is None:
            return
        now = asyncio.get_running_loop().time()
        self._drop_expired(now)
        limit = self._current_limit(report.start, now)
        if limit is not None:
            report = dataclasses.replace(report, limit=limit)
        is_change = self._is_change(report) or bool(suspicions)
        told = self._recipients(is_change)
        if not told:
            return
        short = _encode_report(
            dataclasses.replace(report, ages_s={}), suspicions
        )
        for addr, subscriber in told:
            data = short
            if subscriber.ages_sent_at + _AGES_INTERVAL_S <= now:
                subscriber.ages_sent_at = now
                data = _encode_report(
                    self._with_ranks(report, addr, now), suspicions
                )
            self._transport.sendto(data, addr)

    def _with_ranks(self, report: Report, addr: tuple, now: float) -> Report:
        """Returns a report with a subscriber's place among all."""
        if now < self._ranks_valid_at:
            return report
        if self._ranks is None:
            self._ranks = self._rank_all()
        rank, follower_rank = self._ranks[addr]
        return dataclasses.replace(
            report, rank=rank, follower_rank=follower_rank
        )

    def _rank_all(self) -> dict[tuple, tuple[int, int]]:
        """Returns each subscriber's place among all, and among followers."""
        ranks: dict[tuple, tuple[int, int]] = {}
        followers = 0
        by_name = sorted(
            self._subscribers.items(), key=lambda item: (item[1].name, item[0])
        )
        for rank, (addr, subscriber) in enumerate(by_name):
            follows = not subscriber.subscription.changes_only
            ranks[addr] = (rank, followers if follows else -1)
            followers += follows
        return ranks

    def _drop_expired(self, now: float) -> None:
        """Drops who has not renewed a subscription."""
        expired = [
            a for a, s in self._subscribers.items() if s.expires_at < now
        ]
        for addr in expired:
            del self._subscribers[addr]
            self._ranks = None

    def _recipients(self, is_change: bool) -> list[tuple[tuple, _Subscriber]]:
        """Returns who is told this time.

        Args:
          is_change: Whether all are.
        """
        self._report_count += 1
        near = not self._report_count % self._near_interval
        far = not self._report_count % _FAR_INTERVAL
        found = []
        for addr, subscriber in self._subscribers.items():
            subscription = subscriber.subscription
            turn = far if subscription.far else near
            due = subscriber.new or (turn and not subscription.changes_only)
            if is_change or due:
                subscriber.new = False
                found.append((addr, subscriber))
        return found

    def send_ages_now(self) -> None:
        """Tells of ages at once; a version or its age is new."""
        for subscriber in self._subscribers.values():
            subscriber.ages_sent_at = -math.inf
        self.send_due_ages()

    def send_due_ages(self) -> None:
        """Tells of ages whoever has not been told for a while.

        Also while the server beside is silent, and no reports go out.
        """
        now = asyncio.get_running_loop().time()
        late = {
            addr: subscriber
            for addr, subscriber in self._subscribers.items()
            if subscriber.ages_sent_at + subscriber.ages_interval_s
            <= now
            <= subscriber.expires_at
        }
        report = self._ages_report() if late else None
        if self._transport is None or report is None:
            return
        data = _encode_report(report)
        for addr, subscriber in late.items():
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
        """Returns whether every entry is told of a report at once."""
        told = (
            report.start,
            report.version,
            report.whole,
            report.loading,
            report.yielding,
            report.limit and report.limit.per_s,
        )
        changed = told != self._last_state
        self._last_state = told
        return changed

    def close(self) -> None:
        """Ends it."""
        if self._transport is not None:
            self._transport.close()


class Listener(asyncio.DatagramProtocol):
    """The entry's side."""

    def __init__(
        self,
        name: str,
        on_report: Callable[[str, Report], None],
        *,
        on_suspicions: OnSuspicions = lambda suspicions: None,
    ):
        """Does nothing before it is bound.

        Args:
          name: This entry.
          on_report: Takes the IP address a report came from, and the report.
          on_suspicions: Takes what entries saw of requests that crash servers.
        """
        self._name = name
        self._on_report = on_report
        self._on_suspicions = on_suspicions
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport) -> None:
        """Called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Takes a report."""
        try:
            message = codec.decode(ttypes.BackendReport, data)
        except exceptions.DecodeError:
            return
        if message.suspicions:
            self._on_suspicions(suspicion_codec.from_wire(message.suspicions))
        self._on_report(addr[0], _report_from_wire(message))

    def subscribe(
        self,
        agents: Mapping[types.Address, Subscription],
        declared: DeclaredVersions,
        suspicions: tuple[suspects.Suspicion, ...] = (),
    ) -> None:
        """Asks agents for reports.

        Args:
          agents: What each is asked for.
          declared: The versions of weights that are known to be declared.
          suspicions: What this entry saw of requests that crash servers.
        """
        if self._transport is None:
            return
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
                    ages_ms=ages_ms or None,
                    suspicions=suspicion_codec.to_wire(suspicions),
                )
            )
            for subscription in set(agents.values())
        }
        for agent, subscription in agents.items():
            self._transport.sendto(data[subscription], (agent.host, agent.port))

    def close(self) -> None:
        """Ends it."""
        if self._transport is not None:
            self._transport.close()


def _encode_report(
    report: Report, suspicions: tuple[suspects.Suspicion, ...] = ()
) -> bytes:
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
            born=report.started_ms,
            ages_ms=ages_ms or None,
            suspicions=suspicion_codec.to_wire(suspicions),
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
    )


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
    """Returns what a datagram says of a rate limit; None for nothing."""
    if message is None or None in (
        message.server_id,
        message.born,
        message.age_ms,
    ):
        return None
    if message.per_s is not None and not 0.0 <= message.per_s < math.inf:
        return None
    return rate_limit.Observation(
        servers.ServerStart(message.server_id, message.born),
        message.per_s,
        now - message.age_ms / 1e3,
    )


def _ages_to_ms(ages_s: Mapping[int, float]) -> dict[int, int]:
    """Returns ages as they are told.

    Rounded down: what is told over and over must not grow older on its way.
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
