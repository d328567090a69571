"""Brings a version's pieces to an agent and to the server beside it."""

import asyncio
import hashlib
import random

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import _events
from clementinegw.direct import backing
from clementinegw.direct import descriptions
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.weights import drawers
from clementinegw.weights import manifest as manifests
from clementinegw.weights import pacing as pacing_lib
from clementinegw.weights import store as stores
from clementinegw.weights import swarm
from clementinegw.weights import transfer
from clementinegw.wire import auth
from clementinegw.wire import connection as connections

# Versions of which pieces are kept in memory: the one served, the one on its
# way, and one more that was named meanwhile.
_VERSIONS_KEPT = 3
_LEAST_STORE_BYTES = 8 << 20
# The part of the machine's link that pieces may take; the rest is for the live
# answers of the server beside, for new connections to it, and for reports.
_LINK_SHARE = 0.87
# What is asked for at once: at a small machine's link a live event waits for
# about two of them, well under what makes a stream late. Bytes.
_PART_BYTES = 8 << 10
# Pieces asked of one agent at once. In a failure domain of two, all that is
# left near the end lies with one other; asked one by one, the turnaround of
# each leaves two fifths of the link idle.
_ASKS_A_PEER = 2
# Agents of the own failure domain that each is connected to: all of a dozen.
# An agent sees only what its neighbours hold, and takes from other regions what
# is near but out of its sight.
_LOCAL_NEIGHBOURS = 16
# Draws are spread as if the origin's link were this many of a machine's while
# its rate is not known, and then by this many times that rate. The sooner all
# pieces are out, the less an origin that is cut off can hold back; but those
# asked for sooner than its link carries them all come late, and new connections
# do not come up behind them.
_ORIGIN_LINKS = 3.0
_ORIGIN_AHEAD = 1.1
# Up to so many agents each ask the origin what a version consists of: less than
# half of the connections that an origin takes.
_ALL_ASK = 16
# In a larger fleet the others ask those who do so first, so often and for so
# long: the answer is there after two trips, and some kilobytes. Seconds.
_ASK_AGAIN_S = 0.05
_TOLD_S = 0.4
# All agents of a deployment stand in the platform's own network; the key only
# keeps a stray connection of something else out.
_KEY = b"clementinegw agents of one platform"
# Copies that may enter a failure domain besides the first one, by agents that
# help out: bytes between places are paid for.
_HELPED_COPIES = 0.4
# How often agents tell each other of new pieces, in seconds.
_ADVERT_S = 0.1
# How often agents elsewhere are told that only help a chunk into their failure
# domain, in seconds: they wait for the first of their own for longer than that.
_FAR_ADVERT_S = 0.3
# A sign of life is asked for once before a peer is given up.
_TIMING = connections.Timing(connect_s=1.0, ping_s=1.0, silent_s=2.1)


def digest_of(data: bytes) -> bytes:
    """Returns the SHA-256 digest that pieces are named by."""
    return hashlib.sha256(data).digest()


class _OriginBlobs:
    """The origin as the exchange asks it: a piece by its digest."""

    def __init__(self, counters: counters_lib.Counters, clock: clocks.Clock):
        self.failing_since: float | None = None
        self._clock = clock
        self._counters = counters
        self._origin: backing.Origin | None = None
        self._digests: backing.Digests | None = None
        self._numbers: dict[str, int] = {}

    def set(self, origin: backing.Origin, digests: backing.Digests) -> None:
        """Says of which version pieces are asked for."""
        self._origin = origin
        self._digests = digests
        self._numbers = {
            manifests.chunk_blob(digest): number
            for number, digest in enumerate(digests.digests)
        }

    async def get(
        self, name: str, offset: int = 0, length: int | None = None
    ) -> bytes:
        """See `platform.blobs.BlobStore`."""
        del offset, length
        number = self._numbers.get(name)
        if self._origin is None or self._digests is None or number is None:
            raise exceptions.BlobMissing(f"origin: no {name}")
        self._counters.add("weights.origin.calls")
        try:
            data = await self._origin.piece(
                self._digests.model, self._digests.version, number
            )
        except exceptions.PlatformError:
            if self.failing_since is None:
                self.failing_since = self._clock.now()
            raise
        self.failing_since = None
        return data

    async def put(self, name: str, data: bytes) -> None:
        """See `platform.blobs.BlobStore`; nothing is published here."""
        raise exceptions.PlatformRefused("the origin takes nothing")

    async def size(self, name: str) -> int:
        """See `platform.blobs.BlobStore`."""
        return len(await self.get(name))


class Bringer:
    """The pieces of the wanted version, by exchange with other agents."""

    def __init__(
        self,
        me: types.Instance,
        link_bytes_per_s: float,
        rng: random.Random,
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: clocks.Clock,
    ):
        """Does nothing before `start`.

        Args:
          me: This agent.
          link_bytes_per_s: The machine's link.
          rng: Breaks ties.
          log: Where events go.
          counters: Counts bytes, refusals and retries.
          clock: The source of time.
        """
        identity = connections.Identity(me.instance_id, me.role, me.place)
        self._me = me
        self._log = log
        self._endpoint = connections.Endpoint(
            identity, auth.single(_KEY), log, counters, _TIMING
        )
        self._clock = clock
        self._origin = _OriginBlobs(counters, clock)
        self._store = stores.MemoryStore(_LEAST_STORE_BYTES, digest_of)
        self.transfer = transfer.Transfer(
            me,
            self._endpoint,
            self._store,
            self._origin,
            _limits(link_bytes_per_s),
            rng,
            pacing_lib.Pacing(link_bytes_per_s * _LINK_SHARE, clock),
            clock=clock,
            log=log,
            counters=counters,
            part_bytes=_PART_BYTES,
        )
        self.origin_bytes_per_s = _ORIGIN_LINKS * link_bytes_per_s
        self._digests: backing.Digests | None = None
        self._descriptions = descriptions.Descriptions(
            self._endpoint, rng, counters
        )

    @property
    def digests(self) -> backing.Digests | None:
        """The version that is being brought, or is here."""
        return self._digests

    @property
    def left(self) -> float:
        """The part of that version's pieces that is missing."""
        progress = self.transfer.progress
        if not progress.total:
            return 1.0
        return 1.0 - progress.held / progress.total

    @property
    def unspread(self) -> float:
        """The part of its pieces that no agent in sight holds."""
        total = self.transfer.progress.total
        return self.transfer.unspread / total if total else 1.0

    @property
    def origin_failing_s(self) -> float:
        """How long the origin has given no piece to this agent, in seconds."""
        since = self._origin.failing_since
        return 0.0 if since is None else self._clock.now() - since

    async def describe(
        self, origin: backing.Origin, model: str, version: int
    ) -> backing.Digests:
        """Returns what a version consists of, by the origin or other agents.

        Raises:
          exceptions.PlatformError: Nobody told.
        """
        known = self._descriptions.find(model, version)
        if known is not None:
            return known
        found = await self._told_by_others(model, version)
        if found is not None:
            return found
        try:
            found = await origin.digests(model, version)
        except exceptions.PlatformError:
            told = await self._descriptions.ask(model, version)
            if told is None:
                raise
            found = told
        if found.version != version or not found.digests:
            raise exceptions.PlatformUnavailable("another manifest")
        self._descriptions.keep(found)
        return found

    async def _told_by_others(
        self, model: str, version: int
    ) -> backing.Digests | None:
        """Returns a version as those know it that ask the origin first.

        None where this agent is one of them, or none has told soon.
        """
        first = self._first_to_ask(model, version)
        if not first or self._me.instance_id in first:
            return None
        until = self._clock.now() + _TOLD_S
        while self._clock.now() < until:
            told = await self._descriptions.ask(model, version, first)
            if told is not None:
                self._descriptions.keep(told)
                return told
            await asyncio.sleep(_ASK_AGAIN_S)
        return None

    def _first_to_ask(self, model: str, version: int) -> tuple[str, ...]:
        """Returns who asks the origin; nobody in a fleet where all do."""
        fleet = self.transfer.fleet
        if len(fleet) <= _ALL_ASK:
            return ()
        name = f"{model}/{version}".encode()
        return fleet.ranked(name, drawers.DrawPolicy.FLEET, "")

    def holds(self, digests: backing.Digests) -> bool:
        """Returns whether every piece of a version is here."""
        return all(self._store.holds(digest) for digest in digests.digests)

    async def listen(self) -> None:
        """Takes connections of other agents."""
        await self._endpoint.listen(self._me.address)

    async def close(self) -> None:
        """Ends all connections."""
        await self._endpoint.close()

    def set_origin_rate(self, bytes_per_s: float) -> None:
        """Says how fast the origin's link is; 0 where nobody knows."""
        if bytes_per_s > 0:
            self.origin_bytes_per_s = bytes_per_s
            self.transfer.set_origin_rate(_ORIGIN_AHEAD * bytes_per_s)

    def set_fleet(self, others: list[types.Instance]) -> None:
        """Says which other agents there are."""
        self.transfer.set_fleet(others)

    def want(
        self,
        origin: backing.Origin,
        digests: backing.Digests,
        is_new: bool = False,
    ) -> None:
        """Brings a version; one that was wanted before is abandoned.

        Args:
          origin: Where its pieces are drawn.
          digests: What it consists of.
          is_new: Whether it was declared only now: nobody has any piece.
        """
        if digests == self._digests:
            return
        self._digests = digests
        self._origin.failing_since = None
        self._origin.set(origin, digests)
        self.transfer.set_target(descriptions.manifest_of(digests), is_new)

    def own_part(self, digests: backing.Digests) -> list[int]:
        """Returns the pieces that this agent draws first, and does not hold."""
        firsts = self.transfer.first_draws(descriptions.manifest_of(digests))
        return [n for n in firsts if not self._store.holds(digests.digests[n])]

    async def draw(
        self, origin: backing.Origin, digests: backing.Digests, number: int
    ) -> bool:
        """Draws one piece outside the exchange; returns whether it is kept.

        Raises:
          exceptions.PlatformError: The origin gave no whole piece.
        """
        # Last in the order: what the link carries for the exchange goes first.
        await self.transfer.take_pace(digests.chunk_bytes)
        data = await origin.piece(digests.model, digests.version, number)
        return await self._store.put(digests.digests[number], data)

    async def take_staged(
        self, beside: backing.Beside, digests: backing.Digests
    ) -> int:
        """Keeps the staged pieces that are of a version; returns how many."""
        found = 0
        for number in sorted(await beside.staged()):
            if number >= len(digests.digests):
                continue
            data = await beside.read_staged(number)
            if data is not None and await self._store.put(
                digests.digests[number], data
            ):
                found += 1
        return found

    async def stage(
        self, beside: backing.Beside, digests: backing.Digests
    ) -> bool:
        """Puts every piece beside and reads it back; False when one is gone.

        What lies staged may rot, or be of an older version, and the server
        does not check it: a load would then make tokens with spoilt layers.
        So every piece is compared with its digest right before the order.
        """
        # As a rule nothing lies there yet. Asked for one by one, what is not
        # there took a third of all calls between the last piece and the order.
        there = await beside.staged()
        for number, digest in enumerate(digests.digests):
            lying = None
            if number in there:
                lying = await beside.read_staged(number)
            if lying is not None and digest_of(lying) == digest:
                continue
            data = await self._store.get(digest)
            if data is None:
                self.transfer.recheck()
                return False
            await beside.stage(number, data)
            lying = await beside.read_staged(number)
            if lying is None or digest_of(lying) != digest:
                self._log.write(_events.STAGED_SPOILT, piece=number)
                return False
        # A server that started again meanwhile has lost what was compared.
        return set(range(len(digests.digests))) <= await beside.staged()


def _limits(link_bytes_per_s: float) -> swarm.Limits:
    """Returns the exchange's limits for a few agents and a short deadline.

    A version must serve within seconds of its declaration, so stalls are
    given up after one and the next drawer steps in as soon.
    """
    return swarm.Limits(
        outstanding=4,
        upload_slots=4,
        asks_a_peer=_ASKS_A_PEER,
        formers=_VERSIONS_KEPT - 1,
        local_neighbours=_LOCAL_NEIGHBOURS,
        remote_neighbours=4,
        draws=1,
        draw_deadline_s=0.8,
        origin_bytes_per_s=_ORIGIN_LINKS * link_bytes_per_s,
        cut_off_s=3.0,
        settle_s=0.15,
        link_bytes_per_s=link_bytes_per_s,
        stall_floor_s=1.2,
        aside_s=3.0,
        cross_copies=_HELPED_COPIES,
        advert_s=_ADVERT_S,
        far_advert_s=_FAR_ADVERT_S,
    )
