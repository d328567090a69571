"""What every test starts from."""

import gc

import pytest
import structlog

# Symptom: collection ends with "AST constructor recursion depth mismatch".
# Sequence: a test module imports hypothesis, whose files pytest parses anew;
# the collector runs a finalizer in the middle of a parse. Cause: a defect of
# Python 3.11, which counts the finalizer's depth as the parser's.
gc.disable()
import hypothesis  # noqa: E402, F401

gc.enable()


@pytest.fixture(autouse=True)
def _fresh_logging():
    """Undoes what a command under test set up for the logs.

    Symptom: a test fails with "I/O operation on closed file" or not, by the
    order of the tests. Sequence: a test runs a command, which sends the logs
    to the standard error that pytest gave that test; a later test writes a
    log line. Cause: logging is set up for the process.
    """
    yield
    structlog.reset_defaults()
