"""The command line: dispatch, flags, errors, exit codes."""

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
def test_mistake_gets_one_line_and_its_exit_code(argv, code, words, capsys):
    """Symptom: a volunteer sees a traceback for a misspelt flag.

    Sequence: a command line with one mistake is run.
    Cause: an error that does not know its message and exit code.
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
def test_bad_key_file_is_named_without_its_secrets(tmp_path, text, words):
    path = tmp_path / "keys.json"
    path.write_text(text)
    with pytest.raises(exceptions.SettingsError) as caught:
        keys.load(path)
    assert words in caught.value.message
    assert "00" * 16 not in caught.value.message


def test_settings_cannot_lock_a_process_out_of_its_deployment(tmp_path):
    """Symptom: after a key change no process talks to another any more.

    Sequence: the settings name a new key before its file has reached all.
    Cause: the ring is narrowed to keys that the file does not hold.
    """
    path = tmp_path / "keys.json"
    path.write_text('{"active":"k1","keys":{"k1":"%s"}}' % ("ab" * 16))
    ring = keys.select_keys(keys.load(path), "k2", ("k2",))
    assert ring.active == "k1"
