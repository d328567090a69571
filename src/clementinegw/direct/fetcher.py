"""Fetches a version's chunks for the agent's server.

Chunks come from other agents and from the origin; `weights.transfer` runs the
exchange.
"""

import asyncio
from collections.abc import Callable
import random

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw import types
from clementinegw.direct import agent_interfaces
from clementinegw.direct import manifest_cache
from clementinegw.direct import origin_store
from clementinegw.direct import staging
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.weights import origin_fetchers
from clementinegw.weights import pacing as pacing_lib
from clementinegw.weights import store as stores
from clementinegw.weights import swarm
from clementinegw.weights import transfer
from clementinegw.wire import auth
from clementinegw.wire import connection as connections

# Versions whose chunks are kept in memory: the one served, the one being
# fetched, and one more that was declared meanwhile.
_VERSIONS_KEPT = 3
_MIN_STORE_BYTES = 8 << 20
# The share of the machine's link that chunks may use. The rest is for the local
# server's answers, new connections to it, and reports.
_LINK_SHARE = 0.87
# The size of one request for a part of a chunk, in bytes. On a small machine's
# link a streamed event waits for about two parts, well below the delay at which
# a stream counts as late.
_PART_BYTES = 8 << 10
# Concurrent requests to one agent. In a failure domain of two agents, only one
# peer has the last missing chunks; one request at a time would leave two fifths
# of the link idle during the round trips.
_REQUESTS_PER_PEER = 2
# Connections to agents of the same failure domain, enough for all of a dozen.
# An agent only knows what its neighbours hold, and would otherwise fetch chunks
# from other regions that an unconnected agent nearby holds.
_LOCAL_NEIGHBOURS = 16
# Requests to the origin are spread over time. While the origin's rate is
# unknown, its link is assumed to be this many times a machine's link; once the
# rate is known, requests are made at this many times that rate. The sooner all
# chunks have left the origin, the less is lost if it becomes unreachable, but
# requests beyond the link's rate all finish late and block new connections.
_DEFAULT_ORIGIN_LINKS = 3.0
_ORIGIN_RATE_FACTOR = 1.1
# The largest fleet in which every agent requests the manifest from the origin:
# less than half of the connections that an origin accepts.
_MAX_FLEET_ASKING_ORIGIN = 16
# In a larger fleet a few agents ask the origin, and the others ask these few at
# this interval and for at most this time, both in seconds. The answer takes two
# round trips and a few kilobytes.
_ASK_INTERVAL_S = 0.05
_ASK_TIMEOUT_S = 0.4
# All agents of a deployment are in the platform's private network. The key only
# rejects connections that other software opens by mistake.
_KEY = b"clementinegw agents of one platform"
# Copies of a version that may enter a failure domain in addition to the first
# one, fetched by agents that assist. Traffic between domains is paid for.
_CROSS_DOMAIN_COPIES = 0.4
# How often agents announce new chunks to each other, in seconds.
_ADVERT_INTERVAL_S = 0.1
# The same for agents of other failure domains that only assist in importing a
# chunk there, in seconds. They wait longer than that for the agent of their
# domain that is first in line.
_FAR_ADVERT_INTERVAL_S = 0.3
# Allows for one ping before a silent peer is dropped.
_TIMING = connections.Timing(
    connect_timeout_s=1.0, ping_after_s=1.0, idle_timeout_s=2.1
)


class Fetcher:
    """Fetches the chunks of the target version.

    Attributes:
      transfer: Exchanges chunks with other agents and the origin.
      stager: Stages fetched chunks at the agent's server.
      origin_bytes_per_s: The rate of the origin's link; an estimate until
        `set_origin_rate` is called.
    """

    def __init__(
        self,
        me: types.Instance,
        link_bytes_per_s: float,
        rng: random.Random,
        log: logs.Log,
        counters: counters_lib.Counters,
        clock: clocks.Clock,
        boot_clock: Callable[[], float],
    ):
        """Creates a fetcher; it accepts no connections before `listen`.

        Args:
          me: This agent.
          link_bytes_per_s: The capacity of the machine's link.
          rng: Breaks ties.
          log: Where events go.
          counters: Counts bytes, refusals and retries.
          clock: The source of time.
          boot_clock: Returns seconds that also count while the machine is
            suspended.
        """
        identity = connections.Identity(me.instance_id, me.role, me.place)
        self._me = me
        self._endpoint = connections.Endpoint(
            identity, auth.single_key_ring(_KEY), log, counters, _TIMING
        )
        self._clock = clock
        self._origin = origin_store.OriginStore(counters, clock)
        self._store = stores.MemoryStore(_MIN_STORE_BYTES, staging.digest_of)
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
        self.stager = staging.Stager(
            self._store, self.transfer.recheck, boot_clock, log
        )
        self.origin_bytes_per_s = _DEFAULT_ORIGIN_LINKS * link_bytes_per_s
        self._manifest: agent_interfaces.VersionManifest | None = None
        self._manifest_cache = manifest_cache.ManifestCache(
            self._endpoint, rng, counters
        )

    @property
    def manifest(self) -> agent_interfaces.VersionManifest | None:
        """The target version, complete or not; None before the first one."""
        return self._manifest

    @property
    def missing_fraction(self) -> float:
        """The fraction of the target's chunks that this agent lacks."""
        progress = self.transfer.progress
        if not progress.total:
            return 1.0
        return 1.0 - progress.held / progress.total

    @property
    def unspread_fraction(self) -> float:
        """The fraction that neither this agent nor a neighbour holds."""
        total = self.transfer.progress.total
        return self.transfer.unspread / total if total else 1.0

    @property
    def origin_failing_s(self) -> float:
        """How long requests to the origin have been failing, in seconds."""
        since = self._origin.failing_since
        return 0.0 if since is None else self._clock.now() - since

    @property
    def manifest_contradicted(self) -> bool:
        """Whether chunks from the origin show that the manifest is wrong."""
        return self._origin.contradicts_manifest

    async def fetch_manifest(
        self, origin: agent_interfaces.Origin, model: str, version: int
    ) -> agent_interfaces.VersionManifest:
        """Returns a version's manifest from the cache, an agent or the origin.

        Raises:
          exceptions.PlatformError: Neither the origin nor an agent answered.
        """
        cached = self._manifest_cache.get(model, version)
        if cached is not None:
            return cached
        manifest = await self._manifest_from_agents(model, version)
        if manifest is not None:
            return manifest
        try:
            manifest = await origin.manifest(model, version)
        except exceptions.PlatformError:
            from_agent = await self._manifest_cache.fetch(model, version)
            if from_agent is None:
                raise
            manifest = from_agent
        self._add_manifest(manifest, model, version)
        return manifest

    async def renew_manifest(
        self, origin: agent_interfaces.Origin, model: str, version: int
    ) -> agent_interfaces.VersionManifest | None:
        """Requests the target's manifest once more, and caches the answer.

        Agents that have evidence ask the origin, and so do a few others. The
        rest ask these few.

        Returns:
          The manifest; None if no agent answered.

        Raises:
          exceptions.PlatformError: The origin did not answer.
        """
        askers = self._ranked_askers(model, version)
        if self.manifest_contradicted or self._me.instance_id in askers:
            # If the answer is the same, chunks have to contradict it anew.
            self._origin.forget_mismatches()
            manifest = await origin.manifest(model, version)
        else:
            from_agent = await self._manifest_cache.fetch(
                model, version, askers
            )
            if from_agent is None:
                return None
            manifest = from_agent
        self._add_manifest(manifest, model, version)
        return manifest

    def _add_manifest(
        self,
        manifest: agent_interfaces.VersionManifest,
        model: str,
        version: int,
    ) -> None:
        if manifest.version != version or not manifest.digests:
            raise exceptions.PlatformUnavailable(
                f"manifest of {model} is empty or not of version {version}"
            )
        self._manifest_cache.add(manifest)

    async def _manifest_from_agents(
        self, model: str, version: int
    ) -> agent_interfaces.VersionManifest | None:
        """Returns the manifest from the agents that ask the origin.

        Returns None if this agent is one of them or none answers in time.
        """
        askers = self._agents_asking_origin(model, version)
        if not askers or self._me.instance_id in askers:
            return None
        deadline = self._clock.now() + _ASK_TIMEOUT_S
        while self._clock.now() < deadline:
            manifest = await self._manifest_cache.fetch(model, version, askers)
            if manifest is not None:
                self._manifest_cache.add(manifest)
                return manifest
            await asyncio.sleep(_ASK_INTERVAL_S)
        return None

    def _agents_asking_origin(
        self, model: str, version: int
    ) -> tuple[str, ...]:
        """Returns the agents that ask the origin; empty if all of them do."""
        if len(self.transfer.fleet) <= _MAX_FLEET_ASKING_ORIGIN:
            return ()
        return self._ranked_askers(model, version)

    def _ranked_askers(self, model: str, version: int) -> tuple[str, ...]:
        """Returns the few agents that a large fleet's manifests come from."""
        name = f"{model}/{version}".encode()
        return self.transfer.fleet.ranked(
            name, origin_fetchers.DrawPolicy.FLEET, ""
        )

    def holds_all(self, manifest: agent_interfaces.VersionManifest) -> bool:
        """Returns whether this agent holds every chunk of a version."""
        return all(self._store.holds(digest) for digest in manifest.digests)

    async def listen(self) -> None:
        """Starts to accept connections from other agents."""
        await self._endpoint.listen(self._me.address)

    async def close(self) -> None:
        """Closes all connections."""
        await self._endpoint.close()

    def set_origin_rate(self, bytes_per_s: float) -> None:
        """Sets the rate of the origin's link; ignored if it is 0, unknown."""
        if bytes_per_s > 0:
            self.origin_bytes_per_s = bytes_per_s
            self.transfer.set_origin_rate(_ORIGIN_RATE_FACTOR * bytes_per_s)

    def set_fleet(self, others: list[types.Instance]) -> None:
        """Sets the other agents of the deployment."""
        self.transfer.set_fleet(others)

    def set_target(
        self,
        origin: agent_interfaces.Origin,
        manifest: agent_interfaces.VersionManifest,
        is_new: bool = False,
    ) -> None:
        """Starts to fetch a version and abandons the former target.

        Args:
          origin: The origin of its chunks.
          manifest: The version's manifest.
          is_new: Whether it has just been declared, so that no agent has any
            chunk.
        """
        if manifest == self._manifest:
            return
        self._manifest = manifest
        self._origin.failing_since = None
        self._origin.set_manifest(origin, manifest)
        self.transfer.set_target(
            manifest_cache.to_swarm_manifest(manifest), is_new
        )

    def assigned_chunks(
        self, manifest: agent_interfaces.VersionManifest
    ) -> list[int]:
        """Returns the missing chunks that this agent fetches first of all."""
        assigned = self.transfer.assigned_chunks(
            manifest_cache.to_swarm_manifest(manifest)
        )
        return [
            n for n in assigned if not self._store.holds(manifest.digests[n])
        ]

    async def fetch_from_origin(
        self,
        origin: agent_interfaces.Origin,
        manifest: agent_interfaces.VersionManifest,
        number: int,
    ) -> bool:
        """Fetches one chunk outside the exchange; returns whether it was kept.

        Raises:
          exceptions.PlatformError: The origin did not return the whole chunk.
        """
        # Lowest priority: traffic of the exchange uses the link first.
        await self.transfer.wait_for_bandwidth(manifest.chunk_bytes)
        data = await origin.chunk(manifest.model, manifest.version, number)
        return await self._store.put(manifest.digests[number], data)


def _swarm_limits(link_bytes_per_s: float) -> swarm.Limits:
    """Returns limits of the exchange for few agents and a short deadline.

    A version must serve within seconds of its declaration, so a stalled
    request is given up after about a second, and the agent that is next in line
    for a chunk requests it from the origin just as soon.
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
        origin_bytes_per_s=_DEFAULT_ORIGIN_LINKS * link_bytes_per_s,
        cut_off_s=3.0,
        settle_s=0.15,
        link_bytes_per_s=link_bytes_per_s,
        stall_floor_s=1.2,
        aside_s=3.0,
        cross_copies=_CROSS_DOMAIN_COPIES,
        advert_s=_ADVERT_INTERVAL_S,
        far_advert_s=_FAR_ADVERT_INTERVAL_S,
    )
