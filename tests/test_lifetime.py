"""Tests that a daemon which fails drains, stops and reports it."""

import asyncio
import json
import os
import signal

import mode
import platform_site
import pytest

from clementinegw import lifetime
from clementinegw.direct import _events
from clementinegw.direct import run as runner
from clementinegw.telemetry import histograms
from clementinegw.testing import clock as clocks


class Child(mode.Service):
    """A service of a daemon, with a task that raises after a second."""

    def __init__(self, raises):
        super().__init__()
        self._raises = raises

    @mode.Service.task
    async def _work(self):
        await asyncio.sleep(1.0)
        if self._raises:
            raise KeyError("odd")


class Daemon(mode.Service):
    """A daemon that notes what is called.

    Attributes:
      calls: The calls with their time after the start, in seconds.
    """

    def __init__(self, child_raises=False, start_s=0.0, drain_raises=False):
        super().__init__()
        self._child = Child(child_raises)
        self._start_s = start_s
        self._drain_raises = drain_raises
        self._clock = asyncio.get_running_loop().time
        self._began = self._clock()
        self.calls = []

    async def on_start(self):
        self._note("start")
        await asyncio.sleep(self._start_s)
        await self.add_runtime_dependency(self._child)

    async def drain(self):
        self._note("drain")
        await asyncio.sleep(2.0)
        if self._drain_raises:
            raise KeyError("odd")
        self._note("drained")

    async def on_shutdown(self):
        self._note("stop")

    def _note(self, call):
        self.calls.append((call, round(self._clock() - self._began, 1)))


async def run_until(daemon, *signals_at):
    """Runs a daemon and sends signals; returns the exit code and failures."""
    loop = asyncio.get_running_loop()
    for at_s in signals_at:
        loop.call_later(at_s, os.kill, os.getpid(), signal.SIGTERM)
    failures = []
    async with asyncio.timeout(60.0):
        code = await lifetime.run_until_signal(
            daemon, on_failure=failures.append
        )
    return code, [repr(error) for error in failures]


def test_a_daemon_whose_service_crashes_drains_and_exits_with_an_error():
    """Guards against a process that serves on without its loops."""

    async def scenario():
        daemon = Daemon(child_raises=True)
        return await run_until(daemon), daemon.calls

    outcome, calls = clocks.run(scenario())
    assert outcome == (1, ["KeyError('odd')"])
    assert calls == [
        ("start", 0.0),
        ("drain", 1.0),
        ("drained", 3.0),
        ("stop", 3.0),
    ]


def test_a_crash_during_the_drain_does_not_cut_it_short():
    """Guards against answers that end with a service of their process."""

    async def scenario():
        daemon = Daemon(child_raises=True)
        return await run_until(daemon, 0.5), daemon.calls

    outcome, calls = clocks.run(scenario())
    assert outcome == (1, ["KeyError('odd')"])
    assert calls[2:] == [("drained", 2.5), ("stop", 2.5)]


def test_a_signal_during_the_start_stops_the_daemon():
    """Guards against a process that ignores signals while its start hangs."""

    async def scenario():
        daemon = Daemon(start_s=1e4)
        return await run_until(daemon, 0.5), daemon.calls

    outcome, calls = clocks.run(scenario())
    assert outcome == (0, [])
    assert calls == [("start", 0.0), ("stop", 0.5)]


def test_a_daemon_whose_drain_raises_is_stopped():
    """Guards against a process that ends without closing its connections."""

    async def scenario():
        daemon = Daemon(drain_raises=True)
        with pytest.raises(KeyError):
            await run_until(daemon, 0.5)
        return daemon.calls

    assert clocks.run(scenario())[-1] == ("stop", 2.5)


@pytest.mark.parametrize(
    ("signals_at", "stopped_at"), [((0.5,), 2.5), ((0.5, 1.0), 1.0)]
)
def test_a_second_signal_ends_the_drain(signals_at, stopped_at):
    async def scenario():
        daemon = Daemon()
        return await run_until(daemon, *signals_at), daemon.calls

    outcome, calls = clocks.run(scenario())
    assert outcome == (0, [])
    assert calls[-1] == ("stop", stopped_at)


class _Started:
    """A daemon that is started already."""

    def __init__(self, daemon):
        self._daemon = daemon

    async def start(self):
        pass

    def __getattr__(self, name):
        return getattr(self._daemon, name)


def test_a_stream_is_completed_when_a_service_of_the_entry_crashes(
    monkeypatch,
):
    """Guards against streams that end with an entry's periodic task."""

    async def stream(call):
        call.begin_stream()
        for number in range(1, 5):
            await asyncio.sleep(0.2)
            call.event(number)
        call.end_stream()

    async def scenario():
        async with platform_site.Site("s1", on_call=stream) as site:
            running = asyncio.ensure_future(run_until(_Started(site.entry)))
            answering = asyncio.ensure_future(site.ask("/stream/1"))
            await asyncio.sleep(0.1)

            def fail():
                raise KeyError("odd")

            monkeypatch.setattr(site.entry, "_log_readiness", fail)
            answer = await answering
            return answer, await running

    answer, outcome = platform_site.run(scenario())
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body.count(b"data:") == 4
    assert outcome == (1, ["KeyError('odd')"])


def test_a_failed_process_writes_the_service_and_the_error(
    monkeypatch, tmp_path
):
    """Guards against a process that ends without a line of its cause."""
    written = []

    class Log:
        def write(self, event, **fields):
            written.append((event, fields))

    class Failing(Daemon):
        def __init__(self, *args):
            super().__init__(child_raises=True)
            self.histograms = histograms.Histograms()

    path = tmp_path / "instance.json"
    path.write_text(json.dumps(_instance()))
    monkeypatch.setitem(runner._ROLES, "entry", Failing)
    monkeypatch.setattr(runner.logs, "Log", lambda **fields: Log())
    monkeypatch.setattr(runner.output, "configure", _Output)

    async def scenario():
        async with asyncio.timeout(60.0):
            return await runner.run(["entry"], path, lambda *args: None)

    assert clocks.run(scenario()) == 1
    event, fields = written[-1]
    assert event is _events.PROCESS_FAILED
    assert fields["task"] == "Child._work"
    assert fields["error"] == "KeyError: 'odd'"
    assert _Output.last.calls[-1] == "close"


class _Output:
    """Notes what is called."""

    last = None
    dropped = 0

    def __init__(self):
        _Output.last = self
        self.calls = []

    def flush(self):
        self.calls.append("flush")

    def close(self):
        self.calls.append("close")


def _instance(**fields):
    return {
        "name": "entry-1",
        "place": {"region": "r1", "failure_domain": "d1"},
        "host": "127.0.0.1",
        "store_address": "127.0.0.1:9",
        "regions": {"d1": "r1"},
        "peer_ports": [0, 0],
        **fields,
    }
