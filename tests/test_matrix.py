"""The fixed, fast part of the fault matrix, and that it can fail.

`clementinegw matrix` plays all of it.
"""

import concurrent.futures
import json
import random

import pytest

from clementinegw import types
from clementinegw.bench import coordinator as coordinators
from clementinegw.commands import main
from clementinegw.matrix import engine
from clementinegw.matrix import guards
from clementinegw.matrix import paths
from clementinegw.matrix import players

PATHS = paths.all_paths()
GUARDS = paths.all_guards()
# Each path without faults, and a spread over its cells and pairs.
STRIDE = 16
PAIRS = 3


def chosen(path):
    singles = engine.possible(path)[::STRIDE]
    pairs = list(engine.pairs(path))
    return singles + pairs[:: len(pairs) // PAIRS]


@pytest.mark.parametrize("name", PATHS)
def test_promises_hold(name):
    cells = chosen(PATHS[name])
    failed = [r for r in map(engine.play, cells) if not r.held]
    assert [f"{r.cell}: {r.broken}" for r in failed] == []


@pytest.mark.parametrize(
    "cell",
    [
        # A follower and its relay asked and answered without a pause after
        # the log had gone back: the relay was further at the same revision,
        # with no records to pass on.
        "settings_change:log_goes_back@append_sent",
        "settings_change:log_goes_back@in_force",
        # A worker that slept through the whole life of its swap lease read
        # its ASK and the lease's end in one page, and appended the same ASK
        # for ever without being granted anything.
        "swap:agent_sleeps@append_sent",
        "swap:agent_sleeps@append_taken",
    ],
)
def test_cell_that_was_red_before(cell):
    result = engine.play(engine.parse(cell))
    assert (result.broken, result.struck) == ((), 1)


@pytest.mark.parametrize("name", GUARDS)
def test_broken_guard_turns_the_matrix_red(name):
    guard = GUARDS[name]
    cell = engine.parse(f"{guard.paths[0]}:{guard.cells[0]}")
    assert engine.play(cell).held
    with guards.broken(guard):
        assert guard.promise in engine.play(cell).broken


@pytest.mark.parametrize("name", PATHS)
def test_every_step_can_be_reached(name):
    path = PATHS[name]
    fault = path.faults[0].name
    for step in path.steps:
        result = engine.play(engine.parse(f"{name}:{fault}@{step}"))
        assert result.struck == 1, step


def test_cell_that_cannot_occur_says_why():
    for path in PATHS.values():
        assert all(i.why for i in engine.impossible(path))


@pytest.mark.parametrize("name", PATHS)
def test_cell_is_played_the_same_every_time(name):
    path = PATHS[name]
    cell = engine.possible(path)[-2]

    def once():
        scene = path.scene(path, cell.injections)
        return scene.play(), repr(scene)

    assert once() == once()


def test_pairs_are_chosen_by_the_seed():
    path = PATHS["booking"]

    def some(seed):
        return engine.sample_pairs(path, 5, random.Random(seed))

    assert some(1) == some(1) != some(2)
    everything = engine.sample_pairs(path, -1, random.Random(1))
    assert len(everything) == len(set(everything)) > 1000


def test_failed_cell_is_named_and_ends_with_its_exit_code(capsys):
    """The command prints each red cell and exits with code 5."""
    text = "leave:backend_dies@submit_sent"
    assert main.main(["matrix", f"--cell={text}"]) == 0
    with guards.broken(GUARDS["no_leaving_refusal"]):
        assert main.main(["matrix", f"--cell={text}"]) == 5
        flags = ["--paths=leave", "--pairs=0", "--one_in=1", "--noguards"]
        assert main.main(["matrix", *flags, "--json"]) == 5
    output = json.loads(capsys.readouterr().out.splitlines()[-1])
    failed = {"cell": text, "broken": ["new_work_at_leaving"]}
    assert failed in output["failed"]
    assert output["held"] == output["cells"] - len(output["failed"])


@pytest.mark.parametrize(
    "flag", ["--paths=nothing", "--cell=booking:agent_dies@nowhere"]
)
def test_unknown_name_gets_one_clear_line(flag, capsys):
    assert main.main(["matrix", flag]) == 2
    [line] = capsys.readouterr().err.splitlines()
    assert flag.partition("=")[2].rpartition("@")[2] in line or "no" in line


def test_hosts_play_what_one_process_plays():
    cells = engine.possible(PATHS["booking"])[:40:8]
    coordinator = coordinators.Coordinator(types.Address("127.0.0.1", 0))
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        host = pool.submit(coordinators.serve, coordinator.address)
        hosts = players.Hosts(coordinator, 1)
        played = hosts.play(engine.play, cells)
        hosts.close()
        host.result()
    coordinator.close()
    assert played == players.Here().play(engine.play, cells)
