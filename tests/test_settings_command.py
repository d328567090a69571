"""Tests of `clementinegw settings` against a log over HTTP."""

import asyncio
import json
import threading

import pytest

from clementinegw.bench import operator
from clementinegw.commands import main
from clementinegw.testing import platform


@pytest.fixture
def log_url():
    """Yields the address of a log stand-in that runs in another thread."""
    started, loop = threading.Event(), asyncio.new_event_loop()
    stand_in = platform.PlatformStandIn()

    def serve():
        loop.run_until_complete(stand_in.start())
        started.set()
        loop.run_forever()

    thread = threading.Thread(target=serve)
    thread.start()
    assert started.wait(10.0)
    yield stand_in.log_address
    asyncio.run_coroutine_threadsafe(stand_in.stop(), loop).result(10.0)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@pytest.fixture
def run(log_url, capsys):
    def settings(*args, code=0):
        argv = ["settings", *args, f"--log={log_url}", "--json", "--who=ana"]
        assert main.main(argv) == code
        captured = capsys.readouterr()
        if code:
            assert captured.err.count("\n") == 1
            return captured.err
        return json.loads(captured.out.splitlines()[-1])

    return settings


RATE = "defaults.limits.requests_per_s"


def test_set_diff_explain_undo_and_apply(run, tmp_path):
    assert run("get")["value"] == {}
    first = run("set", f"{RATE}=5", "regions.noord={}", "--why=start")
    assert first["revision"] == 1
    dry = run("set", f"{RATE}=6", "--dry_run")
    assert dry["differences"][0]["after"] == 6
    assert run("get", RATE) == {"revision": 1, "path": RATE, "value": 5}

    second = run("set", f"{RATE}=7")
    [change] = run("diff", "1")["differences"]
    assert (change["before"], change["after"]) == (5, 7)
    history = run("history", RATE)["changes"]
    assert [(c["who"], c["why"]) for c in history] == [
        ("ana", "start"),
        ("ana", ""),
    ]
    explained = run("explain", "limits.requests_per_s", "--region=noord")
    assert (explained["value"], explained["level"]) == (7.0, "defaults")

    undone = run("undo", str(second["revision"]))
    assert run("get", RATE)["value"] == 5
    assert undone["revision"] == 3

    path = tmp_path / "tree.json"
    path.write_text('{"schema": 1, "regions": {"zuid": {}}}')
    assert len(run("diff", str(path))["differences"]) == 4
    run("apply", str(path))
    assert run("get")["value"]["regions"] == {"zuid": {}}
    assert run("apply", str(path))["changed"] == 0


def test_rejection_names_the_conflicting_change(run):
    run("set", f"{RATE}=5", "--why=busy week")
    error = run("set", f"{RATE}=6", "--base=0", code=1)
    assert "conflicts with revision 1" in error
    assert "busy week" in error
    error = run("set", "defaults.limits.request_per_s=6", code=3)
    assert 'did you mean "requests_per_s"?' in error
    assert run("history")["revision"] == 1


@pytest.mark.parametrize(
    ("args", "code", "words"),
    [
        (["get", "defaults.limits"], 3, "settings explain"),
        (["set", "defaults"], 2, "PATH=VALUE"),
        (["set"], 2, "PATH=VALUE"),
        (["rename"], 2, "expected one of get"),
        (["explain", "limits.rate"], 3, "expected one of requests_per_s"),
        (["explain", "limits.burst_s", "--region=nord"], 2, "regions"),
        (["undo", "7"], 3, "found '7'"),
        (["diff", "9"], 3, "expected 0 to 0, found 9"),
        (["apply", "missing.json"], 3, "missing.json: cannot be read"),
    ],
)
def test_usage_error_prints_one_line(run, args, code, words):
    assert words in run(*args, code=code)


def test_missing_or_unreachable_log_prints_no_traceback(capsys):
    assert main.main(["settings", "get"]) == 2
    assert "--log" in capsys.readouterr().err
    argv = ["settings", "get", "--log=http://127.0.0.1:9"]
    assert main.main(argv) == 4
    assert "Traceback" not in capsys.readouterr().err


def test_cost_of_a_change_is_measured(log_url, run):
    argv = ["settings", "set", f"{RATE}=5", f"--log={log_url}", "--who=ana"]
    cost = operator.measure(argv)
    assert cost.exit_code == 0
    assert run("get", RATE)["value"] == 5
    # At least the cost of an empty interpreter; the bounds also detect wrong
    # units.
    assert 5 < cost.memory_mb < 5_000
    assert cost.cpu_ms > 1
    assert operator.measure(["settings", "get"]).exit_code == 2
