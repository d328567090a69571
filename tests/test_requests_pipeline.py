"""What the filters do together: hedging and draining."""

import asyncio

import pytest
import requests_script as script

from clementinegw import types
from clementinegw.requests import rules as rules_lib


class _LateRules:
    """Settings that come after the members."""

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
def test_a_late_look_up_is_sent_a_second_time_and_a_booking_never(idempotent):
    """Symptom: one look-up in a hundred takes a worker's whole stall.

    Sequence: after many quick answers an attempt hangs. Cause: waiting for it
    to the deadline. A booking has to wait: both attempts might run.
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
        # Whichever is asked first hangs; the other answers.
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


def test_draining_finishes_what_runs_and_refuses_what_comes():
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


def test_a_service_declared_after_its_agents_gets_workers():
    """Symptom: a new service answers "no backend" until an instance changes.

    Sequence: agents join, then the settings declare their service. Cause:
    looking at members only when the members change.
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
