"""The entry's request part as one service: wiring and timers only."""

from collections.abc import Callable, Iterable
import random

import mode

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.requests import fleet as fleet_lib
from clementinegw.requests import limit
from clementinegw.requests import pipeline as pipeline_lib
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import send
from clementinegw.requests import shares
from clementinegw.requests import types as request_types
from clementinegw.requests import usage
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import connection as connection_lib

_REFRESH_INTERVAL_S = 0.5


class RequestService(mode.Service):
    """Everything between the callers' HTTP and the connections to agents."""

    def __init__(
        self,
        me: types.Instance,
        endpoint: connection_lib.Endpoint,
        rules: rules_lib.RulesSource,
        members: Callable[[], Iterable[fleet_lib.Member]],
        claims: request_types.Claims | None = None,
        suspects: request_types.Suspects | None = None,
        clock: clock_lib.Clock | None = None,
        log: logs.Log | None = None,
        counters: counters_lib.Counters | None = None,
        rng: random.Random | None = None,
    ):
        """Wires the filters.

        Args:
          me: This entry.
          endpoint: Its connections.
          rules: The settings in force.
          members: Returns the live members, this entry included or not.
          claims: Claims idempotency keys; None refuses keyed requests.
          suspects: Knows requests that crash servers; None suspects nobody.
          clock: The source of time.
          log: Where events go.
          counters: Where each refusal and retry is counted.
          rng: For ties and spread.
        """
        super().__init__()
        self._members = members
        self._last_members: frozenset[fleet_lib.Member] = frozenset()
        self._clock = clock or clock_lib.SystemClock()
        self._counters = counters or counters_lib.Counters()
        log = log or logs.Log(instance=me.instance_id)
        rng = rng or random.Random()
        common = (self._clock, log, self._counters, rng)
        self.fleet = fleet_lib.Fleet(me, endpoint, rules, *common)
        self._shares = shares.Shares(me.instance_id)
        self._usage_exchange = usage.UsageExchange(
            self._shares, endpoint, self._clock, self._counters
        )
        self.pipeline = pipeline_lib.Pipeline(
            self.fleet,
            send.Sender(endpoint, self._clock, self._counters),
            limit.Limiter(self._shares),
            rules,
            claims or pipeline_lib.NoClaims(),
            suspects or pipeline_lib.NoSuspects(),
            *common,
        )

    def refresh(self) -> None:
        """Takes the present members; call it when they change."""
        members = frozenset(self._members())
        if members == self._last_members:
            return
        self._last_members = members
        self.fleet.set_members(members)
        entries = {
            m.instance.instance_id: m.instance.address
            for m in members
            if m.instance.role is types.Role.ENTRY and not m.leaving
        }
        self._usage_exchange.set_entries(entries)

    def settings_changed(self) -> None:
        """Chooses workers anew, by other settings.

        Members that were all known before the first settings came would else
        never be looked at again: the services were not declared then, and the
        entry would refuse every request for want of a backend server.
        """
        self._last_members = frozenset()
        self.refresh()

    async def on_start(self) -> None:
        """Takes the members that are known already."""
        self.refresh()

    async def on_stop(self) -> None:
        """Stops opening connections."""
        self.fleet.close()

    @mode.Service.task
    async def _follow_members(self) -> None:
        while not self.should_stop:
            await self.sleep(_REFRESH_INTERVAL_S)
            self.refresh()
            for name, dispatcher in self.fleet.dispatchers().items():
                self._counters.gauge(
                    f"requests.waiting.{name}", dispatcher.waiting
                )

    @mode.Service.task
    async def _share_usage(self) -> None:
        while not self.should_stop:
            await self.sleep(shares.PERIOD_S)
            await self._usage_exchange.end_period()
