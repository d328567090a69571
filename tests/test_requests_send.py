"""Tests of attempts over connections that fail, stall or deliver frames late.

The entry is real and the agents are scripted. Connections are in memory and
time is virtual.
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
    """Guards against an answer that reaches another customer.

    Many calls on one connection are answered in a different order. Answers were
    matched by their order of arrival.
    """

    async def late(agent, connection, exchange, submit):
        await asyncio.sleep(random.Random(submit.request_id).random())
        await script.answer(agent, connection, exchange, submit)

    async def test(clock, loop):
        agents = await script.start_agents([late] * 40)
        service, _ = await script.start_entry(clock, agents)
        requests = [script.make_request(clock, number) for number in range(40)]
        outcomes = await asyncio.gather(
            *(service.pipeline.run(request) for request in requests)
        )
        for request, outcome in zip(requests, outcomes, strict=True):
            assert outcome.body == request.request_id.encode()

    script.run(test)


def test_frame_of_another_attempt_is_dropped():
    """Guards against an answer composed of parts of two attempts.

    The head for another attempt arrives on the call of an attempt, because the
    agent confused the call numbers.
    """

    async def crossed(agent, connection, exchange, submit):
        await script.head(exchange, submit, "old", attempt=submit.attempt + 1)
        await script.answer(agent, connection, exchange, submit)

    async def test(clock, loop):
        agents = await script.start_agents([crossed])
        service, counters = await script.start_entry(clock, agents)
        outcome = await service.pipeline.run(script.make_request(clock))
        assert outcome.body == b"r1"
        assert ("clementine-version", "v1") in outcome.headers
        assert counters.value("requests.frames_crossed") == 1

    script.run(test)


def test_frame_of_a_closed_call_is_dropped_and_counted():
    async def slow(agent, connection, exchange, submit):
        await asyncio.sleep(2.0)
        await script.answer(agent, connection, exchange, submit)

    async def test(clock, loop):
        agents = await script.start_agents([slow])
        agents[0].proof = False
        service, counters = await script.start_entry(
            clock, agents, max_attempts=1
        )
        outcome = await service.pipeline.run(
            script.make_request(clock, wait_s=1.0)
        )
        assert outcome == types.Unknown(types.UnknownReason.DEADLINE)
        await asyncio.sleep(5.0)
        assert counters.value("wire.frame_dropped") >= 3

    script.run(test)


def test_tombstone_proves_that_a_lost_submission_did_not_run():
    """Guards against an unknown outcome for a booking that reached no server.

    The connection fails right after SUBMIT, and the agent has refused or never
    received the attempt. The entry did not ask the agent for proof. With proof,
    even a request that must not run twice is retried.
    """

    async def test(clock, loop):
        agents = await script.start_agents(
            [script.drop_connection, script.answer]
        )
        service, counters = await script.start_entry(clock, agents)
        outcome = await service.pipeline.run(script.make_request(clock))
        assert outcome.body == b"r1"
        assert counters.value("requests.tombstone_proved") == 1
        assert [s.attempt for s in agents[0].submitted] == [1, 2]

    script.run(test)


@pytest.mark.parametrize("proof", [False, None])
def test_without_proof_a_booking_is_unknown_and_sent_once(proof):
    """Guards against two bookings, or a booking reported as not run.

    The connection fails after SUBMIT, and the agent replies that it handed the
    attempt over, or does not reply. The request was retried without proof.
    """

    async def test(clock, loop):
        agents = await script.start_agents([script.drop_connection], [])
        agents[0].proof = proof
        agents[1].leaving = True
        service, counters = await script.start_entry(clock, agents)
        agents[1].leaving = False
        for connection in agents[1].endpoint.connections():
            agents[1].send_status(connection)
        started_at = clock.now()
        outcome = await service.pipeline.run(script.make_request(clock))
        assert outcome == types.Unknown(types.UnknownReason.CONNECTION_LOST)
        assert clock.now() - started_at < 2.0
        assert len(agents[0].submitted) == 1
        assert not agents[1].submitted
        assert counters.value("requests.no_retry.not_idempotent") == 1

    script.run(test)


def test_tombstone_of_a_replaced_agent_is_no_proof():
    """Guards against "not run" for a request that a former agent handed over.

    The agent dies after the hand-over, and another process that never received
    the attempt uses its address. The tombstone of that process was accepted as
    proof.
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
        agents = await script.start_agents([dies])
        service, counters = await script.start_entry(clock, agents)
        outcome = await service.pipeline.run(script.make_request(clock))
        assert outcome == types.Unknown(types.UnknownReason.CONNECTION_LOST)
        assert counters.value("requests.agent_replaced") == 1
        assert not agents[0].successor.submitted

    script.run(test)


@pytest.mark.parametrize(
    ("step", "reason"),
    [
        (script.send_truncated_answer, types.UnknownReason.ANSWER_TRUNCATED),
        (script.fail("backend_crashed"), types.UnknownReason.BACKEND_CRASHED),
    ],
)
def test_answer_without_its_end_is_incomplete(step, reason):
    async def test(clock, loop):
        agents = await script.start_agents([step])
        service, _ = await script.start_entry(clock, agents)
        outcome = await service.pipeline.run(script.make_request(clock))
        assert outcome == types.Unknown(reason, outcome.detail)
        assert len(agents[0].submitted) == 1

    script.run(test)


def test_idempotent_request_is_retried_at_another_worker():
    async def test(clock, loop):
        agents = await script.start_agents([script.fail("backend_crashed")], [])
        service, counters = await script.start_entry(clock, agents)
        outcomes = [
            await service.pipeline.run(
                script.make_request(clock, n, idempotent=True)
            )
            for n in range(4)
        ]
        assert all(isinstance(o, types.Answered) for o in outcomes)
        assert counters.value("requests.retry.backend_crashed") == 1

    script.run(test)


def test_not_run_never_hides_an_attempt_that_may_have_run():
    """Guards against "not run" for a request whose first attempt ran.

    The first attempt of an idempotent request crashes the server, and the
    second one is refused. Only the outcome of the last attempt was reported.
    """

    async def test(clock, loop):
        agents = await script.start_agents(
            [script.fail("backend_crashed"), script.refuse("declined")]
        )
        service, _ = await script.start_entry(clock, agents, max_attempts=2)
        outcome = await service.pipeline.run(
            script.make_request(clock, idempotent=True)
        )
        assert outcome == types.Unknown(
            types.UnknownReason.BACKEND_CRASHED, outcome.detail
        )

    script.run(test)


def test_retries_are_limited_by_the_budget():
    """Guards against an overload that continues after its cause has ended.

    A whole service fails, and each request is sent three times. There was no
    limit on the retries of all requests together.
    """

    async def test(clock, loop):
        agents = await script.start_agents([script.refuse("overloaded")] * 500)
        service, counters = await script.start_entry(
            clock, agents, budget_ratio=0.1
        )
        for number in range(60):
            await service.pipeline.run(
                script.make_request(clock, number, idempotent=True, wait_s=60.0)
            )
        assert counters.value("requests.no_retry.budget") > 0
        assert len(agents[0].submitted) <= 60 + 10 + 6 + 1

    script.run(test)


def test_leaving_agent_receives_no_new_requests():
    """Guards against refused or aborted requests when an instance is replaced.

    An agent reports that it leaves while the list of members still contains it.
    Requests were routed by the list alone.
    """

    async def test(clock, loop):
        agents = await script.start_agents([], [])
        service, _ = await script.start_entry(clock, agents)
        agents[0].leaving = True
        for connection in agents[0].endpoint.connections():
            agents[0].send_status(connection)
        await asyncio.sleep(0.01)
        for number in range(20):
            await service.pipeline.run(script.make_request(clock, number))
        assert not agents[0].submitted
        assert len(agents[1].submitted) == 20

    script.run(test)


def test_refusal_by_a_leaving_agent_is_retried_elsewhere():
    async def test(clock, loop):
        agents = await script.start_agents([script.refuse("leaving")] * 9, [])
        service, counters = await script.start_entry(clock, agents)
        for number in range(20):
            outcome = await service.pipeline.run(
                script.make_request(clock, number)
            )
            assert isinstance(outcome, types.Answered)
        # After one refusal the agent receives no more requests.
        assert len(agents[0].submitted) <= 1
        assert counters.value("requests.retry.leaving") <= 1

    script.run(test)


@pytest.mark.parametrize("how", ["cancelled", "disconnected"])
def test_request_of_a_disconnected_caller_is_cancelled(how):
    async def test(clock, loop):
        step = (
            script.hang if how == "cancelled" else script.stream(1, 500, False)
        )
        agents = await script.start_agents([step])
        service, counters = await script.start_entry(clock, agents)
        sink = script.Sink(disconnect_after_bytes=20)
        request = script.make_request(clock, idempotent=True, stream=True)
        task = asyncio.ensure_future(service.pipeline.run(request, sink))
        await asyncio.sleep(1.0)
        task.cancel()
        with pytest.raises(
            (asyncio.CancelledError, request_types.CallerDisconnected)
        ):
            await task
        await asyncio.sleep(0.1)
        if how == "cancelled":
            assert [c.request_id for c in agents[0].cancelled] == ["r1"]
        assert counters.value("requests.cancelled") == 1
        assert service.pipeline.running == 0

    script.run(test)


def test_requests_to_an_unreachable_agent_are_retried_elsewhere():
    async def test(clock, loop):
        agents = await script.start_agents([], [])
        service, counters = await script.start_entry(clock, agents)
        await agents[0].endpoint.close()
        await asyncio.sleep(0.01)
        for number in range(10):
            outcome = await service.pipeline.run(
                script.make_request(clock, number)
            )
            assert isinstance(outcome, types.Answered)
        assert len(agents[1].submitted) == 10

    script.run(test)


def test_stalled_connection_is_closed_and_its_request_ends():
    """Guards against callers that wait until their deadline on a stalled link.

    A link stalls after SUBMIT without closing. The entry did not detect a
    connection on which nothing is received any more.
    """

    async def test(clock, loop):
        agents = await script.start_agents([script.hang])
        service, counters = await script.start_entry(clock, agents)
        request = script.make_request(clock, wait_s=60.0)
        task = asyncio.ensure_future(service.pipeline.run(request))
        await asyncio.sleep(0.1)
        loop.set_partitioned("entry", "a0")
        started_at = clock.now()
        outcome = await task
        assert clock.now() - started_at < 12.0
        assert outcome == types.Unknown(types.UnknownReason.CONNECTION_LOST)
        assert counters.value("requests.connection_lost") == 1

    script.run(test)


def test_connecting_without_a_listener_raises_connection_lost():
    async def test(clock, loop):
        script.network.CURRENT_HOST.set("entry")
        identity = connection_lib.Identity(
            "e", types.Role.ENTRY, script.PLACE, 1
        )
        endpoint = connection_lib.Endpoint(identity, script.KEYS, script.LOG)
        with pytest.raises(exceptions.ConnectionLost):
            await endpoint.connect(types.Address("127.0.0.1", 999))

    script.run(test)
