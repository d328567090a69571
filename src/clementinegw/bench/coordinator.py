"""Host processes of a measurement, which the shell starts and which meet here.

A process of this project starts no other, and that goes for its tools as well.
So whoever measures starts the hosts (`make bench-settings` does), each connects
to the first process over loopback TCP, and is told what to run.
"""

import asyncio
from collections.abc import Callable
from multiprocessing import connection as sockets
import selectors
import time
from typing import Any

from clementinegw import exceptions
from clementinegw import types

# The desk listens on the loopback of one machine for the time of one run. The
# word keeps out a stray client, nobody else.
_AUTH_KEY = b"clementinegw bench"
_TIMEOUT_S = 30.0
_RETRY_INTERVAL_S = 0.1

HostFunction = Callable[[Any, sockets.Connection], None]


class HostConnection:
    """A host process that has been given work."""

    def __init__(self, link: sockets.Connection):
        """Wraps the connection to it."""
        self._link = link

    def send(self, message: Any) -> None:
        """Sends a message."""
        self._link.send(message)

    async def receive(self) -> Any:
        """Waits for a message; raises EOFError when the host has ended."""
        return await asyncio.to_thread(self._link.recv)

    async def request(self, message: Any) -> Any:
        """Sends and waits for the answer."""
        return await asyncio.to_thread(self.request_blocking, message)

    def request_blocking(self, message: Any) -> Any:
        """Sends and waits for the answer; for code without a loop."""
        self._link.send(message)
        return self._link.recv()


class Coordinator:
    """Where hosts come for work."""

    def __init__(self, address: types.Address):
        """Listens; hosts that come wait until they are given work."""
        self._listener = sockets.Listener(
            (address.host, address.port), authkey=_AUTH_KEY, backlog=64
        )
        self._sockets = selectors.DefaultSelector()
        listening = self._listener._listener._socket  # type: ignore[attr-defined]
        self._sockets.register(listening, selectors.EVENT_READ)

    @property
    def address(self) -> types.Address:
        """Where it listens."""
        host, port = self._listener.address  # type: ignore[misc]
        return types.Address(str(host), int(port))

    async def assign(
        self, function: HostFunction, argument: Any
    ) -> HostConnection:
        """Gives work to the next host that comes; see `assign_blocking`."""
        return await asyncio.to_thread(self.assign_blocking, function, argument)

    def assign_blocking(
        self, function: HostFunction, argument: Any
    ) -> HostConnection:
        """Gives work to the next host that comes.

        Args:
          function: A function of a module; the host imports it by name.
          argument: What it is called with, beside its connection.

        Raises:
          exceptions.UsageError: No host came in time.
        """
        # The listener has no timeout of its own: without one a measurement
        # whose hosts were forgotten would wait for ever.
        ready = self._sockets.select(_TIMEOUT_S)
        if not ready:
            raise exceptions.UsageError(
                f"no host came within {_TIMEOUT_S:.0f} s; start them with "
                "`clementinegw bench host`, as `make bench-settings` does"
            )
        link = self._listener.accept()
        link.send((function, argument))
        return HostConnection(link)

    def close(self) -> None:
        """Stops listening."""
        self._sockets.close()
        self._listener.close()


def serve(address: types.Address) -> None:
    """Comes to the desk, does what it is told, and returns.

    Raises:
      exceptions.PlatformError: There is no desk at that address.
    """
    deadline = time.monotonic() + _TIMEOUT_S
    while True:
        try:
            link = sockets.Client(
                (address.host, address.port), authkey=_AUTH_KEY
            )
            break
        except OSError as error:
            if time.monotonic() > deadline:
                raise exceptions.PlatformError(
                    f"{address}: no measurement waits for hosts there"
                ) from error
            time.sleep(_RETRY_INTERVAL_S)
    function, argument = link.recv()
    function(argument, link)
    link.close()
