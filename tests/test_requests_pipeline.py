"""Tests of the whole pipeline: hedging, draining and late settings."""

import asyncio

import pytest
import requests_script as script

from clementinegw import types
from clementinegw.requests import rules as rules_lib


class _LateRules:
    """Settings that become available after the members."""

    def __init__(self):
        self.declared = False

    def ready(self):
        return self.declared

    def customer(self, name):
        return name

    def rules(self, service, customer):
        if not self.declared:
            return None
        return rules_lib.Rules(service, types.ServiceKind.MODEL_ENGINE)


@pytest.mark.parametrize("idempotent", [True, False])
def test_late_idempotent_request_is_hedged_and_a_booking_never(idempotent):
    """Guards against an idempotent request that waits for a stalled worker.

    After many fast answers, an attempt hangs until the deadline. A booking must
    not be hedged, because both attempts could run.
    """

    async def test(clock, loop):
        agents = await script.start_agents([], [])
        service, counters = await script.start_entry(
            clock, agents, hedging=True
        )
        for number in range(60):
            await service.pipeline.run(script.make_request(clock, number))
        for agent in agents:
            agent.submitted.clear()
        # The first agent that receives it hangs; the other answers.
        agents[0].script = agents[1].script = [script.hang]
        request = script.make_request(clock, 99, idempotent, wait_s=5.0)
        agents[0].proof = agents[1].proof = False
        outcome = await service.pipeline.run(request)
        sent = len(agents[0].submitted) + len(agents[1].submitted)
        assert isinstance(outcome, types.Answered) == idempotent
        assert sent == (2 if idempotent else 1)
        assert counters.value("requests.hedges") == int(idempotent)
        await asyncio.sleep(0.1)
        cancelled = agents[0].cancelled + agents[1].cancelled
        assert [c.request_id for c in cancelled] == ["r99"]
        assert service.pipeline.running == 0

    script.run(test)


def test_draining_finishes_running_requests_and_refuses_new_ones():
    async def slow(agent, connection, exchange, submit):
        await asyncio.sleep(5.0)
        await script.answer(agent, connection, exchange, submit)

    async def test(clock, loop):
        agents = await script.start_agents([slow])
        service, _ = await script.start_entry(clock, agents)
        running = asyncio.ensure_future(
            service.pipeline.run(script.make_request(clock))
        )
        await asyncio.sleep(0.5)
        drain = asyncio.ensure_future(service.pipeline.drain(30.0))
        await asyncio.sleep(0.1)
        late = await service.pipeline.run(script.make_request(clock, 2))
        assert late.reason is types.NotRunReason.LEAVING
        assert await drain
        assert isinstance(await running, types.Answered)

    script.run(test)


def test_service_declared_after_its_agents_gets_workers():
    """Guards against a new service without workers until a member changes.

    Agents join before the settings declare their service. The members were
    applied only when they changed.
    """

    async def test(clock, loop):
        agents = await script.start_agents([])
        source = _LateRules()
        service, _ = await script.start_entry(clock, agents, source=source)
        early = await service.pipeline.run(script.make_request(clock))
        assert early.reason is types.NotRunReason.NO_SETTINGS
        source.declared = True
        service.settings_changed()
        await asyncio.sleep(0.1)
        outcome = await service.pipeline.run(script.make_request(clock, 2))
        assert isinstance(outcome, types.Answered)

    script.run(test)
