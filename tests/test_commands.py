"""Tests of the command line: dispatch, flags, errors and exit codes."""

import pytest

from clementinegw import exceptions
from clementinegw.commands import main
from clementinegw.daemons import keys


@pytest.mark.parametrize(
    ("argv", "code", "words"),
    [
        (["rolout"], 2, "did you mean rollout"),
        (["bench"], 2, "name a bench"),
        (["bench", "speed"], 2, "no bench 'speed'"),
        (["bench", "control", "--procesess=3"], 2, "procesess"),
        (["bench", "control", "--processes=many"], 2, "processes"),
        (["bench", "control", "left"], 2, "unexpected 'left'"),
        (["entry", "--config=missing.json"], 3, "missing.json: cannot be read"),
    ],
)
def test_usage_error_prints_one_line_and_sets_exit_code(
    argv, code, words, capsys
):
    """Guards against tracebacks for invalid command lines.

    They appear when an error has no message and exit code of its own.
    """
    assert main.main(argv) == code
    error = capsys.readouterr().err
    assert words in error
    assert error.count("\n") == 1
    assert "Traceback" not in error


@pytest.mark.parametrize("name", sorted(main.COMMANDS))
def test_each_command_has_help(name, capsys):
    assert main.main([name, "--help"]) == 0
    assert f"clementinegw {name}" in capsys.readouterr().out


def test_overview_lists_commands_and_exit_codes(capsys, snapshot):
    assert main.main([]) == 0
    assert capsys.readouterr().out == snapshot


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ('{"active":"k1"}', "keys"),
        ('{"active":"k1","keys":{"k1":"xyz"}}', "expected hex digits"),
        ('{"active":"k1","keys":{"k1":"00"}}', "at least 16"),
        ('{"active":"k2","keys":{"k1":"%s"}}' % ("00" * 16), "not in the ring"),
    ],
)
def test_error_for_invalid_key_file_contains_no_keys(tmp_path, text, words):
    path = tmp_path / "keys.json"
    path.write_text(text)
    with pytest.raises(exceptions.SettingsError) as caught:
        keys.load(path)
    assert words in caught.value.message
    assert "00" * 16 not in caught.value.message


def test_unknown_key_id_in_settings_falls_back_to_the_key_file(tmp_path):
    """Guards against processes that reject each other after a key change.

    It happens when the settings name a new key before all processes have the
    new key file, and the ring is reduced to keys that the file lacks.
    """
    path = tmp_path / "keys.json"
    path.write_text('{"active":"k1","keys":{"k1":"%s"}}' % ("ab" * 16))
    ring = keys.select_keys(keys.load(path), "k2", ("k2",))
    assert ring.active == "k1"
