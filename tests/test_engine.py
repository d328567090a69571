"""Tests for the engine client and the engine stand-in with its faults."""

import asyncio
import json

import blake3
import pytest

from clementinegw import exceptions
from clementinegw import types as shared
from clementinegw.backend import engine as clients
from clementinegw.backend import prefixes
from clementinegw.backend import sessions
from clementinegw.backend import types
from clementinegw.testing import engine as engines
from clementinegw.testing import ledger as ledgers

OLD = [b"old-0" * 50, b"old-1" * 50]
NEW = [b"new-0" * 50, b"new-1" * 50]
FAST = engines.EngineSettings(
    tokens_per_s=2000.0, prefill_tokens_per_s=1e6, load_bytes_per_s=1e9
)


def digest_of(chunk):
    return blake3.blake3(chunk).hexdigest()


def content(chunks):
    return types.content_digest(digest_of(chunk) for chunk in chunks)


def order(chunks, version="v2", fencing=2):
    digests = tuple(digest_of(chunk) for chunk in chunks)
    return types.LoadOrder("m", version, "manifest", digests, fencing)


def completion(prompt="size a gear", request_id="r1", **body):
    body = {"prompt": prompt, "max_tokens": 8, "stream": True, **body}
    return types.Completion(
        request_id, "/v1/completions", json.dumps(body).encode()
    )


async def collect(stream):
    events = [event async for event in stream]
    assert isinstance(events[0], types.Head)
    assert isinstance(events[-1], types.End)
    data = [e for e in events if isinstance(e, types.Data)]
    return events[0], b"".join(piece.data for piece in data), events[-1]


async def wait_until(condition):
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.002)
    raise AssertionError("the condition did not become true")


class Setup:
    """An engine that has loaded version v1, and a client of it."""

    def __init__(self, settings=FAST, idle_timeout_s=0.3):
        self._idle_timeout_s = idle_timeout_s
        self.ledger = ledgers.Ledger()
        self.engine = engines.EngineStandIn("e1", self.ledger, settings)
        self.settings = settings

    async def __aenter__(self):
        await self.engine.start()
        self.engine.preload("m", "v1", OLD)
        self.session = sessions.create()
        self.client = clients.EngineClient(
            self.engine.base_url,
            self.session,
            idle_timeout_s=self._idle_timeout_s,
        )
        return self

    async def __aexit__(self, *error):
        await self.session.close()
        await self.engine.stop()

    async def stage(self, chunks):
        for chunk in chunks:
            await self.client.stage_chunk(digest_of(chunk), chunk)


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("chat", [True, False])
async def test_answer_is_a_function_of_prompt_and_weights(stream, chat):
    async with Setup() as s:
        body = {"max_tokens": 8, "stream": stream, "tokens_per_event": 3}
        path = "/v1/completions"
        body["prompt"] = "size a gear"
        if chat:
            path = "/v1/chat/completions"
            body["messages"] = [{"role": "user", "content": "size a gear"}]
        raw = json.dumps(body).encode()
        answer = await s.client.complete(types.Completion("r1", path, raw))
        head, data, end = await collect(answer)
        prompt = prefixes.prompt_text(body)
    assert (head.status, head.version) == (200, "v1")
    assert head.digest == content(OLD)
    assert end.tokens == 8
    assert engines.is_complete(data) is stream
    expected = engines.expected_answer(prompt, content(OLD), 8)
    assert engines.answer_text(data) == expected
    [run] = s.ledger.runs
    assert (run.request_id, run.end) == ("r1", ledgers.RunEnd.FINISHED)


async def test_stream_resumes_at_another_engine_after_a_crash():
    """Guards against a truncated or mixed answer after an engine crash.

    An engine crashes in the middle of a stream. A second engine resumes the
    stream, but only if it has loaded the same version.
    """
    async with Setup() as first, Setup() as second:
        first.engine.faults.keep_weights = True
        request = completion(max_tokens=400)
        received, tokens = b"", 0
        with pytest.raises(exceptions.BackendLost):
            async for event in await first.client.complete(request):
                if not isinstance(event, types.Data):
                    continue
                received, tokens = received + event.data, event.tokens
                if tokens == 20:
                    first.engine.crash()
        rest = await second.client.resume(request, tokens, "v1")
        _, data, end = await collect(rest)
        other = await second.client.resume(request, tokens, "v7")
        head = (await collect(other))[0]
    text = engines.answer_text(received) + engines.answer_text(data)
    prompt = "size a gear"
    assert text == engines.expected_answer(prompt, content(OLD), 400)
    assert end.tokens == 400
    assert head.refused == "wrong_version"
    assert first.ledger.runs[0].end is ledgers.RunEnd.CRASHED
    assert len(second.ledger.runs) == 1


async def test_cancel_reports_whether_the_request_was_running():
    settings = engines.EngineSettings(max_batch=1, tokens_per_s=20.0)
    async with Setup(settings) as s:
        running = await s.client.complete(completion(max_tokens=500))
        waiting = asyncio.create_task(
            s.client.complete(completion(request_id="r2"))
        )
        await wait_until(lambda: s.engine.waiting)
        assert await s.client.cancel("r2") is types.CancelState.WAITING
        assert await s.client.cancel("r1") is types.CancelState.RUNNING
        assert await s.client.cancel("r9") is types.CancelState.UNKNOWN
        _, data, _ = await collect(running)
        head, _, _ = await collect(await waiting)
    assert b'"finish_reason": "cancelled"' in data
    assert head.refused == "cancelled"
    assert s.ledger.runs_of_request("r2") == []


async def test_queue_is_ordered_by_priority():
    settings = engines.EngineSettings(max_batch=1, tokens_per_s=500.0)
    # The timeout is long, so that queued requests do not expire on a busy
    # machine.
    async with Setup(settings, idle_timeout_s=30.0) as s:
        # The first request has to occupy the batch until all others are queued,
        # however long the machine takes to send them.
        s.engine.faults.slow_factor = 20.0
        blocker = await s.client.complete(completion(max_tokens=50))
        tasks = []

        def all_queued():
            return s.engine.waiting == len(tasks)

        for priority in shared.Priority:
            request = types.Completion(
                priority.name,
                "/v1/completions",
                completion(stream=False).body,
                priority=priority,
            )
            tasks.append(asyncio.create_task(s.client.complete(request)))
            await wait_until(all_queued)
        s.engine.faults.slow_factor = 1.0
        await collect(blocker)
        for task in tasks:
            await collect(await task)
    order = [run.request_id for run in s.ledger.runs]
    assert order == ["r1", "HIGH", "NORMAL", "LOW"]


async def test_staging_stores_only_chunks_that_match_their_digest():
    settings = engines.EngineSettings(staging_bytes=300)
    async with Setup(settings) as s:
        client, [one, two] = s.client, NEW
        stored = await client.stage_chunk(digest_of(one), one)
        wrong = await client.stage_chunk(digest_of(two), one)
        full = await client.stage_chunk(digest_of(two), two)
        assert stored is types.StageResult.STORED
        assert wrong is types.StageResult.CORRUPT
        assert full is types.StageResult.FULL
        assert await client.get_staged_chunk(digest_of(one)) == one
        assert await client.get_staged_chunk(digest_of(two)) is None
        s.engine.faults.corrupt_staged = True
        assert await client.get_staged_chunk(digest_of(one)) != one
        status = await client.staging_status()
        assert status.digests == (digest_of(one),)
        await client.unstage_chunk(digest_of(one))
        assert (await client.staging_status()).used_bytes == 0


async def test_load_reports_the_digest_of_the_loaded_bytes():
    async with Setup() as s:
        refused = await s.client.load(order(NEW))
        assert refused.reason is types.OrderRefusal.CHUNK_MISSING
        assert refused.missing == tuple(map(digest_of, NEW))
        await s.stage(NEW)
        report = await s.client.load(order(NEW))
        assert report == types.LoadReport("v2", content(NEW), 2)
        status = await s.client.status()
        assert (status.version, status.digest) == ("v2", content(NEW))
        _, data, _ = await collect(await s.client.complete(completion()))
    expected = engines.expected_answer("size a gear", content(NEW), 8)
    assert engines.answer_text(data) == expected


async def test_corrupt_weights_change_the_report_and_the_answers():
    """Guards against a stand-in that hides corrupted weights.

    A byte changes during the load, although the order lists the right chunks
    and the engine reports the right version.
    """
    async with Setup() as s:
        await s.stage(NEW)
        s.engine.faults.corrupt_loaded = True
        report = await s.client.load(order(NEW))
        assert report.version == "v2"
        assert report.digest != content(NEW)
        head, data, _ = await collect(await s.client.complete(completion()))
    assert head.digest == report.digest
    expected = engines.expected_answer("size a gear", content(NEW), 8)
    assert engines.answer_text(data) != expected


async def test_request_during_a_load_is_answered_with_mixed_weights():
    """Tests that an answer during a load matches neither version.

    The chunks are replaced in place, and the engine does not refuse requests
    meanwhile, so the gate has to.
    """
    slow = engines.EngineSettings(tokens_per_s=2000.0, load_bytes_per_s=2500.0)
    async with Setup(slow) as s:
        await s.stage(NEW)
        load = asyncio.create_task(s.client.load(order(NEW)))
        complete = {content(OLD), content(NEW)}
        await wait_until(lambda: s.engine.weights.digest not in complete)
        assert (await s.client.status()).loading == "v2"
        head, _, _ = await collect(await s.client.complete(completion()))
        await load
    assert head.digest not in complete


@pytest.mark.parametrize("checks", [True, False])
async def test_old_fencing_number(checks):
    """Tests a late order at engines with and without the fencing check."""
    settings = engines.EngineSettings(checks_fencing=checks)
    async with Setup(settings) as s:
        await s.stage(OLD + NEW)
        await s.client.load(order(NEW, "v2", fencing=7))
        late = await s.client.load(order(OLD, "v1", fencing=6))
        role = await s.client.set_role(types.EngineRole.DECODE, 5)
        status = await s.client.status()
    if checks:
        assert late.reason is types.OrderRefusal.FENCING
        assert (late.current_fencing, role.current_fencing) == (7, 7)
        assert (status.version, status.role) == ("v2", types.EngineRole.MIXED)
    else:
        assert late == types.LoadReport("v1", content(OLD), 6)
        assert (status.version, status.role) == ("v1", types.EngineRole.DECODE)


async def test_status_shows_the_load_whose_answer_was_lost():
    """Tests a connection that is lost after the order has taken effect."""
    async with Setup() as s:
        await s.stage(NEW)
        s.engine.faults.answers_to_drop["load"] = 1
        with pytest.raises(exceptions.BackendLost):
            await s.client.load(order(NEW, fencing=4))
        status = await s.client.status()
    assert (status.digest, status.fencing) == (content(NEW), 4)


async def test_load_continues_after_its_connection_is_lost():
    """Tests a load that takes effect after the loader's timeout.

    The timeout closes the connection in the middle of the load. The loader must
    not send a second order before it knows the result of the first.
    """
    slow = engines.EngineSettings(load_bytes_per_s=2500.0)
    async with Setup(slow) as s:
        await s.stage(NEW)
        short_timeout_client = clients.EngineClient(
            s.engine.base_url, s.session, order_timeout_s=0.05
        )
        with pytest.raises(exceptions.BackendStalled):
            await short_timeout_client.load(order(NEW))
        assert (await s.client.status()).loading == "v2"
        await wait_until(lambda: not s.engine.weights.loading)
        assert (await s.client.status()).digest == content(NEW)


async def test_adapter_changes_only_answers_of_its_requests():
    async with Setup() as s:
        adapter = [b"adapter" * 20]
        await s.stage(adapter)
        chunks = tuple(map(digest_of, adapter))
        report = await s.client.load_adapter(
            types.AdapterOrder("hoods", "a1", chunks, 3)
        )
        adapted = await s.client.complete(completion(adapter="hoods"))
        _, data, _ = await collect(adapted)
        status = await s.client.status()
        unknown = await s.client.complete(completion(adapter="nothing"))
        head = (await collect(unknown))[0]
    digest = engines.digest_with_adapter(content(OLD), content(adapter))
    assert report.digest == content(adapter)
    expected = engines.expected_answer("size a gear", digest, 8)
    assert engines.answer_text(data) == expected
    assert status.adapters == (("hoods", "a1"),)
    assert head.refused == "unknown_adapter"


async def test_poison_request_crashes_its_batch_and_clears_the_weights():
    """Tests that one request's crash fails all requests of the batch."""
    async with Setup() as s:
        s.engine.faults.crash_marker = b"POISON"
        s.engine.faults.restart_s = 0.05
        neighbour = await s.client.complete(completion(max_tokens=2000))
        poison = completion("POISON", "bad")
        with pytest.raises(exceptions.BackendLost):
            await collect(await s.client.complete(poison))
        with pytest.raises(exceptions.BackendLost):
            await collect(neighbour)
        with pytest.raises(exceptions.BackendUnreachable):
            await s.client.status()
        await asyncio.sleep(0.2)
        status = await s.client.status()
        head = (await collect(await s.client.complete(completion())))[0]
    assert status.version == ""
    assert head.refused == "no_weights"
    ends = {run.request_id: run.end for run in s.ledger.runs}
    crashed = ledgers.RunEnd.CRASHED
    assert ends == {"r1": crashed, "bad": crashed}
    assert s.ledger.crashed_servers() == {"e1": 1}


async def test_stalled_stream_is_detected_by_its_idle_timeout():
    """Tests a stall, which sends no bytes and closes no connection."""
    async with Setup() as s:
        s.engine.faults.stall_after_tokens = 3
        with pytest.raises(exceptions.BackendStalled):
            await collect(await s.client.complete(completion()))
        s.engine.faults.stall = False
        s.engine.faults.stall_after_tokens = None
        await collect(await s.client.complete(completion()))


async def test_cache_reports_hits_and_delayed_incomplete_events():
    settings = engines.EngineSettings(
        cache_tokens=64 * 4, prefill_tokens_per_s=1e6, tokens_per_s=1e4
    )
    async with Setup(settings) as s:
        s.engine.faults.cache_event_drop_interval = 2
        prompts = [letter * 600 for letter in "abc"]
        for prompt in [*prompts, prompts[-1]]:
            await collect(await s.client.complete(completion(prompt)))
        assert s.engine.cache_hit_ratio == pytest.approx(128 / 600)
        events = await s.client.cache_events(0)
        after = events.next - 1
        again = await s.client.cache_events(after)
        s.engine.faults.cache_event_delay_s = 60.0
        await collect(await s.client.complete(completion("d" * 600)))
        late = await s.client.cache_events(after)
        ahead = await s.client.cache_events(500)
    assert [event.sequence for event in events.events] == [1, 3]
    first = events.events[0]
    assert first.change is types.CacheChange.STORED
    assert first.blocks == prefixes.block_hashes(prompts[0])
    assert again.events == late.events == ()
    assert (again.next, late.next, ahead.next) == (4, 4, 4)


async def test_kv_import_requires_the_same_weights():
    settings = engines.EngineSettings(tokens_per_s=50.0)
    async with Setup(settings) as source, Setup() as target:
        prompt = "k" * 600
        answer = await source.client.complete(
            completion(prompt, max_tokens=500)
        )
        await anext(answer)
        data = await source.client.export_kv("r1")
        assert await target.client.import_kv("r1", data)
        await collect(await target.client.complete(completion(prompt)))
        target.engine.preload("m", "v2", NEW)
        assert not await target.client.import_kv("r1", data)
        assert await target.client.export_kv("r1") is None
        await answer.aclose()
    assert target.engine.cache_hit_ratio > 0.4


async def test_load_report_is_delayed():
    settings = engines.EngineSettings(
        max_batch=2, tokens_per_s=50.0, load_lag_s=30.0
    )
    async with Setup(settings) as s:
        answer = await s.client.complete(completion(max_tokens=500))
        assert s.engine.running == 1
        assert (await s.client.status()).running == 0
        await answer.aclose()


async def test_caller_cannot_set_the_headers_of_the_system():
    """Guards against an answer that lacks its first tokens.

    If the caller's `last-event-id` header were forwarded, the engine would
    treat the request as a resumed stream.
    """
    async with Setup() as s:
        headers = (("last-event-id", "5"), ("clementine-request-id", "x"))
        plain = completion()
        request = types.Completion("r1", plain.path, plain.body, headers)
        _, data, _ = await collect(await s.client.complete(request))
    assert len(engines.answer_text(data)) == 8 * 5
    assert [run.request_id for run in s.ledger.runs] == ["r1"]


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b'{"prompt": 3}', b'{"messages": [1]}']
)
async def test_invalid_body_is_refused_before_it_runs(body):
    async with Setup() as s:
        request = types.Completion("r1", "/v1/completions", body)
        head, _, _ = await collect(await s.client.complete(request))
    assert (head.status, head.refused) == (400, "bad_request")
    assert s.ledger.runs == []
