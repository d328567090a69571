"""Reads complete requests from one connection, within limits."""

import asyncio
from collections.abc import Awaitable, Callable
import enum
from typing import Protocol

import h11

from clementinegw.direct import channel as channels
from clementinegw.direct import types

# How long a body may take to arrive, in seconds.
_BODY_TIMEOUT_S = 20.0
_BAD_REQUEST = 400
_TIMEOUT = 408
_BODY_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
_UNAVAILABLE = 503


class Reason(enum.StrEnum):
    """Why a request is refused before it is read completely.

    Attributes:
      MALFORMED: It is not valid HTTP.
      HEAD_TOO_LARGE: Its head is larger than the limit.
      HEAD_TIMEOUT: Its head did not arrive completely in time.
      BODY_TOO_LARGE: Its body is larger than the limit.
      BODY_TIMEOUT: Its body did not arrive completely in time.
      NO_MEMORY: All requests and answers together need too much memory.
      INCOMPLETE: The caller's sending side ended within it.
      STOPPED: The process ends.
    """

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    NO_MEMORY = "no_memory"
    INCOMPLETE = "incomplete"
    STOPPED = "stopped"


class RequestRefused(Exception):  # noqa: N818
    """The request is not read to its end; the connection is to be closed.

    Attributes:
      status: The HTTP status to answer with.
      reason: Why it is refused.
    """

    def __init__(self, status: int, reason: Reason):
        super().__init__(status, reason)
        self.status = status
        self.reason = reason


class BodyMemory(Protocol):
    """Bounds the memory that the bodies of all requests take together."""

    def reserve(self, count: int) -> bool:
        """Reserves bytes for a body; returns False if they exceed the bound.

        With 0 bytes, it says whether a request without a body has room.
        """

    def release(self, count: int) -> None:
        """Releases reserved bytes."""


class RequestReader:
    """Reads one request after the other from a connection.

    Attributes:
      target: The target of the request whose head was read last.
    """

    def __init__(
        self,
        channel: channels.Channel,
        http: h11.Connection,
        limits: Callable[[], types.Limits],
        memory: BodyMemory,
        send: Callable[[h11.Event], Awaitable[None]],
    ):
        """Stores its collaborators; reads nothing yet.

        Args:
          channel: The connection.
          http: Its HTTP state, shared with the code that sends answers.
          limits: Returns the limits in force, which change while it is open.
          memory: Bounds the bytes of all bodies.
          send: Sends an event to the caller.
        """
        self._channel = channel
        self._http = http
        self._limits = limits
        self._memory = memory
        self._send = send
        self._reserved_bytes = 0
        self.target = ""

    def release_body(self) -> None:
        """Releases the memory that was reserved for the last body."""
        self._memory.release(self._reserved_bytes)
        self._reserved_bytes = 0

    async def head(self) -> h11.Request | None:
        """Returns the next request's head; None if nothing of one arrives.

        Raises:
          RequestRefused: What arrived is not the whole head of a request.
          channels.ChannelClosed: The connection broke.
        """
        event = self._next_event()
        if event is h11.NEED_DATA and not self._http.trailing_data[0]:
            # Nothing of a head has arrived: the connection is idle until then.
            if not await self._receive(self._limits().idle_timeout_s):
                return None
            event = self._next_event()
        now = asyncio.get_running_loop().time()
        deadline = now + self._limits().header_timeout_s
        while event is h11.NEED_DATA:
            if not await self._receive_until(deadline):
                raise RequestRefused(_TIMEOUT, Reason.HEAD_TIMEOUT)
            event = self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise RequestRefused(_BAD_REQUEST, Reason.MALFORMED)
        self.target = event.target.decode("ascii")
        return event

    async def body(self) -> bytes:
        """Returns the complete body; its memory stays reserved.

        `release_body` releases it.

        Raises:
          RequestRefused: The body did not arrive completely or in time, or it
            or all bodies together are too large.
          channels.ChannelClosed: The connection broke.
        """
        if self._http.they_are_waiting_for_100_continue:
            await self._send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        if not self._memory.reserve(0):
            raise RequestRefused(_UNAVAILABLE, Reason.NO_MEMORY)
        body = bytearray()
        deadline = asyncio.get_running_loop().time() + _BODY_TIMEOUT_S
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                if not await self._receive_until(deadline):
                    raise RequestRefused(_TIMEOUT, Reason.BODY_TIMEOUT)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits().body_bytes:
                    raise RequestRefused(_BODY_TOO_LARGE, Reason.BODY_TOO_LARGE)
                if not self._memory.reserve(len(event.data)):
                    raise RequestRefused(_UNAVAILABLE, Reason.NO_MEMORY)
                self._reserved_bytes += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise RequestRefused(_TIMEOUT, Reason.INCOMPLETE)

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the next event of the received bytes.

        Raises:
          RequestRefused: They are not valid HTTP, end within a request, or are
            too many without an event.
        """
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or _BAD_REQUEST
            reason = Reason.MALFORMED
            if status == _HEAD_TOO_LARGE:
                reason = Reason.HEAD_TOO_LARGE
            elif self._http.trailing_data[1]:
                status, reason = _TIMEOUT, Reason.INCOMPLETE
            raise RequestRefused(status, reason) from error
        if event is h11.NEED_DATA:
            unread_bytes = len(self._http.trailing_data[0])
            if unread_bytes > self._limits().header_bytes:
                raise RequestRefused(_HEAD_TOO_LARGE, Reason.HEAD_TOO_LARGE)
        return event

    async def _receive_until(self, deadline: float) -> bool:
        """Feeds received bytes to the HTTP state; see `_receive`."""
        now = asyncio.get_running_loop().time()
        return await self._receive(max(0.0, deadline - now))

    async def _receive(self, timeout_s: float) -> bool:
        """Feeds received bytes to the HTTP state.

        Bytes that arrive in the same turn of the loop in which the timeout ends
        are read, so that a loop that stood still drops nothing.

        Args:
          timeout_s: How long to wait for bytes, in seconds.

        Returns:
          False after the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                data = await self._channel.read()
        except TimeoutError:
            if not self._channel.has_unread:
                return False
            data = await self._channel.read()
        except channels.ChannelClosed as error:
            if not error.clean:
                raise
            data = b""
        self._http.receive_data(data)
        return True
