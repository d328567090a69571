"""An entry before servers that fail in every way: what callers get."""

import asyncio

import platform_site as sites
import pytest

from clementinegw import exceptions
from clementinegw.direct import client
from clementinegw.direct import outcomes


def test_an_answer_comes_back_as_the_server_gave_it():
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


def test_the_callers_own_words_about_tenant_and_server_are_not_passed_on():
    """Symptom: a caller is served as another customer.

    Sequence: it sends the header that names the customer to the server itself.
    Cause: headers were passed on as they came.
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
def test_what_the_configuration_does_not_know_is_refused(path, key, status):
    async def play():
        async with sites.Site("i-1") as site:
            answer = await site.ask(path, key=key)
            return answer, len(site.servers[0].calls)

    answer, calls = sites.run(play())
    assert (answer.status, calls) == (status, 0)


def test_a_second_answer_is_never_handed_to_the_next_caller():
    """Symptom: a caller gets the answer to another request.

    Sequence: a server sends a second answer behind a whole one; the connection
    is kept and the next request goes out on it. Cause: unread bytes were taken
    for the next answer.
    """

    def twice(call):
        call.answer(b"first of " + call.attempt_id.encode())
        call.answer(b"again " + call.attempt_id.encode())

    async def play():
        async with sites.Site("i-1", on_call=twice) as site:
            bodies = []
            for name in ("x1", "x2", "x3"):
                answer = await site.ask("/once/1", attempt_id=name)
                bodies.append(answer.body)
                await asyncio.sleep(0.01)
            return bodies

    bodies = sites.run(play())
    assert bodies == [b"first of x1", b"first of x2", b"first of x3"]


def test_an_answer_to_another_attempt_is_no_answer():
    async def play():
        def crossed(call):
            call.answer(attempt_id="someone-elses")

        async with sites.Site("i-1", on_call=crossed) as site:
            return await site.ask("/once/1")

    answer = sites.run(play())
    assert answer.status == 502
    assert "x-clementinegw-response-seal" not in answer.headers


def test_a_broken_answer_is_repeated_where_it_may_be_and_only_there():
    """Symptom: an order is booked twice.

    Sequence: a server runs it and breaks off its answer; another server is
    asked. Cause: a lost answer was taken for proof that nothing ran.
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


def test_what_crashes_servers_is_refused_after_the_second():
    """One request crashed a server after the other, each time it came again.

    Crashes were counted up to three, and at each entry by itself.
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
            told = [
                (await site.ask("/safe/1", body=b"bad", attempt_id=f"b{n}"))
                for n in range(5)
            ]
            crashes = sum(len(s.calls) for s in site.servers)
            other = await site.ask("/safe/1", body=b"good")
            return [answer.status for answer in told], crashes, other.status

    statuses, crashes, other = sites.run(play())
    assert statuses == [502, 503, 503, 503, 503]
    assert (crashes, other) == (2, 200)


def test_a_request_that_no_server_ran_is_told_so_with_a_time():
    async def play():
        async with sites.Site(
            "i-1", on_call=lambda call: call.reject()
        ) as site:
            return await site.ask("/once/1")

    answer = sites.run(play())
    assert answer.status == 503
    assert 0.0 < float(answer.headers["retry-after"]) < 1.0


def test_a_promise_that_a_server_did_not_make_is_not_passed_on():
    """Symptom: a caller repeats what has run, since it was told 503.

    Sequence: a server answers 503 without saying that it did not run the
    request. Cause: its status was passed on.
    """

    async def play():
        def failing(call):
            call.answer(b"", 503)

        async with sites.Site("i-1", on_call=failing) as site:
            return await site.ask("/once/1")

    assert sites.run(play()).status == 502


def test_an_unsealed_success_is_none():
    async def play():
        def unsealed(call):
            call.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        async with sites.Site("i-1", on_call=unsealed) as site:
            return await site.ask("/once/1")

    assert sites.run(play()).status == 502


def test_a_server_that_took_the_address_of_another_does_not_run_it():
    """Symptom: a request is run by another service.

    Sequence: a server ends and its address is given to a server of another
    service while the list is behind. Cause: only the address named the server.
    """

    async def play():
        async with sites.Site("i-1") as site:
            site.servers[0].name = "i-other"
            return await site.ask("/once/1")

    assert sites.run(play()).status == 503


def test_a_start_that_is_gone_is_asked_once():
    """Symptom: refusals for two seconds behind a loss of power.

    Sequence: all servers start again at their addresses; the platform lists
    the former starts until they run out; each request is sent to those again
    and again, until the repeats are used up. Cause: who answers "another one
    has my address" was passed over for a moment only.
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


def test_a_stream_goes_on_at_another_server_without_gap_or_repeat():
    """Symptom: a stream ends early, or an event comes twice.

    Sequence: a server crashes in the middle of an event of a stream that may
    be resumed. Cause: the half event was passed on, or the other server was
    asked from the beginning.
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


def test_a_stream_that_cannot_go_on_ends_broken():
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


def test_a_stream_that_has_not_begun_is_taken_back_before_a_version_is_due():
    """Symptom: a request begins on the former version after the due time.

    Sequence: it is sent shortly before that time to a server on the former
    version, waits there, and begins just after it; another server has the
    newer one. Cause: nothing took it back in time.
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
            asking = asyncio.ensure_future(
                site.ask("/stream/1", headers=headers)
            )
            await asyncio.sleep(0.1)
            site.list_version(new, 2)
            answer = await asking
            return answer, len(old.calls), len(new.calls)

    answer, olds, news = sites.run(play())
    assert (answer.status, answer.complete) == (200, True)
    assert (olds, news, began) == (1, 1, [])


def test_a_caller_that_leaves_ends_the_work_at_the_server():
    """Symptom: servers work for callers that have left.

    Sequence: a caller closes its connection while a server works. Cause: the
    connection to the server was kept until its answer.
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


def test_a_request_is_answered_at_its_timeout():
    async def play():
        async def slow(call):
            await asyncio.sleep(30.0)

        async with sites.Site("i-1", on_call=slow) as site:
            began = asyncio.get_running_loop().time()
            answer = await site.ask("/once/1")
            return answer.status, asyncio.get_running_loop().time() - began

    status, took = sites.run(play())
    assert status == 504
    assert 2.4 < took < 2.7


def test_bytes_that_break_http_get_a_clear_end_and_harm_nobody_else():
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


def test_a_change_is_in_force_at_once_and_an_older_one_never_again():
    """Symptom: a route that was taken away is served again.

    Sequence: version 3 is in force; the platform loses history and version 2
    is read once more. Cause: whatever came last was taken over.
    """

    async def play():
        async with sites.Site("i-1") as site:
            empty = {**sites.config(3), "routes": []}
            site.store.put("keyed.op", "config", empty)
            await asyncio.sleep(0.1)
            gone = await site.ask()
            site.store.put("keyed.op", "config", sites.config(2))
            await asyncio.sleep(0.1)
            again = await site.ask()
            return gone.status, again.status

    assert sites.run(play()) == (404, 404)


def test_a_malformed_configuration_leaves_the_last_good_one_in_force():
    async def play():
        async with sites.Site("i-1") as site:
            site.store.put("keyed.op", "config", {"version": "seven"})
            site.store.put("keyed.servers", "i-9", {"service": 4})
            await asyncio.sleep(1.0)
            return (await site.ask()).status

    assert sites.run(play()) == 200


def test_keys_are_not_served_on_old_knowledge():
    """Symptom: a key that was taken away is served by a machine cut off.

    Sequence: the store falls silent for one machine; keys are taken away. For
    that machine nothing changes. Cause: knowledge had no age.
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


def test_a_caller_is_sent_elsewhere_by_a_process_that_is_cut_off():
    """Symptom: callers of one entry are refused while others would serve them.

    Sequence: the store falls silent for one machine; the balancer sends no new
    connections there. Cause: callers stayed on the ones that they had.
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


def test_a_process_that_knows_no_configuration_says_not_yet():
    async def play():
        async with sites.Site("i-1") as site:
            site.entry._config_view.catalog = None
            return (await site.ask()).status, site.entry.ready

    assert sites.run(play()) == (503, False)


def test_a_process_that_is_told_to_stop_cuts_off_no_request():
    """Symptom: a release of the entries cuts requests off.

    Sequence: SIGTERM while a request runs; the balancer goes on sending new
    connections until it has asked twice. Cause: the process ended, or closed
    its port, at once.
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
    """Symptom: one request makes up to 220 connections in 0.8 s.

    Sequence: a failure domain is cut off, and all servers of a service that it
    knows refuse connections at once. Cause: only sends count towards the
    limit, and where all servers rest each is tried again at once.
    """
    refusals = []

    async def refused(address, timeout_s):
        del address, timeout_s
        refusals.append(1)
        await asyncio.sleep(0.01)
        raise client.ConnectFailed("refused")

    async def play():
        async with sites.Site("i-1", "i-2") as site:
            monkeypatch.setattr(client, "connect", refused)
            for server in site.servers:
                site.entry._fleet.find(server.name).pool.close()
            await site.ask()

    sites.run(play())
    assert len(refusals) <= 8


def test_customers_without_any_key_let_nobody_in():
    """A key that had been taken away was served, and so were callers without.

    Operators took away the last key of the last customer. Whether keys are
    asked for was told from whether there are any.
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
def test_a_request_that_is_given_up_before_it_is_sent_is_not_tried_for_ever(
    reason,
):
    """A request chose servers over and over, without a pause, until its end.

    Each time it was given up right before it was sent, which counted towards no
    limit.
    """

    async def play():
        async with sites.Site("a") as site:
            tries = []

            async def give_up(*_):
                tries.append(reason)
                if len(tries) > 50:
                    raise exceptions.InvariantError("over and over")
                return outcomes.NotRun(reason)

            site.entry._forwarder._attempt_runner.run = give_up
            answer = await site.ask()
            return answer.status, len(tries)

    status, tries = sites.run(play())
    assert status == 503
    assert tries <= 4
