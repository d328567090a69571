"""Attempts over connections that break, stall and bring frames late.

The entry's side is the real one; the agent is a script. Connections run in
memory and time is virtual.
"""

import asyncio
import random

import pytest
import requests_script as script

from clementinegw import exceptions
from clementinegw import types
from clementinegw.requests import types as request_types
from clementinegw.wire import connection as connection_lib

Kind = connection_lib.Kind


def test_answers_reach_their_own_callers():
    """Symptom: a clerk sees another customer's quotation.

    Sequence: many calls on one connection are answered in another order. Cause:
    answers matched by order of arrival.
    """

    async def late(agent, connection, exchange, submit):
        await asyncio.sleep(random.Random(submit.request_id).random())
        await script.answer(agent, connection, exchange, submit)

    async def test(clock, loop):
        agents = await script.agents_of([late] * 40)
        service, _ = await script.entry(clock, agents)
        requests = [script.request_of(clock, number) for number in range(40)]
        outcomes = await asyncio.gather(
            *(service.pipeline.run(request) for request in requests)
        )
        for request, outcome in zip(requests, outcomes, strict=True):
            assert outcome.body == request.request_id.encode()

    script.run(test)


def test_a_frame_that_names_another_attempt_is_dropped():
    """Symptom: an answer made of two attempts' pieces.

    Sequence: a head of an earlier attempt arrives on the call of a later one.
    Cause: a call number that an agent has mixed up.
    """

    async def crossed(agent, connection, exchange, submit):
        await script.head(exchange, submit, "old", attempt=submit.attempt + 1)
        await script.answer(agent, connection, exchange, submit)

    async def test(clock, loop):
        agents = await script.agents_of([crossed])
        service, counters = await script.entry(clock, agents)
        outcome = await service.pipeline.run(script.request_of(clock))
        assert outcome.body == b"r1"
        assert ("clementine-version", "v1") in outcome.headers
        assert counters.value("requests.frames_crossed") == 1

    script.run(test)


def test_a_frame_of_a_closed_call_is_dropped_and_counted():
    async def slow(agent, connection, exchange, submit):
        await asyncio.sleep(2.0)
        await script.answer(agent, connection, exchange, submit)

    async def test(clock, loop):
        agents = await script.agents_of([slow])
        agents[0].proof = False
        service, counters = await script.entry(clock, agents, max_attempts=1)
        outcome = await service.pipeline.run(
            script.request_of(clock, wait_s=1.0)
        )
        assert outcome == types.Unknown(types.UnknownReason.DEADLINE)
        await asyncio.sleep(5.0)
        assert counters.value("wire.frame_dropped") >= 3

    script.run(test)


def test_a_tombstone_proves_that_a_lost_submission_did_not_run():
    """Symptom: a booking is told as unknown though it never reached a server.

    Sequence: the connection breaks right after SUBMIT. Cause: nobody asks the
    agent, which has refused or never seen it. With proof it is sent again, even
    though it must not run twice.
    """

    async def test(clock, loop):
        agents = await script.agents_of([script.break_off, script.answer])
        service, counters = await script.entry(clock, agents)
        outcome = await service.pipeline.run(script.request_of(clock))
        assert outcome.body == b"r1"
        assert counters.value("requests.tombstone_proved") == 1
        assert [s.attempt for s in agents[0].submitted] == [1, 2]

    script.run(test)


@pytest.mark.parametrize("proof", [False, None])
def test_without_proof_a_booking_is_unknown_and_sent_once(proof):
    """Symptom: leather is booked twice, or "not run" is told of a booking.

    Sequence: the connection breaks after SUBMIT; the agent says that it has
    handed the attempt over, or says nothing. Cause: a retry on a guess.
    """

    async def test(clock, loop):
        agents = await script.agents_of([script.break_off], [])
        agents[0].proof = proof
        agents[1].leaving = True
        service, counters = await script.entry(clock, agents)
        agents[1].leaving = False
        for connection in agents[1].endpoint.connections():
            agents[1].tell(connection)
        began = clock.now()
        outcome = await service.pipeline.run(script.request_of(clock))
        assert outcome == types.Unknown(types.UnknownReason.CONNECTION_LOST)
        assert clock.now() - began < 2.0
        assert len(agents[0].submitted) == 1
        assert not agents[1].submitted
        assert counters.value("requests.no_retry.not_idempotent") == 1

    script.run(test)


def test_a_replaced_agent_proves_nothing():
    """Symptom: "not run" is told of a request that the old agent handed over.

    Sequence: the agent dies after the hand-over and another process takes its
    address. It never saw the attempt and forbids it gladly. Cause: proof taken
    from a process that cannot know.
    """

    async def replace(agent, connection, exchange, submit):
        port = agent.instance.address.port
        await agent.endpoint.close()
        successor = script.Agent(agent.name, [], incarnation=2)
        await asyncio.ensure_future(successor.start(port))
        agent.successor = successor

    async def dies(agent, connection, exchange, submit):
        agent.task = asyncio.ensure_future(
            replace(agent, connection, exchange, submit)
        )
        await asyncio.sleep(3600)

    async def test(clock, loop):
        agents = await script.agents_of([dies])
        service, counters = await script.entry(clock, agents)
        outcome = await service.pipeline.run(script.request_of(clock))
        assert outcome == types.Unknown(types.UnknownReason.CONNECTION_LOST)
        assert counters.value("requests.agent_replaced") == 1
        assert not agents[0].successor.submitted

    script.run(test)


@pytest.mark.parametrize(
    ("step", "reason"),
    [
        (script.short, types.UnknownReason.ANSWER_TRUNCATED),
        (script.fail("backend_crashed"), types.UnknownReason.BACKEND_CRASHED),
    ],
)
def test_an_answer_without_its_end_is_not_whole(step, reason):
    async def test(clock, loop):
        agents = await script.agents_of([step])
        service, _ = await script.entry(clock, agents)
        outcome = await service.pipeline.run(script.request_of(clock))
        assert outcome == types.Unknown(reason, outcome.detail)
        assert len(agents[0].submitted) == 1

    script.run(test)


def test_an_idempotent_request_is_tried_elsewhere():
    async def test(clock, loop):
        agents = await script.agents_of([script.fail("backend_crashed")], [])
        service, counters = await script.entry(clock, agents)
        outcomes = [
            await service.pipeline.run(
                script.request_of(clock, n, idempotent=True)
            )
            for n in range(4)
        ]
        assert all(isinstance(o, types.Answered) for o in outcomes)
        assert counters.value("requests.retry.backend_crashed") == 1

    script.run(test)


def test_not_run_never_hides_an_attempt_that_may_have_run():
    """Symptom: "not run" is told although the first attempt ran.

    Sequence: an idempotent request's first attempt crashes its server, the
    second is refused. Cause: only the last attempt is told.
    """

    async def test(clock, loop):
        agents = await script.agents_of(
            [script.fail("backend_crashed"), script.refuse("declined")]
        )
        service, _ = await script.entry(clock, agents, max_attempts=2)
        outcome = await service.pipeline.run(
            script.request_of(clock, idempotent=True)
        )
        assert outcome == types.Unknown(
            types.UnknownReason.BACKEND_CRASHED, outcome.detail
        )

    script.run(test)


def test_retries_end_with_the_budget():
    """Symptom: an overload that outlives its cause.

    Sequence: a service fails as a whole; each request is sent three times.
    Cause: retries without a bound over all requests.
    """

    async def test(clock, loop):
        agents = await script.agents_of([script.refuse("overloaded")] * 500)
        service, counters = await script.entry(clock, agents, budget_ratio=0.1)
        for number in range(60):
            await service.pipeline.run(
                script.request_of(clock, number, idempotent=True, wait_s=60.0)
            )
        assert counters.value("requests.no_retry.budget") > 0
        assert len(agents[0].submitted) <= 60 + 10 + 6 + 1

    script.run(test)


def test_a_leaving_agent_gets_nothing_new():
    """Symptom: refusals, or cut requests, whenever an instance is replaced.

    Sequence: an agent says that it leaves; the list still names it. Cause:
    routing by the list alone.
    """

    async def test(clock, loop):
        agents = await script.agents_of([], [])
        service, _ = await script.entry(clock, agents)
        agents[0].leaving = True
        for connection in agents[0].endpoint.connections():
            agents[0].tell(connection)
        await asyncio.sleep(0.01)
        for number in range(20):
            await service.pipeline.run(script.request_of(clock, number))
        assert not agents[0].submitted
        assert len(agents[1].submitted) == 20

    script.run(test)


def test_a_refusal_because_of_leaving_costs_the_caller_nothing():
    async def test(clock, loop):
        agents = await script.agents_of([script.refuse("leaving")] * 9, [])
        service, counters = await script.entry(clock, agents)
        for number in range(20):
            outcome = await service.pipeline.run(
                script.request_of(clock, number)
            )
            assert isinstance(outcome, types.Answered)
        # One refusal is word enough.
        assert len(agents[0].submitted) <= 1
        assert counters.value("requests.retry.leaving") <= 1

    script.run(test)


@pytest.mark.parametrize("how", ["cancelled", "gone"])
def test_work_of_a_caller_that_went_away_is_cancelled(how):
    async def test(clock, loop):
        step = (
            script.hang if how == "cancelled" else script.stream(1, 500, False)
        )
        agents = await script.agents_of([step])
        service, counters = await script.entry(clock, agents)
        sink = script.Sink(gone_after=20)
        request = script.request_of(clock, idempotent=True, stream=True)
        task = asyncio.ensure_future(service.pipeline.run(request, sink))
        await asyncio.sleep(1.0)
        task.cancel()
        with pytest.raises((asyncio.CancelledError, request_types.CallerGone)):
            await task
        await asyncio.sleep(0.1)
        if how == "cancelled":
            assert [c.request_id for c in agents[0].cancelled] == ["r1"]
        assert counters.value("requests.cancelled") == 1
        assert service.pipeline.running == 0

    script.run(test)


def test_an_unreachable_agent_is_proof_that_nothing_ran():
    async def test(clock, loop):
        agents = await script.agents_of([], [])
        service, counters = await script.entry(clock, agents)
        await agents[0].endpoint.close()
        await asyncio.sleep(0.01)
        for number in range(10):
            outcome = await service.pipeline.run(
                script.request_of(clock, number)
            )
            assert isinstance(outcome, types.Answered)
        assert len(agents[1].submitted) == 10

    script.run(test)


def test_a_stalled_connection_is_given_up_and_its_request_settled():
    """Symptom: callers wait for their deadlines while a link is stalled.

    Sequence: a link stalls without closing after SUBMIT. Cause: nobody notices
    a connection on which nothing comes any more.
    """

    async def test(clock, loop):
        agents = await script.agents_of([script.hang])
        service, counters = await script.entry(clock, agents)
        request = script.request_of(clock, wait_s=60.0)
        task = asyncio.ensure_future(service.pipeline.run(request))
        await asyncio.sleep(0.1)
        loop.set_partitioned("entry", "a0")
        began = clock.now()
        outcome = await task
        assert clock.now() - began < 12.0
        assert outcome == types.Unknown(types.UnknownReason.CONNECTION_LOST)
        assert counters.value("requests.connection_lost") == 1

    script.run(test)


def test_connecting_fails_cleanly_when_nobody_listens():
    async def test(clock, loop):
        script.network.CURRENT_HOST.set("entry")
        identity = connection_lib.Identity(
            "e", types.Role.ENTRY, script.PLACE, 1
        )
        endpoint = connection_lib.Endpoint(identity, script.KEYS, script.LOG)
        with pytest.raises(exceptions.ConnectionLost):
            await endpoint.connect(types.Address("127.0.0.1", 999))

    script.run(test)
