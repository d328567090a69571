"""Exchanges demands and their sums between entries; see `shares`."""

from clementinegw import clock as clock_lib
from clementinegw import exceptions
from clementinegw import types
from clementinegw.requests import shares as shares_lib
from clementinegw.telemetry import counters as counters_lib
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Kind = connection_lib.Kind


class UsageExchange:
    """Sends and receives USAGE_SHARE notices."""

    def __init__(
        self,
        shares: shares_lib.Shares,
        endpoint: connection_lib.Endpoint,
        clock: clock_lib.Clock,
        counters: counters_lib.Counters,
    ):
        """Registers for the notices.

        Args:
          shares: Provides the messages to send.
          endpoint: The connections of this entry.
          clock: The source of time.
          counters: Counts the failures.
        """
        self._shares = shares
        self._endpoint = endpoint
        self._clock = clock
        self._counters = counters
        self._addresses: dict[str, types.Address] = {}
        endpoint.on_notice(Kind.USAGE_SHARE, self._on_notice)

    def set_entries(self, entries: dict[str, types.Address]) -> None:
        """Sets the addresses of the live entries, by instance id."""
        self._addresses = entries
        self._shares.set_entries(entries)

    async def end_period(self) -> None:
        """Ends a period and sends this entry's demand to the owners."""
        for outgoing in self._shares.end_period(self._clock.now()):
            address = self._addresses.get(outgoing.receiver)
            if address is None:
                continue
            try:
                connection = await self._endpoint.connect(address)
            except exceptions.ConnectionLost:
                # Without sums from the owner, the share falls back to an equal
                # one.
                self._counters.add("requests.usage_unsent")
                continue
            self._send(connection, outgoing)

    def _send(
        self,
        connection: connection_lib.Connection,
        outgoing: shares_lib.UsageMessage,
    ) -> None:
        message = ttypes.UsageShare(
            instance_id=self._endpoint.identity.instance_id,
            sums=outgoing.sums,
            usages=[
                ttypes.Usage(
                    service_name=d.service,
                    customer=d.customer,
                    requests=d.requests,
                    tokens=d.tokens,
                )
                for d in outgoing.demands
            ],
        )
        connection.notify(Kind.USAGE_SHARE, codec.encode(message))

    def _on_notice(
        self, connection: connection_lib.Connection, body: bytes
    ) -> None:
        message = codec.decode(ttypes.UsageShare, body)
        demands = [
            shares_lib.CustomerDemand(
                u.service_name, u.customer, u.requests, u.tokens
            )
            for u in message.usages
        ]
        now = self._clock.now()
        if message.sums:
            self._shares.apply_sums(demands, now)
            return
        reply = self._shares.add_demands(
            connection.peer.instance_id, demands, now
        )
        self._send(connection, reply)
