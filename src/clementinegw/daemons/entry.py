"""The entry daemon: accepts callers' HTTP and forwards it to agents."""

from collections.abc import Mapping
import dataclasses
import random
from typing import Any

from aiohttp import web
import mode

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.daemons import core as core_lib
from clementinegw.daemons import status as status_lib
from clementinegw.membership import view as views
from clementinegw.requests import claim as claim_lib
from clementinegw.requests import claims_service as claims_lib
from clementinegw.requests import fleet as fleet_lib
from clementinegw.requests import http as http_lib
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import service as service_lib
from clementinegw.requests import suspects_service as suspects_lib
from clementinegw.settings import model as model_lib
from clementinegw.telemetry import events

_MS_PER_S = 1000.0
_BYTES_PER_MB = 1 << 20


class Entry(mode.Service):
    """Runs the HTTP server and the services that handle its requests."""

    def __init__(
        self,
        file: model_lib.InstanceFile,
        clock: clock_lib.Clock | None = None,
        rng: random.Random | None = None,
    ):
        """Initializes the daemon; see `daemons.core.Core`.

        Args:
          file: The validated instance file.
          clock: The source of time; the system clock by default.
          rng: The source of random numbers; newly seeded by default.
        """
        super().__init__()
        self._file = file
        self._core = core_lib.Core(file, clock, rng)
        self._requests: service_lib.RequestService
        self._claims: claims_lib.ClaimsService
        self._suspects: suspects_lib.SuspectsService
        self._runner: web.AppRunner | None = None
        self._http = file.listen.http
        self._status: status_lib.StatusServer | None = None

    @property
    def core(self) -> core_lib.Core:
        """The services shared with the agent daemon."""
        return self._core

    @property
    def http_address(self) -> types.Address:
        """The address for callers; its port is final after the start."""
        return self._http

    @property
    def status_address(self) -> types.Address | None:
        """The address of `/status`, or None when it is not served."""
        return None if self._status is None else self._status.address

    async def on_start(self) -> None:
        """Starts to serve; the entry is ready once settings are known."""
        await self.add_runtime_dependency(self._core)
        core = self._core
        self._claims = self._make_claims()
        self._suspects = suspects_lib.SuspectsService(
            core.endpoint,
            core.log_client,
            self._claims,
            clock=core.clock,
            log=core.event_log,
            counters=core.counters,
        )
        self._requests = self._make_requests()
        for service in (self._claims, self._suspects, self._requests):
            await self.add_runtime_dependency(service)
        core.membership.subscribe(lambda _: self._requests.refresh())
        core.follower.subscribe(lambda _: self._requests.settings_changed())
        core.follower.subscribe(
            lambda _: self._claims.apply(*self._claim_limits())
        )
        await self._serve_http()
        if self._file.listen.admin is not None:
            self._status = status_lib.StatusServer(
                self._file.listen.admin,
                self._status_report,
                self._not_ready_reasons,
            )
            await self.add_runtime_dependency(self._status)
        core.event_log.write(events.PROCESS_STARTED, http=str(self._http))

    async def drain(self) -> None:
        """Announces the shutdown and completes all requests.

        New requests are still accepted for `leave_s` seconds: the balancer
        notices the announcement late, and a refusal would fail valid requests.
        """
        core = self._core
        core.event_log.write(events.PROCESS_STOPPING)
        shutdown = core.effective_settings().shutdown
        await core.leave()
        await self.sleep(shutdown.leave_s)
        await self._requests.pipeline.drain(shutdown.grace_s)

    async def on_stop(self) -> None:
        """Stops the HTTP server."""
        if self._runner is not None:
            await self._runner.cleanup()
        self._core.event_log.write(events.PROCESS_STOPPED)

    def _make_requests(self) -> service_lib.RequestService:
        core = self._core
        return service_lib.RequestService(
            core.instance,
            core.endpoint,
            rules_lib.SettingsRules(lambda: core.follower.current, core.place),
            self._fleet_members,
            claims=self._claims,
            suspects=self._suspects,
            clock=core.clock,
            log=core.event_log,
            counters=core.counters,
            rng=core.rng,
        )

    def _make_claims(self) -> claims_lib.ClaimsService:
        core = self._core
        return claims_lib.ClaimsService(
            core.endpoint,
            core.log_client,
            self._alive_entries,
            *self._claim_limits(),
            clock=core.clock,
            log=core.event_log,
            counters=core.counters,
        )

    def _claim_limits(self) -> tuple[claims_lib.Limits, claims_lib.Timing]:
        settings = self._core.effective_settings().claims
        limits = claims_lib.Limits(
            horizon=claim_lib.Horizon(settings.horizon_s),
            max_memory_bytes=settings.memory_mb * _BYTES_PER_MB,
            max_answer_bytes=settings.kept_answer_bytes,
        )
        return limits, claims_lib.Timing(
            batch_interval_s=settings.group_ms / _MS_PER_S
        )

    def _alive_entries(self) -> list[types.Instance]:
        """Returns the entries that may own a claim."""
        members = self._core.membership.members(role=types.Role.ENTRY)
        return [
            member.instance
            for member in members
            if member.state is views.MemberState.ALIVE
        ]

    def _fleet_members(self) -> list[fleet_lib.Member]:
        return [
            fleet_lib.Member(
                # The agent reports its incarnation when it connects; a changing
                # value here would only cause reconnections.
                dataclasses.replace(member.instance, incarnation=0),
                member.state is views.MemberState.LEAVING,
            )
            # Includes suspected members: they may be alive and unreachable only
            # for the prober. The direct connection to a member is better
            # evidence than gossip.
            for member in self._core.membership.members()
        ]

    async def _serve_http(self) -> None:
        core = self._core
        handlers = http_lib.Handlers(
            self._requests.pipeline,
            core.clock,
            core.event_log,
            core.counters,
            self._file.instance_id,
        )
        app = http_lib.make_app(handlers)
        status_lib.add_health_routes(app, self._not_ready_reasons)
        self._runner = http_lib.make_runner(app)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._http.host, self._http.port)
        await site.start()
        port = self._runner.addresses[0][1]
        self._http = types.Address(self._http.host, port)

    def _not_ready_reasons(self) -> Mapping[str, Any]:
        reasons = {}
        if self._core.follower.current is None:
            reasons["settings"] = "none folded yet"
        if self._core.leaving:
            reasons["leaving"] = "told to stop"
        return reasons

    def _status_report(self) -> Mapping[str, Any]:
        core = self._core
        dispatchers = self._requests.fleet.dispatchers()
        return {
            "instance_id": self._file.instance_id,
            "role": self._file.role.value,
            "settings_revision": core.follower.revision,
            "members": len(core.membership.members()),
            "leaving": core.leaving,
            "running": self._requests.pipeline.running,
            "waiting": {
                name: dispatcher.waiting
                for name, dispatcher in dispatchers.items()
            },
            "counters": core.counters.snapshot(),
        }
