"""Assigns work to the host processes of a measurement over loopback TCP.

No process of this project starts another process, and neither do its tools. The
shell starts the host processes (see `make bench-settings`); each connects to
the coordinator in the first process and receives the function to run.
"""

import asyncio
from collections.abc import Callable
from multiprocessing import connection as sockets
import selectors
import time
from typing import Any

from clementinegw import exceptions
from clementinegw import types

# The coordinator listens on the loopback interface during one run. The fixed
# key rejects accidental connections; it gives no security.
_AUTH_KEY = b"clementinegw bench"
_TIMEOUT_S = 30.0
_RETRY_INTERVAL_S = 0.1

HostFunction = Callable[[Any, sockets.Connection], None]


class HostConnection:
    """A connection to a host process that has been assigned work."""

    def __init__(self, link: sockets.Connection):
        """Wraps the connection to the host process."""
        self._link = link

    def send(self, message: Any) -> None:
        """Sends a message."""
        self._link.send(message)

    async def receive(self) -> Any:
        """Returns the next message.

        Raises:
          EOFError: The host process has ended.
        """
        return await asyncio.to_thread(self._link.recv)

    async def request(self, message: Any) -> Any:
        """Sends a message and returns the answer."""
        return await asyncio.to_thread(self.request_blocking, message)

    def request_blocking(self, message: Any) -> Any:
        """Sends a message and returns the answer, outside an event loop."""
        self._link.send(message)
        return self._link.recv()


class Coordinator:
    """Accepts host processes and assigns work to them."""

    def __init__(self, address: types.Address):
        """Listens; connected hosts wait until they are assigned work."""
        self._listener = sockets.Listener(
            (address.host, address.port), authkey=_AUTH_KEY, backlog=64
        )
        self._sockets = selectors.DefaultSelector()
        listening = self._listener._listener._socket  # type: ignore[attr-defined]
        self._sockets.register(listening, selectors.EVENT_READ)

    @property
    def address(self) -> types.Address:
        """The address that the coordinator listens on."""
        host, port = self._listener.address  # type: ignore[misc]
        return types.Address(str(host), int(port))

    async def assign(
        self, function: HostFunction, argument: Any
    ) -> HostConnection:
        """Assigns work to the next host; see `assign_blocking`."""
        return await asyncio.to_thread(self.assign_blocking, function, argument)

    def assign_blocking(
        self, function: HostFunction, argument: Any
    ) -> HostConnection:
        """Assigns work to the next host that connects.

        Args:
          function: A module-level function; the host imports it by name.
          argument: Its first argument; the second is the connection.

        Raises:
          exceptions.UsageError: No host connected in time.
        """
        # The listener has no timeout of its own: without this one, a
        # measurement without started hosts would wait forever.
        ready = self._sockets.select(_TIMEOUT_S)
        if not ready:
            raise exceptions.UsageError(
                f"no host connected within {_TIMEOUT_S:.0f} s; start them with "
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
    """Connects to the coordinator and runs the assigned function.

    Raises:
      exceptions.PlatformError: No coordinator listens at that address.
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
                    f"{address}: no measurement waits for hosts at this address"
                ) from error
            time.sleep(_RETRY_INTERVAL_S)
    function, argument = link.recv()
    function(argument, link)
    link.close()
