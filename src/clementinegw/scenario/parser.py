"""Text of a scenario file to a checked `types.Scenario`."""

import functools
import pathlib
import re

import lark

from clementinegw import exceptions
from clementinegw.scenario import _build
from clementinegw.scenario import check
from clementinegw.scenario import grammar
from clementinegw.scenario import types

_MAX_BYTES = 1_000_000
_MAX_EXPECTED = 16
_KEYWORDS = re.compile(r"[(?:)]*[a-z][a-z0-9|()?:\\-]*")
_KEYWORD_PRIORITY = 5
_WORD_END = r"(?![\w.-])"
# What an error calls the terminals that stand for more than one word.
_TERMINAL_NAMES = {
    "NAME": "a name",
    "INTEGER": "a whole number",
    "DECIMAL": "a number",
    "TIME": "a time such as 5s, 200ms or 2min",
    "TEXT": 'a text in "..."',
    "JSON": "a JSON value",
    "JSON_WORD": "a JSON value",
    "_NL": "the end of the line",
    "$END": "the end of the file",
}


def parse_file(path: str) -> types.Scenario:
    """Reads and parses a scenario file.

    Raises:
      types.ScenarioError: It does not fit; the message begins with
        file, line and column.
      exceptions.UsageError: It cannot be read.
    """
    try:
        data = pathlib.Path(path).read_bytes()
        if len(data) > _MAX_BYTES:
            raise exceptions.UsageError(f"{path}: over {_MAX_BYTES} bytes")
        text = data.decode()
    except OSError as error:
        raise exceptions.UsageError(
            f"{path}: cannot be read: {error.strerror}"
        ) from error
    except UnicodeDecodeError as error:
        raise exceptions.UsageError(f"{path}: is not UTF-8") from error
    return parse(text, path)


def parse(text: str, file: str = "scenario") -> types.Scenario:
    """Parses and checks a scenario.

    Args:
      text: The whole file.
      file: Its name for errors.

    Returns:
      The scenario.

    Raises:
      types.ScenarioError: It does not fit the language, or itself.
    """
    try:
        tree = _parser().parse(text)
    except lark.exceptions.UnexpectedInput as error:
        raise _syntax_error(error, text, file) from error
    try:
        scenario = _build.Builder(file, text).transform(
            _build.Terminals().transform(tree)
        )
    except lark.exceptions.VisitError as error:
        raise error.orig_exc from error
    check.check(scenario)
    return scenario


@functools.cache
def _parser() -> lark.Lark:
    return lark.Lark(
        grammar.GRAMMAR,
        parser="lalr",
        lexer="contextual",
        propagate_positions=True,
        maybe_placeholders=True,
        edit_terminals=_end_at_word,
    )


def _end_at_word(terminal: lark.lexer.TerminalDef) -> None:
    """Makes a keyword match whole words only.

    By itself lark takes `in` out of `innoord`, so that a missing space would
    be accepted and a misspelt word reported by its tail.
    """
    words = terminal.pattern.value
    if not _KEYWORDS.fullmatch(words):
        return
    terminal.pattern = lark.lexer.PatternRE(f"(?:{words}){_WORD_END}")
    terminal.priority = _KEYWORD_PRIORITY


def _syntax_error(
    error: lark.exceptions.UnexpectedInput, text: str, file: str
) -> types.ScenarioError:
    lines = text.split("\n")
    line, column = error.line, error.column
    if line < 1:  # lark's mark for the end of the file
        line, column = len(lines), len(lines[-1]) + 1
    rest = lines[line - 1][column - 1 :].split()
    found = f'"{rest[0]}"' if rest else "the end of the line"
    expected: set[str] = set()
    for attribute in ("accepts", "allowed", "expected"):
        expected = expected or set(getattr(error, attribute, None) or ())
    names = sorted({_readable(name) for name in expected})
    if len(names) > _MAX_EXPECTED:
        names = [*names[:_MAX_EXPECTED], "..."]
    return types.ScenarioError(
        types.Position(file, line, column),
        f"expected {', '.join(names)}; found {found}",
    )


def _readable(terminal: str) -> str:
    if terminal in _TERMINAL_NAMES:
        return _TERMINAL_NAMES[terminal]
    pattern = _parser().get_terminal(terminal).pattern.value
    pattern = pattern.removesuffix(_WORD_END).replace("(?:", "")
    words = pattern.replace(")", "").replace("\\", "").split("|")
    return ", ".join(f"`{word}`" for word in words)
