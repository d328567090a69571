"""One server's weights: what to bring, when to yield, when to load."""

import asyncio
from collections.abc import Sequence
import dataclasses
import math

from clementinegw.direct import _events
from clementinegw.direct import ahead
from clementinegw.direct import backing
from clementinegw.direct import bring
from clementinegw.direct import declarations
from clementinegw.direct import instance as instances
from clementinegw.direct import plan
from clementinegw.direct import turns
from clementinegw.direct import types
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import histograms as histograms_lib
from clementinegw.telemetry import logs

# After an order until the server's state shows it, in seconds.
_ORDER_S = 0.3
# Servers swap in groups, so that most serve at any time: the parts that go one
# after the other, the time between them, and how long a server gets no new
# requests before it loads.
_TURNS = turns.Terms(groups=3, step_s=0.8, drain_s=1.0, least_drain_s=0.3)
# How long a server takes to load and to be known to serve again, in seconds.
_LOAD_S = 0.6
# The same where there is no time left to wait for requests that run.
_SWAP_S = _TURNS.least_drain_s + _LOAD_S
# How much longer than at the links' limit a version takes to come.
_BRING_FACTOR = 1.22
_VERSIONS_KEPT = 3
# Without any new piece for so long, a version that was begun before is taken
# up again, and the one that stalled is left aside for so long. Agents give the
# newest one up within a second of each other; who gave up the older one as soon
# would leave it just as the others come, and none would ever be whole. Seconds.
_STALL_S = 1.0
_OLDER_STALL_S = 3.0
# The newest one is given up after so long of failed draws: they mean that
# pieces are missing everywhere, while those that are out go on arriving.
_ORIGIN_FAILS_S = 0.5
_ASIDE_S = 4.0


# A version that was declared so short a time ago lies with no agent yet: the
# first pieces are drawn a tenth of a second later. Seconds.
_NEW_S = 0.3


@dataclasses.dataclass(slots=True)
class Around:
    """What an agent knows of its surroundings.

    Attributes:
      instance: What it knows of itself.
      engine: How the server beside works; None before the configuration.
      origin: Where weights come from first.
      servers: The listed servers of its service by id.
      state: What the server beside last said; None while it is silent.
      beside: The server beside.
    """

    instance: instances.Instance
    engine: types.Engine | None = None
    origin: backing.Origin | None = None
    servers: dict[str, types.Server] = dataclasses.field(default_factory=dict)
    state: backing.State | None = None
    beside: backing.Beside | None = None

    @property
    def model(self) -> str:
        """The model that the server beside serves; empty when unknown."""
        if self.engine is None or not self.engine.models:
            return ""
        return self.engine.models[0]

    @property
    def start(self) -> types.ServerStart:
        """The present start of the server beside; its id empty when unlisted.

        A start that crashed stays listed for seconds beside the next one, with
        the same address. The server itself says first when it was born.
        """
        here = [
            server
            for server in self.servers.values()
            if server.address == self.instance.backend_address
        ]
        born = self.state.born if self.state is not None else 0
        # Of those that are born at the same time, or say nothing of it, the
        # one that was heard of last.
        newest = max(
            enumerate(here),
            key=lambda found: (
                found[1].started_ms == born,
                found[1].started_ms,
                found[0],
            ),
            default=None,
        )
        if newest is None:
            return types.ServerStart("")
        listed = newest[1].start
        return types.ServerStart(listed.server_id, born or listed.started_ms)

    @property
    def server_id(self) -> str:
        """The id of the server beside; empty when it is not listed."""
        return self.start.server_id


class Weights:
    """The weights of the server beside an agent."""

    def __init__(
        self,
        around: Around,
        bringer: bring.Bringer,
        log: logs.Log,
        counters: counters_lib.Counters,
        histograms: histograms_lib.Histograms,
        declared: declarations.Declarations,
    ):
        """Knows of no version.

        Args:
          around: What the agent knows.
          bringer: Brings pieces.
          log: Where events go.
          counters: Counts orders.
          histograms: Keeps how long orders took.
          declared: What operators named, in boot time.
        """
        self._around = around
        self._bringer = bringer
        self._log = log
        self._counters = counters
        self._histograms = histograms
        # Stalls are counted by a clock that stands still with the machine: no
        # piece could come. Due times are not.
        self._clock = asyncio.get_running_loop().time
        self._declared = declared
        self._ahead = ahead.Ahead(bringer, log, counters)
        self._digests: dict[int, backing.Digests] = {}
        self._here_at: dict[int, float] = {}
        self._aside: dict[int, float] = {}
        self._left_behind: dict[int, float] = {}
        self._last_left = 1.0
        self._moved_at = 0.0
        self._yielding = False
        self._yields_since = 0.0

    @property
    def yielding(self) -> bool:
        """Whether the server is about to load and others are preferred."""
        return self._yielding

    def restarted(self) -> None:
        """Forgets what was begun with the start before."""
        self._yielding = False

    def ready_in_s(self, serves: bool) -> float:
        """Returns about when the server serves; negative when unknown.

        Of a version that is on its way, if there is one: callers who may begin
        on the present one find a server without asking. Told to be ready at
        once all the same, callers were held for 1.5 s and then turned away,
        500 of them while the origin was down.

        Args:
          serves: Whether it has all layers of any version now.
        """
        digests = self._bringer.digests
        if serves and (digests is None or self._serves(digests.version)):
            return 0.0
        if self._around.state is not None and self._around.state.busy:
            return _LOAD_S
        if digests is None or self._halted:
            return -1.0
        return self._bringer.left * self._bring_s() + _LOAD_S

    @property
    def _halted(self) -> bool:
        """Whether pieces are missing and none comes."""
        if self._bringer.left <= 0:
            return False
        quiet_s = self._clock() - self._moved_at
        return (
            quiet_s > _STALL_S
            or self._bringer.origin_failing_s > _ORIGIN_FAILS_S
        )

    def _versions(self) -> Sequence[plan.Declaration]:
        """Returns what is to be served: declared, or what others have.

        Before the first declaration the servers that were there from the
        start hold the first version, and an empty one must get it.
        """
        declared = self._declared.of(self._around.model)
        if declared:
            return declared[-_VERSIONS_KEPT:]
        held = [
            h.version
            for server in self._around.servers.values()
            for h in server.held
            if h.model == self._around.model and self.whole(h)
        ]
        return [plan.Declaration(max(held, default=1), -math.inf)]

    def whole(self, held: types.HeldWeights) -> bool:
        """Returns whether all layers of a model are there."""
        return (
            self._around.engine is not None
            and held.layers >= self._around.engine.layers
        )

    def _serves(self, version: int) -> bool:
        return self._around.state is not None and any(
            h.model == self._around.model
            and self.whole(h)
            and h.version >= version
            for h in self._around.state.held
        )

    async def bring(self) -> None:
        """Begins to bring the version that the plan names."""
        digests = self._bringer.digests
        current = None
        if digests is not None:
            current = plan.Progress(digests.version, self._bringer.left)
            if self._stalled():
                self._aside[digests.version] = self._clock() + _ASIDE_S
        version = plan.choose(
            self._versions(),
            current,
            self._terms(),
            self._declared.now,
            self._set_aside(),
            self._left_behind,
        )
        assert self._around.origin is not None
        if digests is not None and self._must_spread(digests.version, version):
            return
        if digests is not None and digests.version == version:
            newest = self._versions()[-1].version
            if newest > version and not self._bringer.unspread:
                self._ahead.begin(
                    self._around.origin, self._around.model, newest
                )
            return
        if not version:
            return
        await self._ahead.settle()
        found = self._digests.get(version)
        if found is None:
            found = await self._bringer.describe(
                self._around.origin, self._around.model, version
            )
        self._digests[version] = found
        for old in sorted(self._digests)[:-_VERSIONS_KEPT]:
            del self._digests[old]
        staged = 0
        if self._around.beside is not None:
            staged = await self._bringer.take_staged(self._around.beside, found)
        self._log.write(
            _events.WEIGHTS_WANTED,
            version=version,
            pieces=len(found.digests),
            staged=staged,
            was=digests.version if digests is not None else 0,
            was_left=round(self._bringer.left, 3),
            was_unspread=round(self._bringer.unspread, 3),
        )
        self._moved_at = self._clock()
        if digests is not None:
            self._left_behind[digests.version] = self._bringer.left
            for old in sorted(self._left_behind)[:-_VERSIONS_KEPT]:
                del self._left_behind[old]
        is_new = any(
            declared.version == version
            and self._declared.now - declared.at < _NEW_S
            for declared in self._declared.of(self._around.model)
        )
        self._bringer.want(self._around.origin, found, is_new)

    def _must_spread(self, version: int, newer: int) -> bool:
        """Returns whether a version's last pieces go before a newer version."""
        if newer <= version or self._bringer.origin_failing_s > _ORIGIN_FAILS_S:
            return False
        return plan.spreads_first(
            plan.Declaration(version, self._at(version)),
            plan.Declaration(newer, self._at(newer)),
            self._bringer.unspread * self._copy_s(),
            self._terms(),
            self._declared.now,
        )

    def _copy_s(self) -> float:
        """Returns how long the origin takes to send a version once."""
        if self._around.engine is None:
            return math.inf
        size = self._around.engine.chunks * self._around.engine.chunk_bytes
        return size / self._bringer.origin_bytes_per_s

    def _stalled(self) -> bool:
        """Returns whether no piece has come for a while."""
        left = self._bringer.left
        now = self._clock()
        if left != self._last_left:
            self._last_left = left
            self._moved_at = now
        newest = self._versions()[-1].version
        digests = self._bringer.digests
        older = digests is not None and digests.version < newest
        if not older and self._bringer.origin_failing_s > _ORIGIN_FAILS_S:
            return left > 0
        most_s = _OLDER_STALL_S if older else _STALL_S
        return left > 0 and now - self._moved_at > most_s

    def _set_aside(self) -> set[int]:
        """Returns the versions that stall, and those that are served.

        None stalls for good: where no other is left, they are tried again.
        """
        now = self._clock()
        stalled = {v for v, until in self._aside.items() if until > now}
        served = {v for v in self._digests if self._serves(v)}
        return stalled | served if stalled else set()

    def _terms(self) -> plan.Terms:
        return plan.Terms(self._bring_s(), _SWAP_S, self._declared.due_s)

    def _bring_s(self) -> float:
        """Returns how long the links take to bring a version everywhere."""
        if self._around.engine is None:
            return 0.0
        size = self._around.engine.chunks * self._around.engine.chunk_bytes
        return size / self._around.instance.link_bytes_per_s * _BRING_FACTOR

    async def load_newest(self) -> None:
        """Orders the newest version that is here, if it is not served."""
        if (
            self._around.state is None
            or self._around.beside is None
            or self._around.state.busy
        ):
            return
        yielded, self._yielding = self._yielding, False
        for version in sorted(self._digests, reverse=True):
            if self._serves(version):
                return
            empty = not any(self.whole(h) for h in self._around.state.held)
            turn = self._turn(version)
            if not empty and self._declared.now < turn.yield_at:
                continue
            self._yielding = not empty
            if not yielded:
                self._yields_since = self._declared.now
            if self._bringer.holds(self._digests[version]):
                await self._load(self._digests[version], turn)
                return

    async def _load(self, digests: backing.Digests, turn: turns.Turn) -> None:
        assert self._around.beside is not None
        decided = self._around.state
        former = await self._around.beside.state()
        if not await self._bringer.stage(self._around.beside, digests):
            return
        state = await self._around.beside.state()
        # Another start may not have what lies staged, nor what was decided on.
        if state.busy or not _one_start(decided, former, state):
            return
        now = self._declared.now
        yielded_s = now - self._yields_since
        if state.running and now < self._drained_at(digests.version, turn):
            return
        # Streams last for seconds; what is left of them goes on at another
        # server, which takes a quarter of a second.
        # The orders counted are those before pieces were staged: a start since
        # then has accepted none, and refuses to load without them.
        begun = await self._around.beside.load(
            self._around.model, digests.version, former.sequence, cut=True
        )
        self._counters.add("weights.orders")
        self._histograms.add(
            "weights.declared_to_order",
            self._declared.now - self._at(digests.version),
        )
        self._log.write(
            _events.WEIGHTS_ORDERED,
            version=digests.version,
            sequence=state.sequence,
            begun=begun,
            running=state.running,
            yielded_s=round(yielded_s, 3),
            after_s=round(self._declared.now - self._at(digests.version), 3),
            received_bytes=self._counters.value("weights.received_bytes"),
            from_afar_bytes=self._counters.value("weights.cross_domain_bytes"),
            drawn_bytes=self._counters.value("weights.drawn_bytes"),
        )
        await asyncio.sleep(_ORDER_S)

    def _at(self, version: int) -> float:
        """Returns when a version was declared; now when it never was."""
        for declared in self._declared.of(self._around.model):
            if declared.version == version:
                return declared.at
        return self._declared.now

    def _turn(self, version: int) -> turns.Turn:
        """Returns when this server yields and loads for a version."""
        same = [
            server.server_id
            for server in self._around.servers.values()
            if not server.leaving
        ]
        now = self._declared.now
        if self._bringer.holds(self._digests[version]):
            here_at = self._here_at.setdefault(version, now)
        else:
            here_at = now + self._bringer.left * self._bring_s()
        last_at = self._last_at(version)
        me = self._around.server_id
        return turns.turn(me, same, version, here_at, last_at, _TURNS)

    def _drained_at(self, version: int, turn: turns.Turn) -> float:
        """Returns until when requests that run are waited for.

        The pieces may have come sooner than was thought, and the server have
        yielded later than its turn says.
        """
        yielded_at = self._yields_since + turn.load_at - turn.yield_at
        return max(turn.load_at, min(yielded_at, self._last_at(version)))

    def _last_at(self, version: int) -> float:
        """Returns when a load must begin so that the server serves in time."""
        return self._at(version) + self._declared.due_s - _LOAD_S


def _one_start(*states: backing.State | None) -> bool:
    """Returns whether states are of one start that took no order meanwhile."""
    return len({s and (s.born, s.sequence) for s in states}) == 1
