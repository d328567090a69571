"""Simulated processes in one event loop.

They can be partitioned from each other, paused and killed.

What runs inside `ProcessLoop.spawn` belongs to a process: its tasks, timers
and sockets are identified by a context variable that they all inherit. The
code under test therefore needs no support for network partitions, pauses and
crashes. The loop uses private parts of asyncio (of Python 3.11);
tests/test_processes.py fails when they change.
"""

import asyncio
from collections.abc import Coroutine
import contextvars
import dataclasses
import os
import selectors
import socket
from typing import Any

from clementinegw.testing import clock as clocks

_OWNER: contextvars.ContextVar[str] = contextvars.ContextVar("owner")
_CLOSED = -1
# Closing with this linger option resets the connection, as a crash does.
_LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


@dataclasses.dataclass(slots=True)
class _Socket:
    """A socket of a process.

    Attributes:
      owner: The name of its process.
      sock: The socket.
      peer_port: The remote port; 0 for listeners and datagrams.
    """

    owner: str
    sock: socket.socket
    peer_port: int


class ProcessLoop(clocks.VirtualTimeLoop):
    """A virtual-time loop that tracks the process of each task and socket."""

    def __init__(
        self,
        clock: clocks.VirtualClock | None = None,
        grace_s: float = 0.0,
        tick_s: float = 0.0,
    ):
        """Creates a loop without processes; see `clock.VirtualTimeLoop`."""
        self._sockets: dict[int, _Socket] = {}
        self._port_owners: dict[int, str] = {}
        self._places: dict[str, str] = {}
        self._partitions: set[frozenset[str]] = set()
        self._paused: set[str] = set()
        self._dead: set[str] = set()
        self._deferred: dict[str, list[asyncio.Handle]] = {}
        super().__init__(clock, grace_s, tick_s)

    def spawn(
        self, name: str, place: str, coroutine: Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        """Runs a coroutine as a process.

        Args:
          name: The process's name; a killed process may be spawned again.
          place: Its location, for `partition`.
          coroutine: Its first task.

        Returns:
          The task.
        """
        self._dead.discard(name)
        self._paused.discard(name)
        self._places[name] = place
        context = contextvars.copy_context()
        context.run(_OWNER.set, name)
        return self.create_task(coroutine, context=context)

    def partition(self, place: str, other: str) -> None:
        """Holds back all bytes between two places; closes no connection."""
        self._partitions.add(frozenset((place, other)))

    def heal(self, place: str, other: str) -> None:
        """Ends a partition; delayed TCP data arrives, datagrams are lost."""
        self._partitions.discard(frozenset((place, other)))

    def pause(self, name: str) -> None:
        """Suspends a process, including its timers."""
        self._paused.add(name)

    def resume(self, name: str) -> None:
        """Resumes a paused process, which does not notice the lost time."""
        self._paused.discard(name)
        for handle in self._deferred.pop(name, []):
            if not handle.cancelled():
                self._ready.append(handle)  # type: ignore[attr-defined]

    def kill(self, name: str) -> None:
        """Kills a process: its code stops running and its sockets reset."""
        self._dead.add(name)
        for fd, tracked in list(self._sockets.items()):
            if tracked.owner == name:
                self._close(fd, tracked.sock)

    def clear_faults(self) -> None:
        """Ends partitions, pauses and kills, so that the loop can be closed."""
        self._partitions.clear()
        self._dead.clear()
        for name in list(self._deferred):
            self.resume(name)
        self._paused.clear()

    def allowed_events(self, fd: int, events: int) -> int:
        """Returns the events that no partition or pause holds back."""
        if not (self._partitions or self._paused):
            return events
        tracked = self._sockets.get(fd)
        if tracked is None:
            return events
        if tracked.owner in self._paused:
            return 0
        if tracked.peer_port and self._is_partitioned(
            tracked.owner, tracked.peer_port
        ):
            return events & ~selectors.EVENT_READ
        return events

    def call_soon(self, callback, *args, context=None):  # type: ignore[override]
        """Schedules a callback for its process; see `asyncio`."""
        handle = super().call_soon(callback, *args, context=context)
        return self._wrap_handle(handle, context)

    def call_at(self, when, callback, *args, context=None):  # type: ignore[override]
        """Schedules a timer for its process; see `asyncio`."""
        handle = super().call_at(when, callback, *args, context=context)
        return self._wrap_handle(handle, context)

    def _wrap_handle(self, handle, context):
        owner = _OWNER.get("") if context is None else context.get(_OWNER, "")
        if owner:
            args = (owner, handle, handle._callback, handle._args)
            handle._args = args
            handle._callback = self._run_owned
        return handle

    def _run_owned(self, owner, handle, callback, args) -> None:
        if owner in self._paused or owner in self._dead:
            self._deferred.setdefault(owner, []).append(handle)
            return
        callback(*args)

    def _is_partitioned(self, owner: str, port: int) -> bool:
        other = self._port_owners.get(port, "")
        places = (self._places.get(owner, ""), self._places.get(other, ""))
        return frozenset(places) in self._partitions

    def _register_socket(self, sock: socket.socket, peer_port: int = 0) -> str:
        owner = _OWNER.get("")
        if owner:
            self._sockets[sock.fileno()] = _Socket(owner, sock, peer_port)
            self._port_owners[sock.getsockname()[1]] = owner
        else:
            # The descriptor may have belonged to a socket that is now closed.
            self._sockets.pop(sock.fileno(), None)
        return owner

    def _close(self, fd: int, sock: socket.socket) -> None:
        del self._sockets[fd]
        if sock.fileno() != fd:
            return
        self._remove_reader(fd)  # type: ignore[attr-defined]
        self._remove_writer(fd)  # type: ignore[attr-defined]
        # When the objects of a killed process are garbage-collected, they
        # close their transports. By then the descriptor may belong to a socket
        # of another process, which would receive nothing more and hang.
        transport = self._transports.pop(fd, None)  # type: ignore[attr-defined]
        if transport is not None:
            transport._sock_fd = _CLOSED
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        os.close(sock.detach())

    def _remove_reader(self, fd):
        return fd != _CLOSED and super()._remove_reader(fd)  # type: ignore[misc]

    def _remove_writer(self, fd):
        return fd != _CLOSED and super()._remove_writer(fd)  # type: ignore[misc]

    def _start_serving(self, protocol_factory, sock, *args, **kwargs):
        self._register_socket(sock)
        super()._start_serving(protocol_factory, sock, *args, **kwargs)  # type: ignore[misc]

    def _make_socket_transport(self, sock, protocol, *args, **kwargs):
        try:
            self._register_socket(sock, sock.getpeername()[1])
        except OSError:
            pass  # Closed by the other side already.
        return super()._make_socket_transport(  # type: ignore[misc]
            sock, protocol, *args, **kwargs
        )

    def _make_datagram_transport(self, sock, protocol, *args, **kwargs):
        owner = self._register_socket(sock)
        if owner:
            protocol = _PartitionFilter(self, owner, protocol)
        return super()._make_datagram_transport(  # type: ignore[misc]
            sock, protocol, *args, **kwargs
        )


class _PartitionFilter(asyncio.DatagramProtocol):
    """Drops the datagrams that cross a partition."""

    def __init__(self, loop: ProcessLoop, owner: str, protocol: Any):
        self._loop = loop
        self._owner = owner
        self._protocol = protocol

    def __getattr__(self, name: str) -> Any:
        return getattr(self._protocol, name)

    def connection_made(self, transport: Any) -> None:
        """Forwards to the wrapped protocol."""
        self._protocol.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forwards to the wrapped protocol."""
        self._protocol.connection_lost(exc)

    def error_received(self, exc: Exception) -> None:
        """Forwards to the wrapped protocol."""
        self._protocol.error_received(exc)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Forwards the datagram unless a partition separates the ends."""
        if not self._loop._is_partitioned(self._owner, addr[1]):
            self._protocol.datagram_received(data, addr)
