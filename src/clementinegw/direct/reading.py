"""Reads whole requests from one connection, within limits."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import h11

from clementinegw.direct import channel as channels
from clementinegw.direct import types

# How long one body may take to arrive, in seconds.
_BODY_S = 20.0
_BAD_REQUEST = 400
_TOO_LARGE = 413
_UNAVAILABLE = 503


class Refused(Exception):  # noqa: N818
    """The request is not taken; the connection ends."""

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


class Memory(Protocol):
    """What the bodies of all requests may take."""

    def reserve(self, count: int) -> bool:
        """Counts bytes of bodies; False when all bodies are too many."""

    def release(self, count: int) -> None:
        """Gives counted bytes back."""


class Reader:
    """Reads one request after the other."""

    def __init__(
        self,
        channel: channels.Channel,
        http: h11.Connection,
        memory: Memory,
        send: Callable[[h11.Event], Awaitable[None]],
    ):
        """Reads nothing yet.

        Args:
          channel: The connection.
          http: Its state; who answers has it too.
          memory: Counts the bytes of bodies.
          send: Sends to the caller.
        """
        self._channel = channel
        self._http = http
        self._memory = memory
        self._send = send
        self._held_bytes = 0

    def release(self) -> None:
        """Gives back what the last body took."""
        self._memory.release(self._held_bytes)
        self._held_bytes = 0

    async def head(self, limits: types.Limits) -> h11.Request | None:
        """Returns the next request's head; None when no more follows.

        Raises:
          Refused: What came is none.
          channels.ChannelClosed: The connection broke.
        """
        event = self._http.next_event()
        if event is h11.NEED_DATA:
            # Nothing of a head has come: the connection is idle until then.
            if not await self._more(limits.idle_timeout_s):
                return None
            deadline = asyncio.get_running_loop().time()
            deadline += limits.header_timeout_s
            event = self._http.next_event()
            while event is h11.NEED_DATA:
                left = deadline - asyncio.get_running_loop().time()
                if left <= 0 or not await self._more(left):
                    return None
                event = self._http.next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise Refused(_BAD_REQUEST)
        return event

    async def body(self, limits: types.Limits) -> bytes:
        """Returns the whole body; its bytes count until `release`.

        Raises:
          Refused: It is too large, or all bodies together are.
          channels.ChannelClosed: It did not come whole.
        """
        if self._http.they_are_waiting_for_100_continue:
            await self._send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        body = bytearray()
        deadline = asyncio.get_running_loop().time() + _BODY_S
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                left = deadline - asyncio.get_running_loop().time()
                if left <= 0 or not await self._more(left):
                    raise channels.ChannelClosed(clean=False)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise Refused(_TOO_LARGE)
                if not self._memory.reserve(len(event.data)):
                    raise Refused(_UNAVAILABLE)
                self._held_bytes += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise channels.ChannelClosed(clean=False)

    async def _more(self, timeout_s: float) -> bool:
        """Reads on; False at the end of the connection or the time."""
        try:
            async with asyncio.timeout(timeout_s):
                data = await self._channel.read()
        except TimeoutError:
            return False
        except channels.ChannelClosed as error:
            if not error.clean:
                raise
            data = b""
        self._http.receive_data(data)
        return bool(data)
