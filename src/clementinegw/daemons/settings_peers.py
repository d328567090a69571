"""Exchanges settings with peers over the endpoint."""

import asyncio

from clementinegw import exceptions
from clementinegw.membership import service as membership_lib
from clementinegw.membership import view as views
from clementinegw.settings import follower as follower_lib
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.settings import ttypes

Kind = connection_lib.Kind

# Lower than any revision that a member reports.
_BELOW_ANY_REVISION = -1
_LIVE_STATES = frozenset({views.MemberState.ALIVE, views.MemberState.LEAVING})


class SettingsPeers:
    """Implements `settings.exchange.Peers` for the settings' follower."""

    def __init__(
        self,
        endpoint: connection_lib.Endpoint,
        membership: membership_lib.Membership,
    ):
        """Initializes the peers.

        Args:
          endpoint: Connects to peers.
          membership: Provides the members and their settings revisions.
        """
        self._endpoint = endpoint
        self._membership = membership

    def domain(self) -> list[str]:
        """Returns the live members of the failure domain, including itself."""
        me = self._membership.instance
        names = {
            member.instance.instance_id
            for member in self._membership.members()
            if member.state in _LIVE_STATES
            and member.instance.place.failure_domain == me.place.failure_domain
        }
        return sorted(names | {me.instance_id})

    def others(self) -> list[str]:
        """Returns the live members of all failure domains, without itself."""
        return self.ahead_of(_BELOW_ANY_REVISION)

    def newest_revision(self) -> int:
        """Returns the newest revision that a live member reported."""
        return self._membership.newest_settings_revision

    def ahead_of(self, revision: int) -> list[str]:
        """Returns the live members that reported a newer revision."""
        me = self._membership.instance.instance_id
        return sorted(
            member.instance.instance_id
            for member in self._membership.members()
            if member.instance.instance_id != me
            and member.state in _LIVE_STATES
            and member.settings_revision > revision
        )

    async def pull(
        self, peer: str, request: ttypes.SettingsPull, timeout_s: float
    ) -> ttypes.SettingsState:
        """Requests settings from a peer; see `settings.exchange.Peers`."""
        async with asyncio.timeout(timeout_s):
            connection = await self._endpoint.connect(self._address(peer))
            frame = await connection_lib.call(
                connection,
                Kind.SETTINGS_PULL,
                codec.encode(request),
                timeout_s,
            )
        if frame.kind is not Kind.SETTINGS_STATE:
            raise exceptions.DecodeError(f"{peer} answered {frame.kind.name}")
        return codec.decode(ttypes.SettingsState, frame.body)

    def _address(self, peer: str):
        for member in self._membership.members():
            if member.instance.instance_id == peer:
                return member.instance.address
        raise exceptions.ConnectionLost(f"no member {peer}")


def register_pull_handler(
    endpoint: connection_lib.Endpoint, follower: follower_lib.Follower
) -> None:
    """Registers the handler of peers' requests for settings."""

    async def _on_pull(
        connection: connection_lib.Connection,
        exchange: connection_lib.Exchange,
        frame: connection_lib.Frame,
    ) -> None:
        del connection
        pull = codec.decode(ttypes.SettingsPull, frame.body)
        state = await follower.answer(pull)
        await exchange.send(Kind.SETTINGS_STATE, codec.encode(state))

    endpoint.on_call(Kind.SETTINGS_PULL, _on_pull)
