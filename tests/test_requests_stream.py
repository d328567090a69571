"""Streams that break, go on elsewhere, or must not."""

import requests_script as script

from clementinegw import types
from clementinegw.wire import connection as connection_lib

Kind = connection_lib.Kind


def test_a_broken_stream_goes_on_from_the_tokens_passed_on():
    """Symptom: a stream that breaks, repeats tokens or leaves some out.

    Sequence: an engine dies in mid-event; another of the same version goes on.
    Cause: resuming from bytes instead of from whole events.
    """

    async def test(clock, loop):
        agents = await script.start_agents(
            [script.stream(1, 3, False), script.stream(4, 6, True)]
        )
        service, counters = await script.start_entry(clock, agents)
        sink = script.Sink()
        request = script.make_request(clock, idempotent=True, stream=True)
        outcome = await service.pipeline.run(request, sink)
        assert isinstance(outcome, types.Answered)
        assert sink.body == b"".join(
            script.encode_event(t) for t in range(1, 7)
        )
        assert len(sink.heads) == 1
        again = agents[0].submitted[1]
        assert (again.resume_tokens, again.version) == (3, "v1")
        assert counters.value("requests.streams_resumed") == 1

    script.run(test)


def test_a_stream_that_falls_silent_goes_on_elsewhere():
    """Symptom: a stream stands still until its caller gives up.

    Sequence: an engine stalls in mid-answer and keeps its connection. Cause:
    only the deadline and a broken connection end an attempt.
    """

    async def stall(agent, connection, exchange, submit):
        await script.head(exchange, submit)
        await exchange.send(Kind.ANSWER_DATA, script.encode_event(1))
        await script.hang(agent, connection, exchange, submit)

    async def test(clock, loop):
        agents = await script.start_agents([stall, script.stream(2, 3, True)])
        service, counters = await script.start_entry(
            clock, agents, attempt_timeout_s=2.0
        )
        sink = script.Sink()
        started_at = clock.now()
        outcome = await service.pipeline.run(
            script.make_request(clock, idempotent=True, stream=True), sink
        )
        assert isinstance(outcome, types.Answered)
        assert sink.body == b"".join(script.encode_event(t) for t in (1, 2, 3))
        assert clock.now() - started_at < 4.0
        assert counters.value("requests.streams_silent") == 1
        assert [c.request_id for c in agents[0].cancelled] == ["r1"]

    script.run(test)


def test_a_stream_with_a_gap_is_not_gone_on_with():
    """Symptom: a stream that is told as whole lacks an event in the middle.

    Sequence: an event is lost on the way, a later one arrives; the sizes do
    not add up, and another engine goes on after the last token. Cause: going
    on with what was already damaged.
    """

    async def gap(agent, connection, exchange, submit):
        await script.head(exchange, submit)
        await exchange.send(Kind.ANSWER_DATA, script.encode_event(1))
        await exchange.send(Kind.ANSWER_DATA, script.encode_event(3))
        await script.end(exchange, submit, 3 * len(script.encode_event(1)), 3)

    async def test(clock, loop):
        agents = await script.start_agents([gap, script.stream(4, 4, True)])
        service, _ = await script.start_entry(clock, agents)
        request = script.make_request(clock, idempotent=True, stream=True)
        outcome = await service.pipeline.run(request, script.Sink())
        assert outcome == types.Unknown(types.UnknownReason.ANSWER_TRUNCATED)
        assert len(agents[0].submitted) == 1

    script.run(test)


def test_a_stream_never_goes_on_by_another_version():
    """Symptom: a quotation half by the old model, half by the new one.

    Sequence: a stream breaks during a rollout; the only worker left serves the
    new version. Cause: resuming without the version.
    """

    async def test(clock, loop):
        agents = await script.start_agents([script.stream(1, 3, False)], [])
        agents[1].version = "v2"
        agents[1].leaving = True
        service, _ = await script.start_entry(clock, agents)
        agents[1].leaving = False

        async def newer(agent, connection, exchange, submit):
            agents[1].send_status(agents[1].endpoint.connections()[0])
            agent.leaving = True
            agent.send_status(connection)
            await script.stream(1, 3, False)(
                agent, connection, exchange, submit
            )

        agents[0].script = [newer]
        sink = script.Sink()
        request = script.make_request(clock, idempotent=True, stream=True)
        outcome = await service.pipeline.run(request, sink)
        assert isinstance(outcome, types.Unknown)
        assert sink.body == b"".join(
            script.encode_event(t) for t in range(1, 4)
        )
        assert not agents[1].submitted

    script.run(test)
