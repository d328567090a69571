"""Services that both daemons use: connections, settings and membership."""

import asyncio
import dataclasses
import random

import aiohttp
import mode

from clementinegw import clock as clock_lib
from clementinegw import exceptions
from clementinegw import types
from clementinegw.daemons import keys as keys_lib
from clementinegw.daemons import settings_peers
from clementinegw.daemons import tls as tls_lib
from clementinegw.membership import service as membership_lib
from clementinegw.membership import view as views
from clementinegw.platform import instances as instances_lib
from clementinegw.platform import log as log_lib
from clementinegw.settings import follower as follower_lib
from clementinegw.settings import model as model_lib
from clementinegw.settings import tree as tree_lib
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import auth
from clementinegw.wire import connection as connection_lib

# Used without a key file, in tests and in demos on one machine.
_DEFAULT_KEY = b"no key file was given"
_MS_PER_S = 1000
_ANNOUNCE_RETRY_S = 2.0
_MAX_BIND_ATTEMPTS = 20


class Core(mode.Service):
    """The services that an entry and an agent have in common.

    Attributes:
      file: The instance file of this process.
      clock: The source of time.
      rng: The source of random numbers.
      event_log: Writes numbered events.
      counters: The metrics of this process.
      session: The HTTP session for the platform.
      endpoint: Connections to peers.
      log_client: The client of the platform's log.
      membership: The other processes.
      follower: Follows the settings.
    """

    def __init__(
        self,
        file: model_lib.InstanceFile,
        clock: clock_lib.Clock | None = None,
        rng: random.Random | None = None,
    ):
        """Reads the key and TLS files; `start` opens the sockets.

        Args:
          file: The validated instance file.
          clock: The source of time; the system clock by default.
          rng: The source of random numbers; newly seeded by default.

        Raises:
          exceptions.SettingsError: The key file or a TLS file is invalid.
        """
        super().__init__()
        self.file = file
        self.clock = clock or clock_lib.SystemClock()
        self.rng = rng or random.Random()
        self.event_log = logs.Log(
            instance=file.instance_id, role=file.role.value
        )
        self.counters = counters_lib.Counters(
            file.statsd, f"clementinegw.{file.role.value}"
        )
        self._key_ring = _load_key_ring(file)
        self._incarnation = int(self.clock.wall() * _MS_PER_S)
        identity = connection_lib.Identity(
            file.instance_id, file.role, file.to_place(), self._incarnation
        )
        self.endpoint = connection_lib.Endpoint(
            identity,
            self._key_ring,
            self.event_log,
            self.counters,
            tls=None if file.tls is None else tls_lib.make_contexts(file.tls),
        )
        self.session: aiohttp.ClientSession
        self.log_client: log_lib.HttpLog
        self.membership: membership_lib.Membership
        self.follower: follower_lib.Follower
        self._instance_list: instances_lib.HttpInstanceList
        self._leaving = False

    @property
    def place(self) -> types.Place:
        """The region and failure domain of this process."""
        return self.file.to_place()

    @property
    def instance(self) -> types.Instance:
        """The identity that peers see; available after the start."""
        return self.membership.instance

    @property
    def leaving(self) -> bool:
        """Whether this process is leaving."""
        return self._leaving

    def effective_settings(self, service: str = "") -> tree_lib.Effective:
        """Returns the settings in effect here; defaults before any are known.

        Args:
          service: The service whose settings apply; empty for none.
        """
        state = self.follower.current
        tree = model_lib.Tree() if state is None else state.tree
        return tree_lib.resolve(tree, self.place, service)

    async def on_start(self) -> None:
        """Opens the sockets, joins the membership and follows the settings."""
        self.session = aiohttp.ClientSession()
        platform = self.file.platform
        self.log_client = log_lib.HttpLog(
            platform.log,
            self.session,
            counters=self.counters,
            log=self.event_log,
        )
        self._instance_list = instances_lib.HttpInstanceList(
            platform.instances,
            self.session,
            counters=self.counters,
            log=self.event_log,
        )
        await self._bind()
        self.follower = self._make_follower()
        self.follower.subscribe(self._on_settings)
        await self.add_runtime_dependency(self.follower)
        self.membership.subscribe(self._on_member)
        self.add_future(self._announce(instances_lib.State.LIVE))

    async def leave(self) -> None:
        """Announces that this process leaves.

        The daemon itself refuses new requests.
        """
        self._leaving = True
        self.membership.set_self(state=views.MemberState.LEAVING)
        try:
            await self._instance_list.announce(
                self.instance, instances_lib.State.LEAVING
            )
        except exceptions.PlatformError:
            # Membership has informed the peers; the list only lets the
            # balancer react sooner.
            self.counters.add("daemon.leave_not_announced")

    async def on_shutdown(self) -> None:
        """Closes what `on_start` opened, after the child services stopped."""
        await self.membership.leave()
        await self.membership.stop()
        await self.endpoint.close()
        await self.session.close()

    async def _bind(self) -> None:
        """Binds the same port number for TCP and UDP."""
        requested = self.file.listen.peer
        for is_last_attempt in (*(False,) * (_MAX_BIND_ATTEMPTS - 1), True):
            address = await self.endpoint.listen(requested)
            self.membership = self._make_membership(address)
            try:
                await self.membership.start()
                return
            except exceptions.SettingsError:
                # The kernel chose a TCP port whose number is in use for UDP.
                # Only a port chosen by the kernel can be replaced.
                await self.endpoint.stop_listening()
                if requested.port or is_last_attempt:
                    raise

    def _make_membership(
        self, address: types.Address
    ) -> membership_lib.Membership:
        service = self.file.backend.service if self.file.backend else ""
        instance = types.Instance(
            self.file.instance_id,
            self.file.role,
            self.place,
            address,
            self._incarnation,
            service,
        )
        return membership_lib.Membership(
            instance,
            self._key_ring,
            seeds=tuple(views.Seed(seed) for seed in self.file.seeds),
            source=_InstanceListSeeds(self._instance_list),
            rng=self.rng,
            clock=self.clock,
            log=self.event_log,
            counters=self.counters,
        )

    def _make_follower(self) -> follower_lib.Follower:
        peers = settings_peers.SettingsPeers(self.endpoint, self.membership)
        follower = follower_lib.Follower(
            self.log_client,
            self.file.instance_id,
            peers,
            clock=self.clock,
            rng=self.rng,
            counters=self.counters,
            log=self.event_log,
        )
        settings_peers.register_pull_handler(self.endpoint, follower)
        return follower

    def _on_settings(self, state: follower_lib.State) -> None:
        self.membership.set_self(settings_revision=state.revision)
        security = tree_lib.resolve(state.tree, self.place).security
        ring = keys_lib.select_keys(
            self._key_ring, security.key_id, security.accepted_key_ids
        )
        self.endpoint.set_keys(ring)
        self.membership.set_keys(ring)

    def _on_member(self, member: views.MemberView) -> None:
        self.follower.receive_revision(member.settings_revision)

    async def _announce(self, state: instances_lib.State) -> None:
        while not self.should_stop:
            try:
                await self._instance_list.announce(self.instance, state)
                return
            except exceptions.PlatformError:
                self.counters.add("daemon.announce_retry")
                await asyncio.sleep(_ANNOUNCE_RETRY_S)


@dataclasses.dataclass(frozen=True, slots=True)
class _InstanceListSeeds:
    """Membership seeds from the platform's instance list, which lags behind."""

    source: instances_lib.InstanceList

    async def seeds(self) -> list[views.Seed]:
        """Returns the listed instances as seeds."""
        listed = await self.source.fetch()
        return [
            views.Seed(one.instance.address, one.instance.place.failure_domain)
            for one in listed
        ]


def _load_key_ring(file: model_lib.InstanceFile) -> auth.KeyRing:
    if file.key_file is None:
        return auth.single_key_ring(_DEFAULT_KEY)
    return keys_lib.load(file.key_file)
