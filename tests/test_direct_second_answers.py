"""Tests answers that a server sends a second time, late, or cut."""

import asyncio
import random

from adapter import weights
import platform_site
import pytest

from clementinegw import types
from clementinegw.direct import expiry as expiries
from clementinegw.direct import job as jobs
from clementinegw.direct import outcomes

# Statuses that promise a caller that its request has not run.
_NOT_RUN = (408, 421, 429, 503)
_KINDS = ("once", "final")
_REJECTION = (
    b"HTTP/1.1 503 X\r\n"
    b"X-Clementinegw-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class _Site(platform_site.Site):
    """A site with a route whose streams may not be resumed besides."""

    async def __aenter__(self):
        config = platform_site.config()
        route = {**config["routes"][-1], "stream_resume": False}
        route |= {"name": "final", "path_prefix": "/final/"}
        await super().__aenter__()
        config = platform_site.config(2, routes=[*config["routes"], route])
        self.store.put("keyed.op", "config", config)
        await asyncio.sleep(0.1)
        return self


def _serve(call):
    """Answers a request that has run."""
    if not call.head.target.startswith((b"/stream/", b"/final/")):
        call.answer(f"answer to {call.attempt_id}".encode())
        return
    call.begin_stream()
    for number in range(1, 4):
        call.event(number)
    call.end_stream()


def _reject(call, status):
    """Rejects a request; a wrong server names itself."""
    headers = ["X-Clementinegw-Not-Executed: 1"]
    if status == 421:
        headers = [f"X-Clementinegw-Instance-Id: {call.expected}"]
    call.answer(b"", status, extra_headers=headers)


async def _ask_twice(on_call, kind):
    """Sends two requests in turn; returns the second answer and the server.

    Args:
      on_call: Handles a call, given the server and the call.
      kind: The kind of the second request's route.
    """

    def handle(call):
        on_call(server, call)

    async with _Site("i-1", on_call=handle) as site:
        (server,) = site.servers
        await site.ask("/once/1", attempt_id="b1")
        answer = await site.ask(f"/{kind}/1", attempt_id="b2")
        return answer, server


@pytest.mark.parametrize("kind", _KINDS)
@pytest.mark.parametrize("status", [503, 429, 421])
def test_a_second_rejection_is_not_taken_for_the_answer_to_the_next_send(
    kind, status
):
    """Callers were told that requests had not run which had."""
    copies, ran = {}, []

    def on_call(call):
        call.expected = call.headers["x-clementinegw-expect-instance"]
        copy = copies.pop(call.writer, None)
        if copy is not None:
            call.send(copy)
        if len(server.calls) == 1:
            _reject(call, status)
            copies[call.writer] = call.sent_bytes
            return
        ran.append(call.attempt_id)
        _serve(call)

    async def play():
        nonlocal server
        async with _Site("i-1", on_call=on_call) as site:
            (server,) = site.servers
            answer = await site.ask(f"/{kind}/1")
            return answer, len(server.calls)

    server = None
    answer, calls = platform_site.run(play())
    assert calls == 2
    assert ran == ["a1"]
    assert (answer.status, answer.complete) == (200, True)


@pytest.mark.parametrize("kind", _KINDS)
@pytest.mark.parametrize(
    "cut",
    [
        _REJECTION[:18],
        _REJECTION.partition(b": 1")[0] + b": 1",
        _REJECTION.partition(b": 0")[0] + b": 0",
        b"HTTP/1.1 503 X\r\nX-Clementinegw-Not-Executed: 1\r\nServer: a",
    ],
    ids=["in_the_reason", "in_the_proof", "in_the_length", "behind_the_proof"],
)
def test_a_cut_rejection_before_an_answer_is_no_proof(kind, cut):
    """A cut head that runs into the next one looks like a rejection."""

    def on_call(server, call):
        if len(server.calls) == 2:
            call.send(cut)
        _serve(call)

    answer, server = platform_site.run(_ask_twice(on_call, kind))
    assert server.connections == 1
    assert answer.status == 502


def test_a_cut_success_does_not_turn_a_failure_into_one():
    """A cut head that runs into the next one changes its status."""

    def on_call(server, call):
        if len(server.calls) == 2:
            call.send(b"HTTP/1.1 200 OK")
            call.answer(b"failed", 500)
            return
        _serve(call)

    answer, _ = platform_site.run(_ask_twice(on_call, "once"))
    assert answer.status == 502


@pytest.mark.parametrize("kind", _KINDS)
def test_a_rejection_without_an_id_on_a_kept_connection_is_no_proof(kind):
    """It may be the second answer to any earlier call."""

    def on_call(server, call):
        if len(server.calls) == 2:
            call.send(_REJECTION)
        _serve(call)

    answer, _ = platform_site.run(_ask_twice(on_call, kind))
    assert answer.status == 502


class _FaultyServer(platform_site.Server):
    """A server whose answers are rejected, lost, doubled and cut by chance.

    Attributes:
      rng: Draws what happens.
      drawn: How often each event happened.
    """

    def __init__(self, name, rng, drawn):
        super().__init__(name, self._handle)
        self.rng = rng
        self.drawn = drawn
        self._late = {}

    def _draw(self, *choices):
        choice = self.rng.choice(choices)
        self.drawn[choice] = self.drawn.get(choice, 0) + 1
        return choice

    async def _handle(self, call):
        call.expected = self.name
        late = self._late.pop(call.writer, b"")
        if late:
            call.send(late)
            call.sent_bytes = b""
        event = self._draw(
            *(["serve"] * 5), "fail", "shed", "shed", "limit", "misdirect",
            "reset", "run_reset", "run_cut",
        )  # fmt: skip
        if event in ("serve", "fail", "run_reset", "run_cut"):
            self.ran.append(call.attempt_id)
        await asyncio.sleep(self.rng.uniform(0.0, 0.03))
        actions = {
            "serve": lambda: _serve(call),
            "fail": lambda: call.answer(b"failed", 500),
            "shed": lambda: _reject(call, 503),
            "limit": lambda: _reject(call, 429),
            "misdirect": lambda: _reject(call, 421),
            "reset": call.reset,
            "run_reset": call.reset,
            "run_cut": lambda: self._cut(call),
        }
        actions[event]()
        if call.sent_bytes:
            await self._send_second(call)

    def _cut(self, call):
        """Sends a part of an answer and closes the connection."""
        call.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwh")
        call.writer.close()

    async def _send_second(self, call):
        """Sends an answer again: at once, late, whole, cut, or without id."""
        when = self._draw("never", "never", "at_once", "late", "late")
        if when == "never":
            return
        form = self._draw("whole", "cut", "unidentified", "foreign")
        answer = platform_site.spoil(call, form, self.rng)
        if when == "late":
            self._late[call.writer] = answer
            return
        await asyncio.sleep(self.rng.uniform(0.0, 0.02))
        call.send(answer)


@pytest.mark.parametrize("seed", range(12))
def test_final_statuses_agree_with_what_servers_ran(seed):
    """Second, cut and foreign answers in series of sends."""
    rng = random.Random(seed)
    drawn, answers = {}, {}

    async def call_in_turn(site, name):
        for number in range(25):
            attempt_id = f"{name}-{number}"
            kind = rng.choice((*_KINDS, "once", "safe"))
            answers[attempt_id] = (
                kind,
                await site.ask(
                    f"/{kind}/1",
                    attempt_id=attempt_id,
                    body=attempt_id.encode(),
                ),
            )

    async def play():
        async with _Site() as site:
            for number in range(rng.choice((1, 1, 2, 3))):
                server = _FaultyServer(f"i-{number}", rng, drawn)
                await server.start()
                site.servers.append(server)
                site.store.put("keyed.servers", server.name, server.record())
            await asyncio.sleep(0.2)
            async with asyncio.TaskGroup() as group:
                for number in range(4):
                    group.create_task(call_in_turn(site, f"c{number}"))
            return [name for server in site.servers for name in server.ran]

    ran = platform_site.run(play())
    refused = [
        (name, answer.status)
        for name, (kind, answer) in answers.items()
        if kind in _KINDS and answer.status in _NOT_RUN and name in ran
    ]
    twice = [
        name
        for name, (kind, _) in answers.items()
        if kind in _KINDS and ran.count(name) > 1
    ]
    mixed = [
        name
        for name, (kind, answer) in answers.items()
        if kind in ("once", "safe")
        and answer.status == 200
        and answer.body != f"answer to {name}".encode()
    ]
    assert (refused, twice, mixed) == ([], [], [])
    assert sum(answer.status == 200 for _, answer in answers.values()) > 10
    assert drawn["late"] > 3
    assert drawn["shed"] > 3


def test_a_second_answer_to_a_poll_does_not_accept_an_order():
    """Agents logged load orders as begun that their servers had refused."""
    reports = []

    def on_call(call):
        if call.head.target == b"/report":
            call.answer(b'{"models":[],"sequence":3}')
            reports[:] = [(call.writer, call.sent_bytes)]
            return
        for writer, report in reports:
            if writer is call.writer:
                call.send(report)
        call.answer(b"", 409)

    async def play():
        server = platform_site.Server("a", on_call)
        await server.start()
        host, port = server.address.split(":")
        local_server = weights.LocalServer(types.Address(host, int(port)), "m")
        await local_server.state()
        expiry = expiries.Expiry(1e9, asyncio.get_running_loop().time)
        begun = await local_server.load("m", 2, 3, True, expiry)
        await server.stop()
        return begun

    assert not platform_site.run(play())


@pytest.mark.parametrize(
    ("sends", "proofs", "may_have_run"),
    [(0, 0, False), (1, 1, False), (1, 0, True), (2, 1, True), (2, 2, False)],
)
def test_a_request_may_have_run_unless_each_send_has_a_proof(
    sends, proofs, may_have_run
):
    """A proof of one send says nothing about another one."""
    job = jobs.Job(*[None] * 7)
    job.sends = sends
    job.proofs = [outcomes.NotRunReason.SHED] * proofs
    assert job.may_have_run is may_have_run
