"""Fixtures and hooks for all tests."""

import gc
import pathlib

import pytest
import structlog

# Garbage collection is disabled during this import. Otherwise the collection of
# the tests can fail with "AST constructor recursion depth mismatch": pytest
# parses the files of hypothesis again, the garbage collector runs a finalizer
# during a parse, and a bug of Python 3.11 counts the finalizer's depth as the
# parser's.
gc.disable()
import hypothesis  # noqa: E402, F401

gc.enable()


@pytest.fixture(autouse=True)
def _fresh_logging():
    """Resets the logging configuration after each test.

    A command under test configures logging for the whole process, with the
    standard error that pytest replaced for that test. A later test that wrote
    a log line would fail with "I/O operation on closed file", depending on the
    order of the tests.
    """
    yield
    structlog.reset_defaults()


def _known_red():
    """Returns the lines `TEST: cause; issue; seed` of KNOWN-RED.txt by test."""
    path = pathlib.Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
    if not path.exists():
        return {}
    lines = path.read_text().splitlines()
    return {line.partition(": ")[0]: line for line in lines if line.strip()}


def pytest_collection_modifyitems(items):
    """Marks the tests in KNOWN-RED.txt as expected failures.

    A marked test that passes fails the run, so that its line gets removed.
    """
    red = _known_red()
    for item in items:
        line = red.get(item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=True))


def pytest_terminal_summary(terminalreporter):
    """Prints the expected failures with their causes."""
    for line in _known_red().values():
        terminalreporter.write_line(f"KNOWN RED {line}")
