"""Buffered log output that never blocks requests."""

import asyncio
import collections
from collections.abc import Callable
import datetime
import json
import logging
import os
import select
import time
import traceback

import structlog

from clementinegw.telemetry import events

# Bounds of the buffer in lines and of a write in bytes.
_MAX_BUFFERED_LINES = 2_000
_MAX_WRITE_BYTES = 32 << 10
# Lines are collected for this time, in seconds, since a write costs more than a
# line.
_FLUSH_DELAY_S = 0.1
# How long the end of a process waits for a slow reader, in seconds.
_CLOSE_TIMEOUT_S = 0.3
_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class Output:
    """A bounded buffer of lines in front of standard output.

    Attributes:
      dropped: The number of lines that were lost.
      on_dropped: Called with the number of lost lines once the output accepts
        lines again.
    """

    def __init__(self, fd: int = 1):
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False
        self._reported = 0
        self.dropped = 0
        self.on_dropped: Callable[[int], None] = lambda count: None
        os.set_blocking(fd, False)

    def msg(self, line: str) -> None:
        """Buffers a line."""
        if len(self._lines) >= _MAX_BUFFERED_LINES:
            # A stalled reader of the output must neither block requests nor
            # let the lines fill the memory. The counter shows the loss.
            self._lines.popleft()
            self.dropped += 1
        self._lines.append(line.encode() + b"\n")
        if self._closed:
            self.flush()
        else:
            self._schedule_flush()

    debug = info = warning = error = log = msg

    def flush(self) -> None:
        """Writes as many lines as standard output accepts now.

        The others are written later, even if no further line is logged.
        """
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        written = self._write()
        if self._unwritten:
            self._schedule_flush()
        elif written and self.dropped > self._reported:
            count = self.dropped - self._reported
            self._reported = self.dropped
            self.on_dropped(count)

    def close(self, timeout_s: float = _CLOSE_TIMEOUT_S) -> None:
        """Writes the remaining lines at the end of the process.

        Lines that are logged later are written at once.

        Args:
          timeout_s: How long to wait for a slow reader, in seconds.
        """
        self._closed = True
        end = time.monotonic() + timeout_s
        self.flush()
        while self._unwritten:
            left_s = max(0.0, end - time.monotonic())
            if not select.select([], [self._fd], [], left_s)[1]:
                self._drop_all()
                break
            self.flush()

    def _schedule_flush(self) -> None:
        if self._timer is not None or self._closed:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without an event loop there are no requests to block.
            self._write()
            return
        self._timer = loop.call_later(_FLUSH_DELAY_S, self.flush)

    def _write(self) -> int:
        """Returns how many bytes standard output accepted."""
        total = 0
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
                self._unwritten = data
                self._drop_all()
                return total
            total += written
            self._unwritten = data[written:]
            if self._unwritten:
                return total
        return total

    def _drop_all(self) -> None:
        """Drops and counts all lines that are not written completely."""
        self.dropped += self._unwritten.count(b"\n") + len(self._lines)
        self._unwritten = b""
        self._lines.clear()


class LibraryHandler(logging.Handler):
    """Writes messages of libraries as lines of the same output.

    Otherwise messages about failed tasks and callbacks would be lost, and those
    written beside the output could be cut by a stalled reader.
    """

    def __init__(self, out: Output):
        super().__init__(logging.ERROR)
        self._out = out

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a message with the traceback of its error."""
        fields = {
            "event": record.getMessage(),
            "logger": record.name,
            "level": record.levelname.lower(),
            "timestamp": datetime.datetime.fromtimestamp(
                record.created, datetime.UTC
            ).strftime("%Y-%m-%dT%H:%M:%S.%fZ"),
        }
        if record.exc_info and record.exc_info[1] is not None:
            error = record.exc_info[1]
            fields["exception"] = "".join(traceback.format_exception(error))
        self._out.msg(json.dumps(fields))


def configure(level: events.Level = events.Level.INFO) -> Output:
    """Writes log lines of `level` and above to standard output."""
    output = Output()
    logging.basicConfig(handlers=[LibraryHandler(output)], level=logging.ERROR)
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
