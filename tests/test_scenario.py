"""The scenario language: what it reads, how it errs, how it judges."""

import asyncio
import glob
import pathlib

import hypothesis
from hypothesis import strategies as st
import pytest

from clementinegw.scenario import parser
from clementinegw.scenario import play as deployed_play
from clementinegw.scenario import runner
from clementinegw.scenario import types
from clementinegw.scenario import world as worlds
from clementinegw.testing import clock as clocks
from clementinegw.testing import ledger as ledgers

SCENARIOS = sorted(
    glob.glob(str(pathlib.Path(__file__).parents[1] / "scenarios" / "*.scn"))
)
PLACES = """
place noord-1 in noord
2 entries in noord-1
model service assistent with 3 workers
plain service magazijn with 1 worker
"""
WHOLE = (
    PLACES
    + """
scenario "everything that can be said"   # and a comment
seed 7
run for 2min
customer wagenmaker weight 2.5
set defaults.weights.max_out_share = 0.34
load vragen: 2.5/s streams to assistent from 1s to 90s for wagenmaker within 5s
load boekingen: 4/s bookings to magazijn from 0s to 1min tries 3 in noord-1
at 5s declare assistent v2, down log
at 6.5s slow store by 200ms, lose 2 answers of log, corrupt 3 reads of origin
when serving assistent v2 >= 2 kill worker 1 of assistent, stall entry 2
at 1min cut noord-1 from platform
at 61s join noord-1 with platform, heal log
at 62s change defaults.limits.requests_per_s = 50
expect by 90s serving assistent v2 = all
expect always doubled = 0
expect answered of vragen >= 99%
expect at 60s p99 of vragen < 500ms
expect by 90s in-force defaults.limits.requests_per_s 50 = all
expect finally not-run of boekingen because log_unavailable >= 1
expect counter platform.log.failed.timeout at entry 1 > 0
"""
)


def test_reads_every_kind_of_statement():
    scenario = parser.parse(WHOLE, "whole.scn")

    assert (scenario.title, scenario.seed) == ("everything that can be said", 7)
    assert scenario.duration_s == 120.0
    assert scenario.customers[0].weight == 2.5
    assert [load.rate for load in scenario.loads] == [2.5, 4]
    assert scenario.loads[0].deadline_s == 5.0
    assert (scenario.loads[1].tries, scenario.loads[1].end_s) == (3, 60.0)
    assert scenario.loads[1].place == "noord-1"
    slow, lose, corrupt = scenario.events[1].actions
    assert (slow.amount, lose.amount, corrupt.amount) == (0.2, 2, 3)
    awaited = scenario.events[2]
    assert awaited.condition.quantity.detail == "v2"
    assert [str(a.process) for a in awaited.actions] == [
        "worker 1 of assistent",
        "entry 2",
    ]
    assert [e.when for e in scenario.expectations] == [
        types.When.BY,
        types.When.ALWAYS,
        types.When.FINALLY,
        types.When.AT,
        types.When.BY,
        types.When.FINALLY,
        types.When.FINALLY,
    ]
    assert scenario.expectations[4].condition.quantity.value == 50
    assert scenario.expectations[2].text == "expect answered of vragen >= 99%"


# In the new text, `^` stands before the place that the error must name.
@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("seed 7", "seed ^x", "expected a whole number"),
        ("noord-1 in noord", "noord-1 ^on noord", "expected `in`"),
        ("noord-1 in noord", "noord-1 ^innoord", "expected `in`"),
        ("heal log", "heal ^logg", "`log`"),
        ("2.5/s streams", "2.5 ^streams", "expected `/s`"),
        ("< 500ms", "<^", "a time such as"),
        ("set defaults", "^set defaults=0.3.4 #", "expected a JSON value"),
        ("run for 2min", "^seed 9", "the first is at line 8"),
        ("worker 1 of", "^worker 4 of", "the last is 3"),
        ("at 61s join", "^at 121s join", "after the end at 120 s"),
        ("heal log", "^down entry 1", "cannot be 'down'"),
        ("doubled = 0", "^doubled = all", "`all` fits"),
        ("doubled = 0", "^doubled = 3%", "has none"),
        ("declare assistent", "^declare magazijn", "has no version"),
        ("2 entries", "^999999999 entries", "more than 200"),
        (
            "load vragen: 2.5/s",
            "^load vragen: 250000/s",
            "more than 100000",
        ),
        (
            "load vragen: 2.5/s streams to assistent",
            "^load vragen: 2.5/s streams to asistent",
            "did you mean 'assistent'?",
        ),
        (
            "load vragen: 2.5/s streams to assistent",
            "^load vragen: 2.5/s lookups to assistent",
            "lookups cannot be asked of assistent",
        ),
        (
            "load vragen: 2.5/s streams to assistent from 1s",
            "^load vragen: 2.5/s streams to assistent from 95s",
            "ends before it begins",
        ),
    ],
)
def test_error_names_file_line_and_column(old, new, message):
    assert WHOLE.count(old) >= 1
    marked = WHOLE.replace(old, new, 1)
    before, _, after = marked.partition("^")
    line = before.count("\n") + 1
    column = len(before) - before.rfind("\n")

    with pytest.raises(types.ScenarioError) as error:
        parser.parse(before + after, "wrong.scn")
    assert str(error.value.at) == f"wrong.scn:{line}:{column}"
    assert message in error.value.message
    assert error.value.message.startswith(f"wrong.scn:{line}:{column}: ")


WORDS = [*WHOLE.split(), "0", "-1", "1e9s", "99999999999", '"', "{", "=", "#"]


@hypothesis.settings(deadline=None, max_examples=300, derandomize=True)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, len(WHOLE.split(" ")) - 1),
            st.sampled_from(WORDS) | st.text(max_size=6),
        ),
        min_size=1,
        max_size=4,
    )
)
def test_any_text_is_read_or_refused_with_its_place(replacements):
    words = WHOLE.split(" ")
    for index, word in replacements:
        words[index] = word
    try:
        parser.parse(" ".join(words), "any.scn")
    except types.ScenarioError as error:
        assert error.message.startswith(f"any.scn:{error.at.line}:")
        assert error.at.line >= 1
        assert error.at.column >= 1


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda p: pathlib.Path(p).stem)
def test_each_shipped_scenario_fits_the_language(path):
    assert parser.parse_file(path).title


class FakeWorld:
    """A deployment that answers as a test tells it."""

    def __init__(self, clock, answer):
        self.clock = clock
        self.ledger = ledgers.Ledger()
        self.acted = []
        self.sent = []
        self._answer = answer

    async def start(self):
        await asyncio.sleep(3.0)

    async def stop(self):
        self.acted.append("stopped")

    async def act(self, action):
        self.acted.append((round(self.clock.now(), 3), type(action)))

    async def send(self, call):
        self.sent.append((round(self.clock.now(), 6), call.draw))
        request_id = f"{call.load.name}-{call.number}-{call.attempt}"
        return await self._answer(self, call, request_id)

    def measure(self, quantity):
        return self.clock.now() - 1003.0

    def everyone(self, quantity):
        return 4.0


def seen(told, request_id, reason="", seconds=0.1, key="", wrong=False):
    is_answer = told is ledgers.CallerOutcome.ANSWERED
    return worlds.Observed(
        ledgers.CallerRecord(
            request_id, told, key, not key, complete=is_answer
        ),
        reason,
        seconds,
        wrong,
    )


async def answered(world, call, request_id):
    run = world.ledger.start(request_id, "", "op", "w", world.clock.now())
    await asyncio.sleep(0.1)
    world.ledger.finish(run, ledgers.RunEnd.FINISHED, world.clock.now())
    return seen(ledgers.CallerOutcome.ANSWERED, request_id)


def play(text, answer=answered, seed=1):
    clock = clocks.VirtualClock()
    world = FakeWorld(clock, answer)
    scenario = parser.parse(f"{PLACES}\nseed {seed}\nrun for 20s\n{text}")
    report = clocks.run(runner.Runner(scenario, world).run(), clock)
    return report, world


LOAD = "load q: 5/s lookups to magazijn from 1s to 11s\n"


def test_run_judges_outcomes_and_acts_in_time():
    report, world = play(
        LOAD + "at 4s down log\n"
        "when serving assistent v2 >= 6 heal log\n"
        "expect answered of q = 100%\n"
        "expect always doubled = 0\n"
        "expect by 5s serving assistent v2 = all\n"
    )
    assert report.held, report.failures
    assert report.offered == 50
    assert world.acted == [
        (1007.0, types.FaultPart),
        (1009.0, types.FaultPart),
        "stopped",
    ]


async def lost(world, call, request_id):
    await asyncio.sleep(10_000.0)


async def doubled(world, call, request_id):
    key = f"key-{call.number}"
    for _ in range(2 if call.number == 20 else 1):
        world.ledger.start(request_id, key, "op", "w", world.clock.now())
    return seen(ledgers.CallerOutcome.ANSWERED, request_id, key=key)


async def falsely_not_run(world, call, request_id):
    world.ledger.start(request_id, "", "op", "w", world.clock.now())
    return seen(ledgers.CallerOutcome.NOT_RUN, request_id, "overloaded")


async def wrong(world, call, request_id):
    await answered(world, call, request_id)
    return seen(ledgers.CallerOutcome.ANSWERED, request_id, wrong=True)


@pytest.mark.parametrize(
    ("answer", "expectation", "found"),
    [
        (lost, "lost = 0", "50"),
        (lost, "answered >= 1%", "0 (bound 0.5)"),
        (doubled, "always doubled = 0", "1 at 5."),
        (falsely_not_run, "false-not-run = 0", "50"),
        (falsely_not_run, "not-run because overloaded = 0", "50"),
        (wrong, "wrong = 0", "50"),
        (answered, "at 2s serving assistent v2 = all", "2 (bound 4) at 2.0 s"),
        (answered, "by 3s serving assistent v2 = all", "3 (bound 4) at 3.0 s"),
        (answered, "p99 < 50ms", "0.1"),
        (answered, "runs of q < 50", "50"),
    ],
)
def test_run_fails_when_a_promise_is_broken(answer, expectation, found):
    report, _ = play(LOAD + f"expect {expectation}\n", answer)
    assert not report.held
    (failure,) = report.failures
    assert failure.found.startswith(found)
    assert str(failure).startswith(f"scenario:10:1: expect {expectation}")


def test_run_fails_when_a_fault_never_struck():
    report, _ = play(
        "when serving assistent v2 > 900 heal log\nexpect doubled = 0\n"
    )
    assert "never held" in report.failures[0].text


async def refused_once(world, call, request_id):
    if call.attempt == 0:
        return seen(ledgers.CallerOutcome.NOT_RUN, request_id, "overloaded")
    return await answered(world, call, request_id)


def test_caller_asks_again_as_often_as_it_is_told():
    report, world = play(
        "load q: 1/s lookups to magazijn from 1s to 11s tries 2\n"
        "expect answered = 100%\nexpect not-run = 0\nexpect offered = 10\n",
        refused_once,
    )
    assert report.held, report.failures
    assert len(world.sent) == 20


@pytest.mark.parametrize("seed", [1, 2])
def test_same_seed_sends_the_same_requests_at_the_same_times(seed):
    text = LOAD + "expect answered = 100%\n"
    first = play(text, seed=seed)[1].sent
    again = play(text, seed=seed)[1].sent
    other = play(text, seed=seed + 10)[1].sent
    assert first == again
    assert first != other


TINY = """
scenario "two failure domains, a crash, lost answers and a partition"
run for 8s
place noord-1 in noord
place zuid-1 in zuid
1 entry in noord-1
1 entry in zuid-1
plain service magazijn with 2 workers
load lookups: 10/s lookups to magazijn from 0s to 7s tries 3
load bookings: 10/s bookings to magazijn from 0s to 7s tries 3
at 2s lose 4 answers of log
at 3s crash worker 1 of magazijn
at 4s cut noord-1 from zuid-1
at 6s join noord-1 with zuid-1
expect always doubled = 0
expect always false-not-run = 0
expect lost = 0
expect answered of lookups >= 95%
"""


def test_same_seed_gives_the_same_verdict_against_the_deployment():
    reports = [deployed_play.play(parser.parse(TINY)) for _ in range(2)]

    assert reports[0].held, reports[0]
    assert reports[0].outcomes == reports[1].outcomes
    assert reports[0].failures == reports[1].failures


def test_deployment_fails_a_scenario_that_asks_too_much():
    text = TINY + "expect unknown >= 50%\nexpect by 2s lost = 1\n"
    report = deployed_play.play(parser.parse(text))
    assert [failure.at.line for failure in report.failures] == [19, 20]


@pytest.mark.parametrize(
    "name",
    [
        "crashes_under_bookings",
        "crashing_request",
        "log_outage",
        "lost_answers",
        "rollout_under_load",
    ],
)
def test_shipped_scenario_holds(name):
    (path,) = [p for p in SCENARIOS if pathlib.Path(p).stem == name]
    report = deployed_play.play(parser.parse_file(path))
    assert report.held, report


async def broken(world, call, request_id):
    raise KeyError("a defect of the world")


def test_a_defect_of_the_world_is_no_verdict():
    with pytest.raises(KeyError):
        play(LOAD + "expect doubled = 0\n", broken)


def test_a_world_that_does_not_end_ends_the_run(monkeypatch):
    async def hang(world):
        await asyncio.sleep(1e9)

    monkeypatch.setattr(FakeWorld, "stop", hang)
    with pytest.raises(TimeoutError):
        play(LOAD + "expect doubled = 0\n")
