"""Connects the request handling of an entry and runs its periodic tasks."""

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
    """Handles requests, between the HTTP handlers and the agent connections.

    Attributes:
      fleet: The services and their workers.
      pipeline: Runs the requests.
    """

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
        """Creates the pipeline and its filters.

        Args:
          me: This entry.
          endpoint: The connections of this entry.
          rules: The settings in force.
          members: Returns the live members, with or without this entry.
          claims: Claims idempotency keys; None refuses keyed requests.
          suspects: Tracks requests that may have crashed backend servers; None
            suspects no request.
          clock: The source of time.
          log: Receives the log events.
          counters: Counts the refusals and retries.
          rng: Breaks ties and randomizes delays.
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
        """Applies the current members if they have changed."""
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
        """Chooses the workers again, according to new settings.

        If all members were known before the first settings arrived, their
        services were not declared yet. Unless they are applied again, the entry
        would refuse every request because it has no backend server.
        """
        self._last_members = frozenset()
        self.refresh()

    async def on_start(self) -> None:
        """Applies the members that are already known."""
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
