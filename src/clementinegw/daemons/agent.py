"""The agent daemon: gates one backend server and manages its weights."""

from collections.abc import Mapping
import dataclasses
import random
from typing import Any

import aiohttp
import mode

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.backend import engine as engine_client
from clementinegw.backend import service as plain_client
from clementinegw.backend import sessions
from clementinegw.daemons import core as core_lib
from clementinegw.daemons import engine_weights
from clementinegw.daemons import status as status_lib
from clementinegw.gate import backends
from clementinegw.gate import service as gate_lib
from clementinegw.settings import follower as follower_lib
from clementinegw.settings import model as model_lib
from clementinegw.telemetry import events

_LOAD_REPORT_INTERVAL_S = 1.0


class Agent(mode.Service):
    """Runs the gate of one backend server and, for an engine, its weights."""

    def __init__(
        self,
        file: model_lib.InstanceFile,
        clock: clock_lib.Clock | None = None,
        rng: random.Random | None = None,
    ):
        """Initializes the daemon; see `daemons.core.Core`.

        Args:
          file: The validated instance file; must name a backend server.
          clock: The source of time; the system clock by default.
          rng: The source of random numbers; newly seeded by default.
        """
        super().__init__()
        assert file.backend is not None
        self._file = file
        self._backend = file.backend
        self._core = core_lib.Core(file, clock, rng)
        self._gate: gate_lib.GateService
        self._weights: engine_weights.EngineWeights | None = None
        self._session: aiohttp.ClientSession | None = None
        self._status: status_lib.StatusServer | None = None

    @property
    def core(self) -> core_lib.Core:
        """The services shared with the entry daemon."""
        return self._core

    @property
    def serving_version(self) -> str:
        """The model version that the gate admits requests for."""
        return self._gate.version

    @property
    def status_address(self) -> types.Address | None:
        """The address of `/status`, or None when it is not served."""
        return None if self._status is None else self._status.address

    def weights_status(self) -> Mapping[str, Any]:
        """Returns the rollout status; empty for a plain service."""
        return {} if self._weights is None else self._weights.as_json()

    async def on_start(self) -> None:
        """Starts the gate; an engine's opens once its load is verified."""
        await self.add_runtime_dependency(self._core)
        core = self._core
        self._session = sessions.create()
        if self._backend.kind is types.ServiceKind.MODEL_ENGINE:
            await self._start_engine()
        else:
            client = plain_client.PlainClient(self._backend.url, self._session)
            await self._start_gate(backends.PlainBackend(client))
        core.follower.subscribe(self._on_settings)
        if self._file.listen.admin is not None:
            self._status = status_lib.StatusServer(
                self._file.listen.admin,
                self._status_report,
                self._not_ready_reasons,
            )
            await self.add_runtime_dependency(self._status)
        core.event_log.write(
            events.PROCESS_STARTED, service=self._backend.service
        )

    async def drain(self) -> None:
        """Refuses new requests at once and completes those in flight.

        The gate does not wait for the announcement to succeed: it refuses
        entries that have not received it yet, with proof that nothing was run.
        """
        core = self._core
        core.event_log.write(events.PROCESS_STOPPING)
        grace_s = core.effective_settings(
            self._backend.service
        ).shutdown.grace_s
        finishing = self.add_future(self._gate.leave(grace_s))
        await core.leave()
        await finishing

    async def on_shutdown(self) -> None:
        """Closes the session after the child services have stopped."""
        if self._session is not None:
            await self._session.close()
        self._core.event_log.write(events.PROCESS_STOPPED)

    async def _start_engine(self) -> None:
        assert self._session is not None
        client = engine_client.EngineClient(self._backend.url, self._session)
        await self._start_gate(backends.EngineBackend(client))
        self._weights = engine_weights.EngineWeights(
            self._core, self._backend.service, client, self._gate
        )
        await self.add_runtime_dependency(self._weights)

    async def _start_gate(self, backend: backends.Backend) -> None:
        core = self._core
        self._gate = gate_lib.GateService(
            core.endpoint,
            backend,
            self._backend.service,
            clock=core.clock,
            log=core.event_log,
            counters=core.counters,
            log_client=core.log_client,
        )
        await self.add_runtime_dependency(self._gate)

    @mode.Service.task
    async def _report_load_loop(self) -> None:
        while not self.should_stop:
            await self.sleep(_LOAD_REPORT_INTERVAL_S)
            load = self._gate.load
            load_ratio = load.in_flight / max(1, load.capacity)
            self._core.membership.set_self(
                load=load_ratio, version=self._gate.version
            )

    def _on_settings(self, state: follower_lib.State) -> None:
        if self._weights is not None:
            self._weights.apply(state)

    def _not_ready_reasons(self) -> Mapping[str, Any]:
        reasons = {}
        if self._core.leaving:
            reasons["leaving"] = "told to stop"
        if not self._gate.ready:
            reasons["gate"] = "the backend server does not serve"
        return reasons

    def _status_report(self) -> Mapping[str, Any]:
        core = self._core
        return {
            "instance_id": self._file.instance_id,
            "role": self._file.role.value,
            "service": self._backend.service,
            "settings_revision": core.follower.revision,
            "members": len(core.membership.members()),
            "leaving": core.leaving,
            "load": dataclasses.asdict(self._gate.load),
            "weights": self.weights_status(),
            "counters": core.counters.snapshot(),
        }
