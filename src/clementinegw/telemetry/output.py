"""Buffered log output that never blocks requests."""

import asyncio
import collections
import fcntl
import logging
import os
import sys

import structlog

from clementinegw.telemetry import events

# Bounds of the buffer in lines and of a write in bytes.
_MAX_BUFFERED_LINES = 2_000
_MAX_WRITE_BYTES = 32 << 10
# Lines are collected for this time, in seconds, since a write costs more than a
# line.
_FLUSH_DELAY_S = 0.1
_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class Output:
    """A bounded buffer of lines in front of standard output.

    Attributes:
      dropped: The number of lines dropped from the full buffer.
    """

    def __init__(self, fd: int = 1):
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0
        flags = fcntl.fcntl(fd, fcntl.F_GETFL)
        fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def msg(self, line: str) -> None:
        """Buffers a line."""
        if len(self._lines) >= _MAX_BUFFERED_LINES:
            # A stalled reader of the output must neither block requests nor
            # let the lines fill the memory. The counter shows the loss.
            self._lines.popleft()
            self.dropped += 1
        self._lines.append(line.encode() + b"\n")
        if self._timer is None:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                self.flush()
                return
            self._timer = loop.call_later(_FLUSH_DELAY_S, self.flush)

    debug = info = warning = error = log = msg

    def flush(self) -> None:
        """Writes as many lines as standard output accepts now."""
        self._timer = None
        while self._lines or self._unwritten:
            data = self._unwritten
            while self._lines and len(data) < _MAX_WRITE_BYTES:
                data += self._lines.popleft()
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone, and there is no other place to log to.
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = data[written:]
            if self._unwritten:
                return


def configure(level: events.Level = events.Level.INFO) -> Output:
    """Writes log lines of `level` and above to standard output."""
    output = Output()
    # Otherwise the libraries' messages about failed tasks would be lost.
    logging.basicConfig(
        level=logging.ERROR, stream=sys.stdout, format="%(message)s"
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            _LEVELS[level.value]
        ),
        logger_factory=lambda *args: output,
        cache_logger_on_first_use=True,
    )
    return output
