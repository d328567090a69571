"""Tests for odd but valid records while requests are under way."""

import asyncio
import json
import math
import random

from adapter import configurations
from adapter import records
import odd_configurations as odd
import platform_site as sites
import pytest

ENGINE = {
    "slots": 16,
    "step_ms": 10,
    "models": [{"name": "m"}],
    "per_seq_ms": 1.0,
    "read_per_s": 8000.0,
    "stride": 2,
    "layers": 16,
    "usual": {"prompt": 800, "answer": 100},
}
HUGE = 1e308


def engine(**fields):
    return {"service": {"engine": {**ENGINE, **fields}}}


def route(**fields):
    return {"route": fields}


def limits(**fields):
    return {"limits": fields}


ODD = {
    "engine appears": engine(),
    "read_per_s 0": engine(read_per_s=0),
    "read_per_s negative": engine(read_per_s=-5),
    "read_per_s tiny": engine(read_per_s=1e-308),
    "read_per_s huge": engine(read_per_s=HUGE),
    "slots 0": engine(slots=0),
    "slots negative": engine(slots=-4),
    "stride 0": engine(stride=0),
    "stride negative": engine(stride=-1),
    "stride huge": engine(stride=10**400),
    "weights huge": route(
        backends=[{"service": s, "weight": HUGE} for s in ("plain", "plain")]
    ),
    "slots huge": engine(slots=10**30),
    "step_ms huge": engine(step_ms=HUGE, per_seq_ms=HUGE),
    "step_ms 0": engine(step_ms=0, per_seq_ms=0),
    "step_ms negative": engine(step_ms=-10),
    "layers 0": engine(layers=0),
    "layers negative": engine(layers=-3),
    "chunks negative": engine(chunks=-3, chunk_bytes=-1),
    "kv_capacity null": engine(kv_capacity=None),
    "kv_capacity negative": engine(kv_capacity=-1),
    "kv_capacity huge": engine(kv_capacity=HUGE),
    "usual negative": engine(usual={"prompt": -5, "answer": -5}),
    "usual huge": engine(usual={"prompt": HUGE, "answer": HUGE}),
    "models empty": engine(models=[]),
    "warm_s negative": engine(models=[{"name": "m", "warm_s": -1}]),
    "max_attempts 0": route(max_attempts=0),
    "max_attempts negative": route(max_attempts=-3),
    "max_attempts huge": route(max_attempts=10**30),
    "timeout_ms 0": route(timeout_ms=0),
    "timeout_ms negative": route(timeout_ms=-1000),
    "timeout_ms huge": route(timeout_ms=HUGE),
    "target_latency_ms 0": route(target_latency_ms=0),
    "target_latency_ms negative": route(target_latency_ms=-1),
    "target_latency_ms huge": route(target_latency_ms=HUGE),
    "gap_target_ms negative": route(gap_target_ms=-1),
    "gap_target_ms huge": route(gap_target_ms=HUGE),
    "priority huge": route(priority=-(10**30)),
    "weights 0": route(
        backends=[{"service": s, "weight": 0} for s in ("plain", "gone")]
    ),
    "weights negative": route(
        backends=[{"service": s, "weight": -1} for s in ("plain", "gone")]
    ),
    "weights mixed": route(
        backends=[
            {"service": "gone", "weight": -1},
            {"service": "plain", "weight": 2},
            {"service": "gone", "weight": 0},
        ]
    ),
    "service unknown": route(service="unknown"),
    "route duplicate": {
        "routes": odd.config(1)["routes"] + odd.config(1)["routes"]
    },
    "routes empty": {"routes": []},
    "prefix without slashes": {
        "routes": [
            {**r, "path_prefix": r["path_prefix"].strip("/")}
            for r in odd.config(1)["routes"]
        ]
    },
    "prefix empty": {
        "routes": [{**odd.config(1)["routes"][0], "path_prefix": ""}]
    },
    "host empty": route(host=""),
    "host non-latin": route(host="ğ.example"),
    "services empty": {"services": []},
    "max_connections 0": {"service": {"max_connections": 0}},
    "max_connections huge": {"service": {"max_connections": 10**400}},
    "max_header_bytes 0": limits(max_header_bytes=0),
    "max_header_bytes 1": limits(max_header_bytes=1),
    "max_header_bytes huge": limits(max_header_bytes=10**30),
    "max_header_bytes negative": limits(max_header_bytes=-1),
    "idle_timeout_ms 0": limits(idle_timeout_ms=0),
    "idle_timeout_ms negative": limits(idle_timeout_ms=-1),
    "header_timeout_ms 0": limits(header_timeout_ms=0),
    "max_body_bytes 0": limits(max_body_bytes=0),
    "max_body_bytes negative": limits(max_body_bytes=-1),
    "idle_timeout_ms huge": limits(idle_timeout_ms=HUGE),
    "header_timeout_ms huge": limits(header_timeout_ms=HUGE),
    "key taken away": {"tenants": [{"name": "one", "api_keys": ["other"]}]},
    "tenants empty": {"tenants": []},
    "tenant with line break": {
        "tenants": [{"name": "o\r\nne", "api_keys": [sites.KEY]}]
    },
    "tenant with spaces": {
        "tenants": [{"name": " one ", "api_keys": [sites.KEY]}]
    },
    "tenant non-latin": {"tenants": [{"name": "ğ日", "api_keys": [sites.KEY]}]},
    "tenant empty": {"tenants": [{"name": "", "api_keys": [sites.KEY]}]},
}


# The statuses of requests that come after an odd configuration, if not 200.
STATUSES = {
    "timeout_ms 0": {504},
    "timeout_ms negative": {504},
    # Such requests are always late and get leftover capacity only.
    "target_latency_ms 0": {200, 503},
    "target_latency_ms negative": {200, 503},
    "read_per_s tiny": {200, 503},
    "stride huge": {200, 503},
    "slots huge": {200, 503},
    "step_ms huge": {200, 503},
    "service unknown": {503},
    "routes empty": {404},
    "host empty": {404},
    "host non-latin": {404},
    "key taken away": {401},
    "tenant with line break": {401},
    "tenant with spaces": {401},
}


@pytest.mark.parametrize("name", ODD)
def test_an_odd_configuration_ends_no_request_without_an_answer(name):
    """Guards against requests that end with a closed connection."""

    async def play():
        async with odd.Site() as site:
            traffic = odd.Traffic(site)
            await traffic.open_all()
            await site.put(**ODD[name])
            assert site.in_force()
            later = odd.Traffic(site)
            later.open_each(headers=(odd.TOKEN_USAGE,))
            await asyncio.sleep(0.5)
            site.break_a_stream()
            await asyncio.sleep(0.5)
            site.let_go()
            later.open_each(headers=(odd.TOKEN_USAGE,))
            assert await traffic.statuses() == {200}
            assert await later.statuses() == STATUSES.get(name, {200})
            await site.put()
            after = odd.Traffic(site)
            after.open_each()
            assert await after.statuses() == {200}
            assert site.counters.value("direct.request_failed") == 0
            assert site.errors == []
            assert not site.has_crashed

    sites.run(play())


def test_an_adjusted_configuration_is_in_force_and_reported():
    """Guards against a record that is refused as a whole, or changed unseen.

    A refused configuration would keep out the key that it takes away.
    """

    async def play():
        async with odd.Site() as site:
            changed = {"tenants": [{"name": "one", "api_keys": []}]}
            await site.put(**ODD["read_per_s 0"], **changed)
            answer = await site.ask()
            return answer.status, site.counters.value(
                "platform.records.adjusted"
            )

    assert sites.run(play()) == (401, 1)


def decode(**fields):
    """Returns the decoded configuration."""
    return records.decode_configuration(
        json.dumps(odd.config(2, **fields)).encode()
    )


def test_an_engine_without_a_reading_rate_reads_in_no_time():
    """Guards against a rate of zero by which request handlers divide."""
    for read_per_s in (0, -5):
        decoded = decode(**engine(read_per_s=read_per_s))
        assert decoded.services["plain"].engine.prefill_tokens_per_s == math.inf
        assert decoded.adjusted == (
            "plain read_per_s: prompts take no time to read",
        )
    unset = {k: v for k, v in ENGINE.items() if k != "read_per_s"}
    decoded = decode(service={"engine": unset})
    assert decoded.services["plain"].engine.prefill_tokens_per_s == math.inf
    assert decoded.adjusted == ()


def test_numbers_of_an_engine_are_bounded():
    """Guards against arithmetic that overflows, or divides by zero layers."""
    for fields, expected in (
        ({"slots": 0}, {"slots": 1}),
        ({"slots": 10**30}, {"slots": 2**31 - 1}),
        ({"stride": -1}, {"steps_per_pass": 1}),
        ({"stride": 10**400}, {"steps_per_pass": 2**31 - 1}),
        ({"layers": 0}, {"layers": 1}),
        ({"chunks": -3}, {"chunks": 0}),
        ({"chunk_bytes": 10**30}, {"chunk_bytes": 2**31 - 1}),
        ({"step_ms": -10}, {"step_s": 0.0}),
        ({"step_ms": HUGE}, {"step_s": 86_400.0}),
        ({"per_seq_ms": HUGE}, {"step_per_request_s": 86_400.0}),
        ({"report_lag_ms": -1}, {"report_lag_s": 0.0}),
        ({"report_lag_ms": HUGE}, {"report_lag_s": 86_400.0}),
        ({"usual": {"prompt": HUGE}}, {"typical_prompt_tokens": 2.0**31 - 1}),
        ({"usual": {"answer": -1}}, {"typical_answer_tokens": 0.0}),
        ({"models": [{"name": "m", "warm_s": -1}]}, {"load_s": 0.0}),
    ):
        decoded = decode(**engine(**fields))
        found = decoded.services["plain"].engine
        assert {name: getattr(found, name) for name in expected} == expected
        assert len(decoded.adjusted) == 1, fields
        assert math.isfinite(found.pass_s)


def test_numbers_of_a_route_are_bounded():
    """Guards against arithmetic that overflows."""
    for fields, expected in (
        ({"timeout_ms": -1}, {"timeout_s": 0.0}),
        ({"timeout_ms": HUGE}, {"timeout_s": 86_400.0}),
        ({"target_latency_ms": HUGE}, {"objective_s": 86_400.0}),
        ({"gap_target_ms": -1}, {"max_gap_s": 0.0}),
        ({"max_attempts": 0}, {"max_attempts": 1}),
        ({"max_attempts": 10**30}, {"max_attempts": 2**31 - 1}),
    ):
        decoded = decode(**route(**fields))
        found = decoded.routes[0]
        assert {name: getattr(found, name) for name in expected} == expected
        # Each of the three routes.
        assert len(decoded.adjusted) == 3, fields


def test_the_share_of_a_target_is_never_negative():
    """Guards against a draw by weights whose sum is infinite or negative."""
    targets = [{"service": s, "weight": w} for s, w in (("a", -1), ("b", 1))]
    decoded = decode(**route(backends=targets))
    assert [t.weight for t in decoded.routes[0].targets] == [0.0, 1.0]
    targets = [{"service": s, "weight": HUGE} for s in ("a", "b")]
    decoded = decode(**route(backends=targets))
    assert sum(t.weight for t in decoded.routes[0].targets) == 2e9


@pytest.mark.parametrize("decoder", [records, configurations.Decoder()])
def test_an_unchanged_route_is_reported_with_each_configuration(decoder):
    """Guards against adjustments that are lost with the reuse of a route."""
    value = json.dumps(odd.config(2, **route(timeout_ms=-1))).encode()
    for _ in range(2):
        decoded = decoder.decode_configuration(value)
        assert decoded.adjusted == tuple(
            f"route {kind} timeout_ms: out of range, 0.0 is used"
            for kind in ("safe", "once", "stream")
        )


def test_limits_of_callers_are_bounded():
    """Guards against an entry that closes each new connection unread."""
    for fields, expected in (
        ({"max_header_bytes": -1}, {"header_bytes": 512}),
        ({"max_header_bytes": 10**30}, {"header_bytes": 1 << 20}),
        ({"max_body_bytes": -1}, {"body_bytes": 0}),
        ({"max_body_bytes": 10**30}, {"body_bytes": 2**31 - 1}),
        ({"header_timeout_ms": 0}, {"header_timeout_s": 0.25}),
        ({"idle_timeout_ms": 0}, {"idle_timeout_s": 0.25}),
        ({"idle_timeout_ms": HUGE}, {"idle_timeout_s": 86_400.0}),
    ):
        decoded = decode(**limits(**fields))
        found = decoded.limits
        assert {name: getattr(found, name) for name in expected} == expected
        assert len(decoded.adjusted) == 1, fields


def test_a_request_in_parts_is_answered_without_a_header_timeout():
    """Guards against a connection that closes between two parts of a head."""

    async def play():
        async with odd.Site() as site:
            site.let_go()
            await site.put(**limits(header_timeout_ms=0, max_header_bytes=0))
            async with sites.Caller(site) as caller:
                caller.writer.write(b"GET /safe/1 HTTP/1.1\r\n")
                await asyncio.sleep(0.1)
                caller.writer.write(
                    b"Host: h.example\r\nX-Clementinegw-Attempt-Id: a\r\n"
                    b"Authorization: Token " + sites.KEY.encode() + b"\r\n\r\n"
                )
                return (await caller.answer()).status

    assert sites.run(play()) == 200


def test_a_customer_whose_name_is_no_header_crashes_no_server():
    """Guards against requests that count as crashes of healthy servers."""

    async def play():
        async with odd.Site() as site:
            site.let_go()
            tenants = [
                {"name": "o\r\nne", "api_keys": ["odd", "odd-2"]},
                {"name": "two", "api_keys": [sites.KEY]},
            ]
            await site.put(tenants=tenants)
            sent_before = sum(len(s.calls) for s in site.servers)
            odd_answer = await site.ask(key="odd")
            assert sum(len(s.calls) for s in site.servers) == sent_before
            assert site.counters.value("direct.attempt.broken") == 0
            assert site.counters.value("platform.records.adjusted") == 1
            answer = await site.ask()
            call = [c for s in site.servers for c in s.calls][-1]
            return (
                odd_answer.status,
                answer.status,
                call.headers["x-clementinegw-tenant"],
            )

    assert sites.run(play()) == (401, 200, "two")


@pytest.mark.parametrize("name", ["a\nb", " a", "a ", "a\t", "a\0b", "a\x1fb"])
def test_a_name_that_cannot_stand_in_a_header_has_no_keys(name):
    """Guards against a request that cannot be written to a connection."""
    decoded = decode(tenants=[{"name": name, "api_keys": ["k"]}])
    assert (dict(decoded.customers), decoded.requires_key) == ({}, True)
    assert decoded.adjusted == (
        f"tenant {name!a}: not valid in a header, its keys are not accepted",
    )


@pytest.mark.parametrize("name", ["", "a b", "ğ日", "a-1"])
def test_other_names_are_accepted(name):
    """Guards against keys that are refused for no reason."""
    decoded = decode(tenants=[{"name": name, "api_keys": ["k"]}])
    assert decoded.customers["k"].name == name
    assert decoded.adjusted == ()


@pytest.mark.parametrize(
    ("prefix", "expected"),
    [("a", "/a/"), ("/a", "/a/"), ("a/", "/a/"), ("", "/"), ("//a//", "//a//")],
)
def test_a_prefix_begins_and_ends_with_a_slash(prefix, expected):
    """Guards against a route that no path can match."""
    routes = [{**odd.config(2)["routes"][0], "path_prefix": prefix}]
    decoded = decode(routes=routes)
    assert decoded.routes[0].prefix == expected
    assert len(decoded.adjusted) == (prefix != expected)


def test_a_declared_version_out_of_range_is_refused():
    """Guards against a subscription that cannot be encoded.

    The error ended the entry's tasks: it read no topic any more.
    """

    async def play():
        async with odd.Site() as site:
            traffic = odd.Traffic(site)
            await site.put(**engine())
            await traffic.open_all()
            for version in (10**30, -(10**30), -1):
                declared = {"model": "m", "version": version}
                site.store.put("keyed.op", "version/m", declared)
                await asyncio.sleep(odd.APPLY_S)
            site.let_go()
            traffic.open_each()
            assert await traffic.statuses() == {200}
            assert site.errors == []
            assert not site.has_crashed
            assert site.counters.value("platform.records.unreadable") == 3

    sites.run(play())


_DRAINING = "draining"
# Changes of the records of all servers, and whether requests are served then.
ODD_SERVERS = {
    "slots shrink": ({"slots": 1}, True),
    "slots 0": ({"slots": 0}, False),
    "slots huge": ({"slots": 2**31 - 1}, True),
    "slots too large": ({"slots": 10**30}, False),
    "weights of an older version": (
        {
            "models": [
                {
                    "name": "m",
                    "version": 0,
                    "layers": {"from": 0, "target": 64, "version": 0},
                }
            ]
        },
        True,
    ),
    "weights without a gap": (
        {"layers": {"from": 8, "target": 4}, "models": []},
        True,
    ),
    "another service": ({"service": "other"}, False),
    "service empty": ({"service": ""}, False),
    "zone unknown": ({"zone": "nowhere"}, True),
    "state unknown": ({"state": "odd"}, False),
    _DRAINING: ({"state": "draining"}, False),
    "address without a listener": ({"address": "127.0.0.1:1"}, False),
    "address of another family": ({"address": "::1:1"}, False),
    "address malformed": ({"address": "nowhere"}, False),
    "another start": ({"born": 2**53}, True),
    "sequence too large": ({"sequence": 10**30}, False),
}


@pytest.mark.parametrize("name", ODD_SERVERS)
@pytest.mark.parametrize("has_engine", [False, True])
def test_an_odd_server_record_ends_no_request_without_an_answer(
    name, has_engine
):
    """Guards against requests that end with a closed connection."""
    fields, is_served = ODD_SERVERS[name]
    is_served = is_served and not (has_engine and "weights" in name)

    async def play():
        async with odd.Site() as site:
            if has_engine:
                await site.put(**engine())
            traffic = odd.Traffic(site)
            await traffic.open_all()
            for server in site.servers:
                site.list_server(server, **fields)
            await asyncio.sleep(odd.APPLY_S)
            later = odd.Traffic(site)
            later.open_each()
            await asyncio.sleep(0.5)
            site.let_go()
            begun = await traffic.statuses()
            assert begun <= {200, 503}
            assert await later.statuses() <= (
                {200} if is_served else {200, 503}
            )
            for server in site.servers:
                site.list_server(server, sequence=2)
            await asyncio.sleep(odd.APPLY_S + 4.0)
            after = odd.Traffic(site)
            after.open_each()
            # A start that leaves never comes back.
            expected = {503} if name == _DRAINING else {200}
            assert await after.statuses() == expected
            assert site.counters.value("direct.request_failed") == 0
            assert site.errors == []
            assert not site.has_crashed

    sites.run(play())


@pytest.mark.parametrize("seed", range(6))
def test_odd_records_in_series_end_no_request_without_an_answer(seed):
    """Guards against states that only several odd records lead to."""
    rng = random.Random(seed)
    server_names = sorted(ODD_SERVERS.keys() - {_DRAINING})

    async def play():
        async with odd.Site() as site:
            for _ in range(12):
                traffic = odd.Traffic(site)
                await traffic.open_all()
                for name in rng.sample(sorted(ODD), 3):
                    await site.put(**ODD[name])
                    traffic.open_each(headers=(odd.TOKEN_USAGE,))
                name = rng.choice(server_names)
                site.list_server(
                    rng.choice(site.servers), **ODD_SERVERS[name][0]
                )
                await asyncio.sleep(odd.APPLY_S)
                await site.put()
                traffic.open_each()
                site.let_go()
                assert 0 not in await traffic.statuses()
                site.hold()
                for server in site.servers:
                    site.list_server(server)
                await asyncio.sleep(odd.APPLY_S)
            site.let_go()
            await asyncio.sleep(4.0)
            traffic = odd.Traffic(site)
            traffic.open_each()
            assert await traffic.statuses() == {200}
            assert site.counters.value("direct.request_failed") == 0
            assert site.errors == []
            assert not site.has_crashed

    sites.run(play())


def test_a_server_is_listed_under_a_huge_limit_of_connections():
    """Guards against an error that ends the reading of the server list."""

    async def play():
        async with odd.Site() as site:
            site.let_go()
            await site.put(service={"max_connections": 10**400})
            site.list_server(site.servers[0], address="127.0.0.1:1")
            await asyncio.sleep(odd.APPLY_S)
            site.list_server(site.servers[0], sequence=2)
            site.list_server(site.servers[1], state="draining")
            await asyncio.sleep(odd.APPLY_S)
            traffic = odd.Traffic(site)
            traffic.open_each()
            assert await traffic.statuses() == {200}
            assert not site.entry._server_list.crashed

    sites.run(play())


def test_numbers_of_a_service_are_bounded():
    """Guards against arithmetic that overflows."""
    fields = {"max_connections": 0, "origin": "10.0.0.1:80", "link_mbps": HUGE}
    service = decode(service=fields).services["plain"]
    assert service.max_connections == service.origin.max_connections == 1
    assert math.isfinite(service.origin.link_bytes_per_s)
    service = decode(service={"max_connections": 10**400}).services["plain"]
    assert service.max_connections == 2**31 - 1


def test_a_stream_whose_event_ids_end_with_a_space_is_resumed():
    """Guards against a stream that is broken off though it could go on.

    The id is sent to the next server in a header, which cannot end with one.
    """

    async def play():
        async def answer(call):
            call.begin_stream()
            if "last-event-id" in call.headers:
                call.event(2)
                call.end_stream()
                return
            event = b"id: 1 \ndata: 1\n\n"
            call.send(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(0.1)
            call.reset()

        async with sites.Site("i-1", "i-2", on_call=answer) as site:
            stream = await site.ask("/stream/1")
            return stream.complete, stream.body

    assert sites.run(play()) == (
        True,
        b"id: 1 \ndata: 1\n\nid: 2\ndata: 2\n\n",
    )
