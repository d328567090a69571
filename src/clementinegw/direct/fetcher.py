"""Brings a version's pieces to an agent and to the server beside it."""

import asyncio
import hashlib
import random

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import _events
from clementinegw.direct import agent_interfaces
from clementinegw.direct import manifest_cache
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
_MIN_STORE_BYTES = 8 << 20
# The part of the machine's link that pieces may take; the rest is for the live
# answers of the server beside, for new connections to it, and for reports.
_LINK_SHARE = 0.87
# What is asked for at once: at a small machine's link a live event waits for
# about two of them, well under what makes a stream late. Bytes.
_PART_BYTES = 8 << 10
# Pieces asked of one agent at once. In a failure domain of two, all that is
# left near the end lies with one other; asked one by one, the turnaround of
# each leaves two fifths of the link idle.
_REQUESTS_PER_PEER = 2
# Agents of the own failure domain that each is connected to: all of a dozen.
# An agent sees only what its neighbours hold, and takes from other regions what
# is near but out of its sight.
_LOCAL_NEIGHBOURS = 16
# Draws are spread as if the origin's link were this many of a machine's while
# its rate is not known, and then by this many times that rate. The sooner all
# pieces are out, the less an origin that is cut off can hold back; but those
# asked for sooner than its link carries them all come late, and new connections
# do not come up behind them.
_UNKNOWN_ORIGIN_LINKS = 3.0
_ORIGIN_RATE_FACTOR = 1.1
# Up to so many agents each ask the origin what a version consists of: less than
# half of the connections that an origin takes.
_MAX_FLEET_ASKING_ORIGIN = 16
# In a larger fleet the others ask those who do so first, so often and for so
# long: the answer is there after two trips, and some kilobytes. Seconds.
_ASK_INTERVAL_S = 0.05
_ASK_TIMEOUT_S = 0.4
# All agents of a deployment stand in the platform's own network; the key only
# keeps a stray connection of something else out.
_KEY = b"clementinegw agents of one platform"
# Copies that may enter a failure domain besides the first one, by agents that
# help out: bytes between places are paid for.
_CROSS_DOMAIN_COPIES = 0.4
# How often agents tell each other of new pieces, in seconds.
_ADVERT_INTERVAL_S = 0.1
# How often agents elsewhere are told that only help a chunk into their failure
# domain, in seconds: they wait for the first of their own for longer than that.
_FAR_ADVERT_INTERVAL_S = 0.3
# A sign of life is asked for once before a peer is given up.
_TIMING = connections.Timing(
    connect_timeout_s=1.0, ping_after_s=1.0, idle_timeout_s=2.1
)


def digest_of(data: bytes) -> bytes:
    """Returns the SHA-256 digest that pieces are named by."""
    return hashlib.sha256(data).digest()


class _OriginBlobStore:
    """The origin as the exchange asks it: a piece by its digest."""

    def __init__(self, counters: counters_lib.Counters, clock: clocks.Clock):
        self.failing_since: float | None = None
        self._clock = clock
        self._counters = counters
        self._origin: agent_interfaces.Origin | None = None
        self._manifest: agent_interfaces.VersionManifest | None = None
        self._numbers: dict[str, int] = {}

    def set_manifest(
        self,
        origin: agent_interfaces.Origin,
        manifest: agent_interfaces.VersionManifest,
    ) -> None:
        """Says of which version pieces are asked for."""
        self._origin = origin
        self._manifest = manifest
        self._numbers = {
            manifests.chunk_blob(digest): number
            for number, digest in enumerate(manifest.digests)
        }

    async def get(
        self, name: str, offset: int = 0, length: int | None = None
    ) -> bytes:
        """See `platform.blobs.BlobStore`."""
        del offset, length
        number = self._numbers.get(name)
        if self._origin is None or self._manifest is None or number is None:
            raise exceptions.BlobMissing(f"origin: no {name}")
        self._counters.add("weights.origin.calls")
        try:
            data = await self._origin.piece(
                self._manifest.model, self._manifest.version, number
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


class Fetcher:
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
            identity, auth.single_key_ring(_KEY), log, counters, _TIMING
        )
        self._clock = clock
        self._origin = _OriginBlobStore(counters, clock)
        self._store = stores.MemoryStore(_MIN_STORE_BYTES, digest_of)
        self.transfer = transfer.Transfer(
            me,
            self._endpoint,
            self._store,
            self._origin,
            _swarm_limits(link_bytes_per_s),
            rng,
            pacing_lib.Pacing(link_bytes_per_s * _LINK_SHARE, clock),
            clock=clock,
            log=log,
            counters=counters,
            part_bytes=_PART_BYTES,
        )
        self.origin_bytes_per_s = _UNKNOWN_ORIGIN_LINKS * link_bytes_per_s
        self._manifest: agent_interfaces.VersionManifest | None = None
        self._manifest_cache = manifest_cache.ManifestCache(
            self._endpoint, rng, counters
        )

    @property
    def manifest(self) -> agent_interfaces.VersionManifest | None:
        """The version that is being brought, or is here."""
        return self._manifest

    @property
    def missing_fraction(self) -> float:
        """The part of that version's pieces that is missing."""
        progress = self.transfer.progress
        if not progress.total:
            return 1.0
        return 1.0 - progress.held / progress.total

    @property
    def unspread_fraction(self) -> float:
        """The part of its pieces that no agent in sight holds."""
        total = self.transfer.progress.total
        return self.transfer.unspread / total if total else 1.0

    @property
    def origin_failing_s(self) -> float:
        """How long the origin has given no piece to this agent, in seconds."""
        since = self._origin.failing_since
        return 0.0 if since is None else self._clock.now() - since

    async def fetch_manifest(
        self, origin: agent_interfaces.Origin, model: str, version: int
    ) -> agent_interfaces.VersionManifest:
        """Returns what a version consists of, by the origin or other agents.

        Raises:
          exceptions.PlatformError: Nobody told.
        """
        known = self._manifest_cache.get(model, version)
        if known is not None:
            return known
        found = await self._manifest_from_agents(model, version)
        if found is not None:
            return found
        try:
            found = await origin.manifest(model, version)
        except exceptions.PlatformError:
            told = await self._manifest_cache.fetch(model, version)
            if told is None:
                raise
            found = told
        if found.version != version or not found.digests:
            raise exceptions.PlatformUnavailable("another manifest")
        self._manifest_cache.add(found)
        return found

    async def _manifest_from_agents(
        self, model: str, version: int
    ) -> agent_interfaces.VersionManifest | None:
        """Returns a version as those know it that ask the origin first.

        None where this agent is one of them, or none has told soon.
        """
        first = self._agents_asking_origin(model, version)
        if not first or self._me.instance_id in first:
            return None
        until = self._clock.now() + _ASK_TIMEOUT_S
        while self._clock.now() < until:
            told = await self._manifest_cache.fetch(model, version, first)
            if told is not None:
                self._manifest_cache.add(told)
                return told
            await asyncio.sleep(_ASK_INTERVAL_S)
        return None

    def _agents_asking_origin(
        self, model: str, version: int
    ) -> tuple[str, ...]:
        """Returns who asks the origin; nobody in a fleet where all do."""
        fleet = self.transfer.fleet
        if len(fleet) <= _MAX_FLEET_ASKING_ORIGIN:
            return ()
        name = f"{model}/{version}".encode()
        return fleet.ranked(name, drawers.DrawPolicy.FLEET, "")

    def holds_all(self, manifest: agent_interfaces.VersionManifest) -> bool:
        """Returns whether every piece of a version is here."""
        return all(self._store.holds(digest) for digest in manifest.digests)

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
            self.transfer.set_origin_rate(_ORIGIN_RATE_FACTOR * bytes_per_s)

    def set_fleet(self, others: list[types.Instance]) -> None:
        """Says which other agents there are."""
        self.transfer.set_fleet(others)

    def set_target(
        self,
        origin: agent_interfaces.Origin,
        manifest: agent_interfaces.VersionManifest,
        is_new: bool = False,
    ) -> None:
        """Brings a version; one that was wanted before is abandoned.

        Args:
          origin: Where its pieces are drawn.
          manifest: What it consists of.
          is_new: Whether it was declared only now: nobody has any piece.
        """
        if manifest == self._manifest:
            return
        self._manifest = manifest
        self._origin.failing_since = None
        self._origin.set_manifest(origin, manifest)
        self.transfer.set_target(
            manifest_cache.to_swarm_manifest(manifest), is_new
        )

    def assigned_pieces(
        self, manifest: agent_interfaces.VersionManifest
    ) -> list[int]:
        """Returns the pieces that this agent draws first, and does not hold."""
        firsts = self.transfer.first_draws(
            manifest_cache.to_swarm_manifest(manifest)
        )
        return [n for n in firsts if not self._store.holds(manifest.digests[n])]

    async def fetch_from_origin(
        self,
        origin: agent_interfaces.Origin,
        manifest: agent_interfaces.VersionManifest,
        number: int,
    ) -> bool:
        """Draws one piece outside the exchange; returns whether it is kept.

        Raises:
          exceptions.PlatformError: The origin gave no whole piece.
        """
        # Last in the order: what the link carries for the exchange goes first.
        await self.transfer.take_pace(manifest.chunk_bytes)
        data = await origin.piece(manifest.model, manifest.version, number)
        return await self._store.put(manifest.digests[number], data)

    async def restore_staged(
        self,
        local_server: agent_interfaces.LocalServer,
        manifest: agent_interfaces.VersionManifest,
    ) -> int:
        """Keeps the staged pieces that are of a version; returns how many."""
        found = 0
        for number in sorted(await local_server.staged()):
            if number >= len(manifest.digests):
                continue
            data = await local_server.read_staged(number)
            if data is not None and await self._store.put(
                manifest.digests[number], data
            ):
                found += 1
        return found

    async def stage(
        self,
        local_server: agent_interfaces.LocalServer,
        manifest: agent_interfaces.VersionManifest,
    ) -> bool:
        """Puts every piece beside and reads it back; False when one is gone.

        What lies staged may rot, or be of an older version, and the server
        does not check it: a load would then make tokens with spoilt layers.
        So every piece is compared with its digest right before the order.
        """
        # As a rule nothing lies there yet. Asked for one by one, what is not
        # there took a third of all calls between the last piece and the order.
        there = await local_server.staged()
        for number, digest in enumerate(manifest.digests):
            existing = None
            if number in there:
                existing = await local_server.read_staged(number)
            if existing is not None and digest_of(existing) == digest:
                continue
            data = await self._store.get(digest)
            if data is None:
                self.transfer.recheck()
                return False
            await local_server.stage(number, data)
            existing = await local_server.read_staged(number)
            if existing is None or digest_of(existing) != digest:
                self._log.write(_events.STAGED_SPOILT, piece=number)
                return False
        # A server that started again meanwhile has lost what was compared.
        return set(range(len(manifest.digests))) <= await local_server.staged()


def _swarm_limits(link_bytes_per_s: float) -> swarm.Limits:
    """Returns the exchange's limits for a few agents and a short deadline.

    A version must serve within seconds of its declaration, so stalls are
    given up after one and the next drawer steps in as soon.
    """
    return swarm.Limits(
        outstanding=4,
        upload_slots=4,
        asks_a_peer=_REQUESTS_PER_PEER,
        formers=_VERSIONS_KEPT - 1,
        local_neighbours=_LOCAL_NEIGHBOURS,
        remote_neighbours=4,
        draws=1,
        draw_deadline_s=0.8,
        origin_bytes_per_s=_UNKNOWN_ORIGIN_LINKS * link_bytes_per_s,
        cut_off_s=3.0,
        settle_s=0.15,
        link_bytes_per_s=link_bytes_per_s,
        stall_floor_s=1.2,
        aside_s=3.0,
        cross_copies=_CROSS_DOMAIN_COPIES,
        advert_s=_ADVERT_INTERVAL_S,
        far_advert_s=_FAR_ADVERT_INTERVAL_S,
    )
