"""Processes of a scene that follow the settings, and how they reach others."""

import asyncio
import dataclasses

from clementinegw import exceptions
from clementinegw.matrix import hosts
from clementinegw.matrix import world as worlds
from clementinegw.settings import follower as follower_lib
from clementinegw.wire.gen.settings import ttypes

_ROUND_TRIP_S = 0.002


@dataclasses.dataclass(slots=True)
class Process:
    """One process that follows the settings.

    Attributes:
      host: Its process.
      log: Its client of the platform's log.
      follower: The real follower, once it has started.
      revisions: Every revision that came into force in this process.
      pulls: How often it asked a peer.
    """

    host: hosts.Host
    log: worlds.HookedLog
    follower: follower_lib.Follower | None = None
    revisions: list[int] = dataclasses.field(default_factory=list)
    pulls: int = 0


class Peers:
    """The other processes of a scene; an `exchange.Peers`."""

    def __init__(
        self,
        world: worlds.World,
        processes: list[Process],
        process: Process,
    ):
        """Sees the others of a scene.

        Args:
          world: Knows who can talk to whom.
          processes: All of them; some may be added later.
          process: The one that asks.
        """
        self._world = world
        self._processes = processes
        self._process = process

    def domain(self) -> list[str]:
        """Returns the failure domain's members."""
        mine = self._process.host.place
        return [p.host.name for p in self._processes if p.host.place == mine]

    def others(self) -> list[str]:
        """Returns the members that can be reached."""
        return [p.host.name for p in self._reachable()]

    def newest_revision(self) -> int:
        """Returns the newest revision of a reachable member."""
        followers = [p.follower for p in self._reachable()]
        return max((f.revision for f in followers if f), default=0)

    def ahead_of(self, revision: int) -> list[str]:
        """Returns the reachable members with a newer revision."""
        return [
            p.host.name
            for p in self._reachable()
            if p.follower is not None and p.follower.revision > revision
        ]

    async def pull(
        self, peer: str, request: ttypes.SettingsPull, timeout_s: float
    ) -> ttypes.SettingsState:
        """Asks a peer."""
        [other] = [p for p in self._processes if p.host.name == peer]
        if other.follower is None or other.host.dead:
            raise exceptions.ConnectionLost(peer)
        self._process.pulls += 1
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(_ROUND_TRIP_S)
            if not reaches(self._world, self._process, other):
                await asyncio.sleep(timeout_s)
            return await self._world.start(
                other.host, other.follower.answer(request)
            )

    def _reachable(self) -> list[Process]:
        return [
            p
            for p in self._processes
            if p is not self._process and reaches(self._world, self._process, p)
        ]


def reaches(world: worlds.World, process: Process, other: Process) -> bool:
    """Whether two live processes can talk."""
    if not (process.host.up and other.host.up):
        return False
    return world.network.reachable(process.host, other.host)
