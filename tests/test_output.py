"""Tests that log lines are neither kept back nor lost without a count."""

import asyncio
import fcntl
import json
import logging
import os
import threading

from clementinegw.telemetry import output
from clementinegw.testing import clock as clocks

FILLER = b"."


class Pipe:
    """A pipe whose reader has stalled, and an output that writes to it.

    Attributes:
      out: The output.
      dropped: The counts of dropped lines that were reported.
    """

    def __init__(self):
        self._reader, self._writer = os.pipe()
        fcntl.fcntl(self._writer, fcntl.F_SETPIPE_SZ, 4096)
        self.dropped = []
        self.out = output.Output(self._writer)
        self.out.on_dropped = self.dropped.append
        self._fill()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        os.close(self._writer)
        if self._reader is not None:
            os.close(self._reader)

    def _fill(self):
        try:
            while True:
                os.write(self._writer, FILLER * 512)
        except BlockingIOError:
            pass

    def read(self):
        """Returns the text that has arrived."""
        os.set_blocking(self._reader, False)
        data = b""
        try:
            while part := os.read(self._reader, 65536):
                data += part
        except BlockingIOError:
            pass
        return data.replace(FILLER, b"").decode()

    def read_in_thread(self, lines):
        """Starts to read until a number of lines has arrived."""
        arrived = []

        def read():
            data = b""
            while data.count(b"\n") < lines:
                data += os.read(self._reader, 65536)
            arrived.extend(data.replace(FILLER, b"").decode().splitlines())

        thread = threading.Thread(target=read)
        thread.start()
        return thread, arrived

    def close_reader(self):
        os.close(self._reader)
        self._reader = None


def test_lines_are_written_once_the_reader_goes_on():
    """Guards against last lines kept back until the next one is logged."""

    async def scenario():
        with Pipe() as pipe:
            pipe.out.msg("last")
            await asyncio.sleep(1.0)
            assert pipe.read() == ""
            await asyncio.sleep(1.0)
            return pipe.read()

    assert clocks.run(scenario()) == "last\n"


def test_dropped_lines_are_reported_once_the_reader_goes_on():
    """Guards against a gap in the lines that none of them names."""

    async def scenario():
        with Pipe() as pipe:
            for number in range(2_300):
                pipe.out.msg(f"{number}")
            await asyncio.sleep(1.0)
            text = ""
            before = list(pipe.dropped)
            for _ in range(20):
                text += pipe.read()
                await asyncio.sleep(0.2)
            return before, pipe.dropped, text.splitlines()

    before, dropped, lines = clocks.run(scenario())
    assert (before, dropped) == ([], [300])
    assert lines == [f"{number}" for number in range(300, 2_300)]


def test_lines_for_a_reader_that_is_gone_are_counted():
    """Guards against lines that are lost and not counted."""

    async def scenario():
        with Pipe() as pipe:
            pipe.out.msg("first")
            await asyncio.sleep(0.2)
            pipe.out.msg("second")
            pipe.close_reader()
            await asyncio.sleep(0.2)
            return pipe.out.dropped

    assert clocks.run(scenario()) == 2


def test_the_end_of_a_process_waits_for_the_reader():
    """Guards against the loss of the last lines of a process."""

    async def scenario():
        with Pipe() as pipe:
            for number in range(1_000):
                pipe.out.msg(f"{number}")
            thread, lines = pipe.read_in_thread(1_000)
            pipe.out.close(timeout_s=30.0)
            thread.join()
            return lines

    assert clocks.run(scenario()) == [f"{number}" for number in range(1_000)]


def test_the_end_of_a_process_waits_no_longer_than_allowed():
    """Guards against a process that hangs at its end."""

    async def scenario():
        with Pipe() as pipe:
            pipe.out.msg("last")
            pipe.out.close(timeout_s=0.0)
            return pipe.out.dropped

    assert clocks.run(scenario()) == 1


def test_lines_after_the_end_are_written_at_once():
    """Guards against lines of tasks that are cancelled last."""

    async def scenario():
        with Pipe() as pipe:
            pipe.read()
            pipe.out.close(timeout_s=0.0)
            pipe.out.msg("late")
            return pipe.read()

    assert clocks.run(scenario()) == "late\n"


def test_a_reader_that_is_gone_gets_no_reports():
    """Guards against reports of lost lines that are lost and reported."""

    async def scenario():
        with Pipe() as pipe:
            pipe.out.on_dropped = lambda count: pipe.out.msg("lost")
            pipe.close_reader()
            pipe.out.msg("last")
            await asyncio.sleep(1.0)
            pipe.out.close()
            return pipe.out.dropped

    assert clocks.run(scenario()) == 1


def test_messages_of_libraries_are_lines_of_the_same_output():
    """Guards against messages that are lost while the reader stalls."""

    async def scenario():
        with Pipe() as pipe:
            logger = logging.Logger("asyncio")
            logger.addHandler(output.LibraryHandler(pipe.out))
            try:
                raise KeyError("odd")
            except KeyError:
                logger.exception("Exception in %s", "callback")
            pipe.read()
            await asyncio.sleep(1.0)
            return pipe.read()

    fields = json.loads(clocks.run(scenario()))
    assert fields["event"] == "Exception in callback"
    assert fields["logger"] == "asyncio"
    assert fields["level"] == "error"
    assert "KeyError: 'odd'" in fields["exception"]
