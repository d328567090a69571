"""Network and gossip between the members of `bench settings`."""

import asyncio
import dataclasses
import random

from clementinegw import exceptions
from clementinegw import types
from clementinegw.settings import follower as follower_lib
from clementinegw.wire import auth
from clementinegw.wire import codec
from clementinegw.wire import connection
from clementinegw.wire.gen.settings import ttypes

Kind = connection.Kind

# One-way delays inside a failure domain and between two, from the larger of the
# users' deployments.
SAME_DOMAIN_DELAY_S = 0.0005
CROSS_DOMAIN_DELAY_S = 0.003
# Assumed time for gossip to spread a revision within a domain or to the others;
# the membership bench measures it.
GOSSIP_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class Member:
    """One process that follows the settings.

    Attributes:
      name: Its instance id.
      domain: Its failure domain.
      follower: Its follower; None while the process is down.
      endpoint: Its endpoint; None in virtual time.
      address: The address of its endpoint; None in virtual time.
      remote: Whether it runs in another operating system process.
    """

    name: str
    domain: str
    follower: follower_lib.Follower | None = None
    endpoint: connection.Endpoint | None = None
    address: types.Address | None = None
    remote: bool = False


class Network:
    """The members, their partitions and the revisions spread by gossip."""

    def __init__(self) -> None:
        """Creates a network without members."""
        self.members: dict[str, Member] = {}
        self.cut: set[str] = set()
        self._gossiped: dict[str, int] = {}
        self._names: dict[str, list[str]] = {}

    def add(self, member: Member) -> None:
        """Adds a member."""
        self.members[member.name] = member
        self._names.setdefault(member.domain, []).append(member.name)

    def names(self, domain: str) -> list[str]:
        """Returns the names of the members of a failure domain."""
        return self._names[domain]

    def reachable(self, one: str, other: str) -> bool:
        """Returns whether two failure domains can reach each other."""
        return one == other or not self.cut & {one, other}

    def gossiped_revision(self, domain: str) -> int:
        """Returns the largest revision that a domain received by gossip."""
        return self._gossiped.get(domain, 0)

    def revision(self, name: str) -> int:
        """Returns the revision of a member, or 0 while it is down."""
        follower = self.members[name].follower
        return follower.revision if follower else 0

    async def gossip(self) -> None:
        """Spreads revisions until it is cancelled."""
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_S)
            own = {
                domain: max((self.revision(n) for n in names), default=0)
                for domain, names in self._names.items()
            }
            before = dict(self._gossiped)
            for domain in self._names:
                known = [own[domain], before.get(domain, 0)]
                known += [
                    before.get(other, 0)
                    for other in self._names
                    if self.reachable(domain, other)
                ]
                self._gossiped[domain] = max(known)


class Link:
    """An implementation of `exchange.Peers` for one member."""

    def __init__(self, network: Network, member: Member):
        """Creates the link of a member to the others in a network."""
        self._network = network
        self._member = member

    def domain(self) -> list[str]:
        """Returns the names of the members of the same failure domain."""
        return self._network.names(self._member.domain)

    def others(self) -> list[str]:
        """Returns the names of the other members that can be reached."""
        own = self._member
        return [
            name
            for name, member in self._network.members.items()
            if name != own.name
            and self._network.reachable(member.domain, own.domain)
        ]

    def newest_revision(self) -> int:
        """Returns the largest revision received by gossip."""
        return self._network.gossiped_revision(self._member.domain)

    def ahead_of(self, revision: int) -> list[str]:
        """Returns the reachable members with a larger revision.

        The list is empty unless gossip reported a larger revision.
        """
        if self.newest_revision() <= revision:
            return []
        network = self._network
        return [n for n in self.others() if network.revision(n) > revision]

    async def pull(
        self, peer: str, request: ttypes.SettingsPull, timeout_s: float
    ) -> ttypes.SettingsState:
        """Requests settings from a peer; see `exchange.Peers`."""
        other = self._network.members[peer]
        async with asyncio.timeout(timeout_s):
            if not self._network.reachable(self._member.domain, other.domain):
                # During a partition, connections hang and are not refused.
                await asyncio.sleep(timeout_s)
            if other.follower is None and not other.remote:
                raise exceptions.ConnectionLost(f"{peer} is down")
            return await self._call(other, request, timeout_s)

    async def _call(
        self, other: Member, request: ttypes.SettingsPull, timeout_s: float
    ) -> ttypes.SettingsState:
        raise NotImplementedError


class VirtualLink(Link):
    """Calls a member in virtual time, with the delay of the network."""

    async def _call(
        self, other: Member, request: ttypes.SettingsPull, timeout_s: float
    ) -> ttypes.SettingsState:
        del timeout_s
        near = other.domain == self._member.domain
        delay = SAME_DOMAIN_DELAY_S if near else CROSS_DOMAIN_DELAY_S
        await asyncio.sleep(delay)
        assert other.follower is not None
        state = await other.follower.answer(request)
        await asyncio.sleep(delay)
        if not self._network.reachable(self._member.domain, other.domain):
            raise exceptions.ConnectionLost(f"{other.name} is partitioned")
        return state


class TcpLink(Link):
    """Calls a member over TCP, as the daemons do."""

    async def _call(
        self, other: Member, request: ttypes.SettingsPull, timeout_s: float
    ) -> ttypes.SettingsState:
        endpoint = self._member.endpoint
        assert endpoint is not None
        assert other.address is not None
        conn = await endpoint.connect(other.address)
        frame = await connection.call(
            conn, Kind.SETTINGS_PULL, codec.encode(request), timeout_s
        )
        return codec.decode(ttypes.SettingsState, frame.body)


async def listen(member: Member, rng: random.Random) -> None:
    """Starts the endpoint of a member, which answers pulls of its peers."""
    identity = connection.Identity(
        member.name,
        types.Role.AGENT,
        types.Place("bench", member.domain),
        rng.randrange(1, 1 << 30),
    )
    endpoint = connection.Endpoint(identity, auth.single_key_ring(b"bench" * 8))

    async def on_pull(
        conn: connection.Connection,
        exchange: connection.Exchange,
        frame: connection.Frame,
    ) -> None:
        """Answers a peer that pulls settings."""
        del conn
        if member.follower is None:
            return
        pull = codec.decode(ttypes.SettingsPull, frame.body)
        state = await member.follower.answer(pull)
        await exchange.send(Kind.SETTINGS_STATE, codec.encode(state))

    endpoint.on_call(Kind.SETTINGS_PULL, on_pull)
    member.address = await endpoint.listen(types.Address("127.0.0.1", 0))
    member.endpoint = endpoint
