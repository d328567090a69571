"""Tests of streams that fail and are resumed, or must not be."""

import requests_script as script

from clementinegw import types
from clementinegw.wire import connection as connection_lib

Kind = connection_lib.Kind


def test_broken_stream_is_resumed_after_the_forwarded_tokens():
    """Guards against a stream that ends early, or repeats or lacks tokens.

    An engine crashes in the middle of an event, and another one of the same
    version resumes the stream. It was resumed by bytes, not by complete events.
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
        resumed = agents[0].submitted[1]
        assert (resumed.resume_tokens, resumed.version) == (3, "v1")
        assert counters.value("requests.streams_resumed") == 1

    script.run(test)


def test_silent_stream_is_resumed_by_another_worker():
    """Guards against a stream that hangs until its caller gives up.

    An engine stalls in the middle of an answer and keeps its connection open.
    Only the deadline or a lost connection ended an attempt.
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


def test_stream_with_a_missing_event_is_not_resumed():
    """Guards against a complete stream that lacks an event in the middle.

    An event is lost and a later one arrives, so the size is wrong. Another
    engine resumed the damaged stream after the last token.
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


def test_stream_is_not_resumed_by_another_version():
    """Guards against an answer that is partly from the old model version.

    A stream fails during a rollout, and the only worker left serves the new
    version. The stream was resumed without comparing the versions.
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
