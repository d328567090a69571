"""Detects bytes that are under way between TCP sockets of one process.

The kernel may deliver bytes over the loopback interface late, for example on a
busy machine or while it collects them into larger segments. Its counters of the
two ends of a connection show what was sent and has not arrived yet.
"""

import array
from collections.abc import Iterable
import dataclasses
import fcntl
import socket
import struct
import termios
from typing import Any

# The addresses of a connection, the one of this end first.
_Ends = tuple[Any, Any]

# Fields of Linux's `struct tcp_info`: the state, the bytes received, the bytes
# that are not sent yet, and the bytes sent, with those that were sent again.
_TCP_INFO_BYTES = 216
_STATE = struct.Struct("B")
_RECEIVED = struct.Struct("@128xQ")
_NOT_SENT = struct.Struct("@144xI")
_SENT = struct.Struct("@200xQQ")
# States of a connection whose peer may still send: ESTABLISHED, FIN_WAIT1 and
# FIN_WAIT2.
_RECEIVING_STATES = frozenset({1, 4, 5})


@dataclasses.dataclass(frozen=True, slots=True)
class _Counters:
    """The kernel's counters of one end of a connection, in bytes."""

    state: int
    sent: int
    not_sent: int
    received: int


class Traffic:
    """The loopback connections between sockets of this process."""

    def __init__(self) -> None:
        self._ends: dict[int, _Ends | None] = {}
        # What sockets that are no longer tracked had been given to send.
        self._written: dict[_Ends, int] = {}

    def add(self, fd: int) -> None:
        """Tracks a socket."""
        self._ends.pop(fd, None)

    def remove(self, fd: int) -> None:
        """Stops tracking a socket; to be called before it is closed."""
        ends = self._find_ends(fd)
        self._ends.pop(fd, None)
        counters = _read_counters(fd) if ends else None
        if ends and counters:
            self._written[ends] = counters.sent + counters.not_sent

    def is_under_way(self, fds: Iterable[int]) -> bool:
        """Returns whether bytes have been written and have not arrived.

        Args:
          fds: The sockets that are tracked.
        """
        found = {}
        for fd in fds:
            ends = self._find_ends(fd)
            counters = _read_counters(fd) if ends else None
            if ends and counters:
                found[ends] = (fd, counters)
        for (own, other), (fd, counters) in found.items():
            if counters.state not in _RECEIVING_STATES:
                continue
            peer = found.get((other, own))
            if peer is None:
                expected = self._written.get((other, own), 0)
            else:
                expected = peer[1].sent
                # The kernel sends no more while this end has not read.
                if peer[1].not_sent and not _unread_bytes(fd):
                    return True
            if counters.received < expected:
                return True
        return False

    def _find_ends(self, fd: int) -> _Ends | None:
        """Returns the addresses of a loopback connection; None for others."""
        if fd not in self._ends:
            self._ends[fd] = ends = _read_ends(fd)
            if ends is not None:
                self._written.pop(ends, None)
        return self._ends[fd]


def _read_ends(fd: int) -> _Ends | None:
    try:
        sock = socket.socket(fileno=fd)
    except OSError:
        return None
    try:
        if (sock.family, sock.type) != (socket.AF_INET, socket.SOCK_STREAM):
            return None
        own, other = sock.getsockname(), sock.getpeername()
    except OSError:
        # A listener, or a connection that is not open.
        return None
    finally:
        sock.detach()
    return (own, other) if other[0].startswith("127.") else None


def _read_counters(fd: int) -> _Counters | None:
    """Returns the counters of a connection; None if the kernel has none."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
    except OSError:
        return None
    finally:
        sock.detach()
    if len(info) < _TCP_INFO_BYTES:
        return None
    sent, sent_again = _SENT.unpack_from(info)
    return _Counters(
        _STATE.unpack_from(info)[0],
        sent - sent_again,
        _NOT_SENT.unpack_from(info)[0],
        _RECEIVED.unpack_from(info)[0],
    )


def _unread_bytes(fd: int) -> int:
    unread = array.array("i", [0])
    fcntl.ioctl(fd, termios.FIONREAD, unread)
    return unread[0]
