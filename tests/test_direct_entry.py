"""Tests what callers get from an entry whose servers fail in various ways."""

import asyncio

import platform_site as sites
import pytest

from clementinegw import exceptions
from clementinegw.direct import client
from clementinegw.direct import outcomes


def test_an_answer_is_relayed_unchanged():
    async def play():
        async with sites.Site("i-1") as site:
            answer = await site.ask("/safe/1?x=%20y", body=b"abc")
            call = site.servers[0].calls[0]
            return answer, call

    answer, call = sites.run(play())
    assert (answer.status, answer.body) == (200, b"whole")
    assert answer.headers["x-clementinegw-response-seal"] == "seal-a1"
    assert (call.head.target, call.body) == (b"/safe/1?x=%20y", b"abc")
    assert call.headers["x-clementinegw-tenant"] == "one"
    assert "authorization" not in call.headers
    assert int(call.headers["x-clementinegw-deadline-ms"]) <= 2500


def test_tenant_and_server_headers_of_callers_are_not_forwarded():
    """A caller was served as another customer.

    It sent the header that names the customer to the server, and headers were
    forwarded unchanged.
    """

    async def play():
        async with sites.Site("i-1") as site:
            await site.ask(
                headers=(
                    "X-Clementinegw-Tenant: other",
                    "X-Clementinegw-Expect-Instance: i-9",
                    "Connection: x-clementinegw-attempt-id",
                )
            )
            return site.servers[0].calls[0]

    call = sites.run(play())
    assert call.headers["x-clementinegw-tenant"] == "one"
    assert call.headers["x-clementinegw-expect-instance"] == "i-1"
    assert call.attempt_id == "a1"


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/none/1", sites.KEY, 404),
        ("/safe/1", "unknown", 401),
        ("/safe/1", "", 401),
    ],
)
def test_unknown_routes_and_keys_are_refused(path, key, status):
    async def play():
        async with sites.Site("i-1") as site:
            answer = await site.ask(path, key=key)
            return answer, len(site.servers[0].calls)

    answer, calls = sites.run(play())
    assert (answer.status, calls) == (status, 0)


def test_a_second_answer_is_not_relayed_to_the_next_caller():
    """A caller got the answer to another request.

    A server sent a second answer after a complete one. The connection was
    reused, and the unread bytes were taken for the answer to the next request.
    """

    def answer_twice(call):
        call.answer(b"first of " + call.attempt_id.encode())
        call.answer(b"again " + call.attempt_id.encode())

    async def play():
        async with sites.Site("i-1", on_call=answer_twice) as site:
            bodies = []
            for name in ("x1", "x2", "x3"):
                answer = await site.ask("/once/1", attempt_id=name)
                bodies.append(answer.body)
                await asyncio.sleep(0.01)
            return bodies

    bodies = sites.run(play())
    assert bodies == [b"first of x1", b"first of x2", b"first of x3"]


def test_an_answer_to_another_attempt_is_not_relayed():
    async def play():
        def crossed(call):
            call.answer(attempt_id="someone-elses")

        async with sites.Site("i-1", on_call=crossed) as site:
            return await site.ask("/once/1")

    answer = sites.run(play())
    assert answer.status == 502
    assert "x-clementinegw-response-seal" not in answer.headers


def test_a_broken_answer_is_retried_only_on_idempotent_routes():
    """An order was booked twice.

    A server ran the request and its answer broke. It was sent to another
    server, because a lost answer was taken for proof that nothing had run.
    """

    def broken(call):
        call.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
        call.reset()

    async def play(path):
        async with sites.Site("i-1", "i-2", on_call=broken) as site:
            answer = await site.ask(path)
            return answer.status, sum(len(s.calls) for s in site.servers)

    assert sites.run(play("/once/1")) == (502, 1)
    assert sites.run(play("/safe/1")) == (502, 2)


def test_a_request_is_refused_after_two_crashes():
    """One request crashed a server after the other each time it was repeated.

    It was refused only after three crashes, counted by each entry alone.
    """

    def crash(call):
        if call.body == b"bad":
            call.reset()
        else:
            call.answer()

    async def play():
        async with sites.Site(
            "i-1", "i-2", "i-3", "i-4", on_call=crash
        ) as site:
            answers = [
                (await site.ask("/safe/1", body=b"bad", attempt_id=f"b{n}"))
                for n in range(5)
            ]
            crashes = sum(len(s.calls) for s in site.servers)
            other = await site.ask("/safe/1", body=b"good")
            return [answer.status for answer in answers], crashes, other.status

    statuses, crashes, other = sites.run(play())
    assert statuses == [502, 503, 503, 503, 503]
    assert (crashes, other) == (2, 200)


def test_a_request_that_no_server_ran_gets_503_with_retry_after():
    async def play():
        async with sites.Site(
            "i-1", on_call=lambda call: call.reject()
        ) as site:
            return await site.ask("/once/1")

    answer = sites.run(play())
    assert answer.status == 503
    assert 0.0 < float(answer.headers["retry-after"]) < 1.0


def test_a_bare_503_of_a_server_is_not_relayed():
    """A caller repeated a request that had run, because it received 503.

    A server answered 503 without stating that it had not run the request, and
    its status was relayed.
    """

    async def play():
        def failing(call):
            call.answer(b"", 503)

        async with sites.Site("i-1", on_call=failing) as site:
            return await site.ask("/once/1")

    assert sites.run(play()).status == 502


def test_an_unsealed_success_is_not_relayed():
    async def play():
        def unsealed(call):
            call.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        async with sites.Site("i-1", on_call=unsealed) as site:
            return await site.ask("/once/1")

    assert sites.run(play()).status == 502


def test_a_server_at_the_address_of_another_does_not_run_a_request():
    """A request was run by a server of another service.

    A server ended and its address was given to a server of another service
    before the list of servers was updated. Only the address named the server.
    """

    async def play():
        async with sites.Site("i-1") as site:
            site.servers[0].name = "i-other"
            return await site.ask("/once/1")

    assert sites.run(play()).status == 503


def test_a_start_that_is_gone_is_asked_once():
    """Requests were refused for two seconds after a loss of power.

    All servers started anew at their addresses, and the platform listed the
    former starts until these expired. Requests were sent to them repeatedly
    until the retries were used up, because a server that answered with another
    start was skipped only briefly.
    """

    async def play():
        async with sites.Site("i-1", "i-2") as site:
            former = site.servers[0]
            former.name = "i-1-again"
            for number in range(20):
                answer = await site.ask("/once/1", attempt_id=f"b{number}")
                assert answer.status == 200
                await asyncio.sleep(0.4)
            return len(former.calls)

    assert sites.run(play()) <= 1


def test_a_stream_resumes_at_another_server_without_gap_or_repeat():
    """A stream ended early, or an event was relayed twice.

    A server crashed in the middle of an event of a resumable stream. The
    partial event was relayed, or the other server began from the start.
    """

    def stream(call):
        begin = int(call.headers.get("last-event-id", 0))
        call.begin_stream()
        for number in range(begin + 1, 7):
            if number == 4 and not begin:
                call.send(b"10\r\nid: 4\ndata")
                call.reset()
                return
            call.event(number)
        call.end_stream()

    async def play():
        async with sites.Site("i-1", "i-2", on_call=stream) as site:
            return await site.ask("/stream/1")

    answer = sites.run(play())
    expected = "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, 7))
    assert (answer.complete, answer.body) == (True, expected.encode())
    assert answer.headers["x-clementinegw-response-seal"] == "seal-a1"


def test_a_stream_that_cannot_resume_ends_incomplete():
    def stream(call):
        call.begin_stream()
        call.event(1)
        call.reset()

    async def play():
        async with sites.Site("i-1", on_call=stream) as site:
            site.store.put(
                "keyed.op",
                "config",
                {
                    **sites.config(2),
                    "routes": [
                        {**route, "stream_resume": False}
                        for route in sites.config()["routes"]
                    ],
                },
            )
            await asyncio.sleep(0.1)
            return await site.ask("/stream/1")

    answer = sites.run(play())
    assert (answer.status, answer.complete) == (200, False)


def test_a_stream_not_yet_begun_is_withdrawn_before_a_version_is_due():
    """A request began on the former version after the newer one was due.

    It was sent shortly before that time to a server with the former version,
    waited there and began just after it, though another server had the newer
    version. Nothing withdrew it in time.
    """
    began = []

    async def slow(call):
        await asyncio.sleep(0.75)
        began.append("old")
        call.begin_stream()
        call.event(1)
        call.end_stream()

    def quick(call):
        call.begin_stream()
        call.event(1)
        call.end_stream()

    async def play():
        async with sites.Site("i-1", "i-2", on_call=slow) as site:
            engine = {"slots": 8, "step_ms": 7.0, "models": [{"name": "m"}]}
            service = {"name": "plain", "engine": engine}
            change = sites.config(2, services=[service])
            site.store.put("keyed.op", "config", change)
            old, new = site.servers
            new.on_call = quick
            site.list_version(old, 1)
            site.store.put("keyed.servers", new.name, None)
            version = {"model": "m", "version": 2}
            site.store.put("keyed.op", "version/m", version)
            due_s = site.entry._instance.bounds.weights_ms / 1e3
            await asyncio.sleep(due_s - 0.7)
            headers = ["X-Clementinegw-Model: m"]
            task = asyncio.ensure_future(site.ask("/stream/1", headers=headers))
            await asyncio.sleep(0.1)
            site.list_version(new, 2)
            answer = await task
            return answer, len(old.calls), len(new.calls)

    answer, old_calls, new_calls = sites.run(play())
    assert (answer.status, answer.complete) == (200, True)
    assert (old_calls, new_calls, began) == (1, 1, [])


def test_a_disconnected_caller_ends_the_work_at_the_server():
    """Servers worked for callers that had disconnected.

    A caller closed its connection while a server worked, and the connection to
    the server was kept open until the answer.
    """

    async def play():
        async def slow(call):
            await asyncio.sleep(30.0)

        async with sites.Site("i-1", on_call=slow) as site:
            async with sites.Caller(site) as caller:
                caller.send()
                await asyncio.sleep(0.1)
                assert len(site.servers[0].calls) == 1
            await asyncio.sleep(0.1)
            open_requests = site.entry._server.open_requests
            return open_requests, site.entry._fleet.find("i-1").in_flight

    assert sites.run(play()) == (0, 0)


def test_a_request_is_answered_with_504_at_its_timeout():
    async def play():
        async def slow(call):
            await asyncio.sleep(30.0)

        async with sites.Site("i-1", on_call=slow) as site:
            began_at = asyncio.get_running_loop().time()
            answer = await site.ask("/once/1")
            return answer.status, asyncio.get_running_loop().time() - began_at

    status, elapsed_s = sites.run(play())
    assert status == 504
    assert 2.4 < elapsed_s < 2.7


def test_invalid_http_gets_400_and_affects_no_other_connection():
    async def play():
        async with sites.Site("i-1") as site:
            async with sites.Caller(site) as caller:
                caller.writer.write(
                    b"POST /safe/1 HTTP/1.1\r\nHost: h\r\n"
                    b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"
                    b"Content-Length: 7\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n"
                )
                bad = await caller.answer()
            good = await site.ask()
            return bad.status, good.status, len(site.servers[0].calls)

    assert sites.run(play()) == (400, 200, 1)


def test_a_body_over_the_limit_is_refused():
    async def play():
        async with sites.Site("i-1") as site:
            limits = {"max_body_bytes": 1000}
            site.store.put(
                "keyed.op", "config", {**sites.config(2), "limits": limits}
            )
            await asyncio.sleep(0.1)
            answer = await site.ask(body=b"x" * 1001)
            return answer.status, len(site.servers[0].calls)

    assert sites.run(play()) == (413, 0)


# Configuration.


def test_a_change_applies_at_once_and_an_older_one_is_ignored():
    """A removed route was served again.

    Version 3 was in force when the platform lost history and version 2 was read
    once more. The record that was read last was applied.
    """

    async def play():
        async with sites.Site("i-1") as site:
            empty = {**sites.config(3), "routes": []}
            site.store.put("keyed.op", "config", empty)
            await asyncio.sleep(0.1)
            removed = await site.ask()
            site.store.put("keyed.op", "config", sites.config(2))
            await asyncio.sleep(0.1)
            again = await site.ask()
            return removed.status, again.status

    assert sites.run(play()) == (404, 404)


def test_a_malformed_configuration_is_ignored():
    async def play():
        async with sites.Site("i-1") as site:
            site.store.put("keyed.op", "config", {"version": "seven"})
            site.store.put("keyed.servers", "i-9", {"service": 4})
            await asyncio.sleep(1.0)
            return (await site.ask()).status

    assert sites.run(play()) == 200


def test_keys_are_not_served_on_an_old_configuration():
    """A revoked key was served by a machine that was cut off.

    The store fell silent for one machine and a key was revoked, which that
    machine did not learn. The age of the configuration was not tracked.
    """

    async def play():
        async with sites.Site("i-1") as site:
            await asyncio.sleep(2.5)
            site.store.silent = True
            await asyncio.sleep(2.0)
            early = await site.ask()
            await asyncio.sleep(4.0)
            late = await site.ask()
            ready = site.entry.ready
            unknown = await site.ask("/none/1")
            return early.status, late.status, ready, unknown.status

    assert sites.run(play()) == (200, 503, False, 503)


def test_an_entry_that_is_cut_off_closes_callers_connections():
    """Callers of one entry were refused while other entries could serve them.

    The store fell silent for one machine and the load balancer sent no new
    connections there, but callers stayed on their open connections.
    """

    async def play():
        async with sites.Site("i-1") as site:
            fresh = await site.ask()
            site.store.silent = True
            await asyncio.sleep(8.0)
            return fresh, await site.ask(), await site.ask("/none/1")

    fresh, *refused = sites.run(play())
    assert "connection" not in fresh.headers
    assert [a.status for a in refused] == [503, 503]
    assert [a.headers["connection"] for a in refused] == ["close", "close"]


# Start and end.


def test_an_entry_without_a_configuration_answers_503():
    async def play():
        async with sites.Site("i-1") as site:
            site.entry._config_view.catalog = None
            return (await site.ask()).status, site.entry.ready

    assert sites.run(play()) == (503, False)


def test_a_stopping_entry_completes_open_requests():
    """A release of the entries aborted requests.

    SIGTERM came while a request ran, and the load balancer sends new
    connections until it has checked twice. The process ended, or closed its
    port, at once.
    """

    async def play():
        async def slow(call):
            await asyncio.sleep(2.0)
            call.answer()

        async with (
            sites.Site("i-1", on_call=slow) as site,
            sites.Caller(site) as first,
        ):
            first.send()
            await asyncio.sleep(0.1)
            draining = asyncio.ensure_future(site.entry.drain())
            await asyncio.sleep(1.0)
            ready = site.entry.ready
            second = await site.ask()
            answer = await first.answer()
            await draining
            return answer.status, second.status, ready

    assert sites.run(play()) == (200, 200, False)


def test_servers_out_of_reach_are_not_tried_over_and_over(monkeypatch):
    """One request opened up to 220 connections in 0.8 s.

    A failure domain was cut off, and all its known servers of a service refused
    connections at once. Only sends counted towards the limit, and if all
    servers were in cooldown each was tried again immediately.
    """
    refusals = []

    async def refuse(address, timeout_s):
        del address, timeout_s
        refusals.append(1)
        await asyncio.sleep(0.01)
        raise client.ConnectFailed("refused")

    async def play():
        async with sites.Site("i-1", "i-2") as site:
            monkeypatch.setattr(client, "connect", refuse)
            for server in site.servers:
                site.entry._fleet.find(server.name).pool.close()
            await site.ask()

    sites.run(play())
    assert len(refusals) <= 8


def test_removing_the_last_key_refuses_all_callers():
    """A removed key was served, and so were callers without a key.

    Operators removed the last key of the last customer, and keys were required
    only if the configuration had any.
    """

    async def play():
        async with sites.Site("a") as site:
            assert (await site.ask()).status == 200
            customers = [{"name": "one", "api_keys": []}]
            change = sites.config(2, tenants=customers)
            site.store.put("keyed.op", "config", change)
            await asyncio.sleep(1.0)
            return (await site.ask()).status, (await site.ask(key="")).status

    assert sites.run(play()) == (401, 401)


@pytest.mark.parametrize(
    "reason", [outcomes.NotRunReason.LEFT, outcomes.NotRunReason.TOO_OLD]
)
def test_the_number_of_withdrawals_before_sending_is_bounded(
    reason,
):
    """A request chose servers in a tight loop until its deadline.

    Each time it was withdrawn right before it was sent, which did not count
    towards any limit.
    """

    async def play():
        async with sites.Site("a") as site:
            attempts = []

            async def withdraw(*_):
                attempts.append(reason)
                if len(attempts) > 50:
                    raise exceptions.InvariantError("too many attempts")
                return outcomes.NotRun(reason)

            site.entry._forwarder._attempt_runner.run = withdraw
            answer = await site.ask()
            return answer.status, len(attempts)

    status, attempts = sites.run(play())
    assert status == 503
    assert attempts <= 4
