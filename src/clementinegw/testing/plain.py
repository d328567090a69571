"""A stand-in for a plain JSON service with look-ups and bookings.

Look-ups may be repeated. A booking takes effect each time it runs: like many
old inventory systems, the service does not support idempotency keys.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import json

from aiohttp import web

from clementinegw import clock as clocks
from clementinegw import types as shared
from clementinegw.backend import types
from clementinegw.testing import _engine_faults
from clementinegw.testing import _engine_server
from clementinegw.testing import _engine_slots
from clementinegw.testing import ledger as ledgers

Faults = _engine_faults.Faults


@dataclasses.dataclass(frozen=True, slots=True)
class PlainSettings:
    """The capacity and speed of one plain service.

    Attributes:
      max_parallel: Maximum number of requests processed at once.
      look_up_s: Duration of a look-up, in seconds.
      booking_s: Duration of a booking or quotation, in seconds.
    """

    max_parallel: int = 16
    look_up_s: float = 0.005
    booking_s: float = 0.02


class PlainStandIn:
    """One plain service: `GET /items/ID`, `POST /bookings`, `/quotations`."""

    def __init__(
        self,
        name: str,
        ledger: ledgers.Ledger,
        settings: PlainSettings | None = None,
        clock: clocks.Clock | None = None,
    ):
        """Creates a service that does not listen yet.

        Args:
          name: Its name in the ledger.
          ledger: The ledger that records its runs.
          settings: Capacity and speed; `PlainSettings()` by default.
          clock: The source of time; the system clock by default.
        """
        self.faults = Faults()
        self.ledger = ledger
        self._name = name
        self._settings = settings or PlainSettings()
        self._clock = clock or clocks.SystemClock()
        self._slots = _engine_slots.Slots(self._settings.max_parallel, _no_op)
        self._server = _engine_server.StandInServer(self.faults)
        self._bookings: list[bytes] = []
        self._server.app.add_routes(
            [
                web.get("/items/{item}", self._look_up, name="look_up"),
                web.post("/bookings", self._book, name="booking"),
                web.post("/quotations", self._book, name="quotation"),
            ]
        )

    @property
    def name(self) -> str:
        """Its name in the ledger."""
        return self._name

    @property
    def address(self) -> shared.Address:
        """The address that it listens on."""
        return self._server.address

    @property
    def base_url(self) -> str:
        """Scheme, address and port."""
        return self._server.base_url

    @property
    def bookings(self) -> list[bytes]:
        """The bodies of all bookings and quotations that took effect."""
        return self._bookings

    @property
    def running(self) -> int:
        """The number of requests being processed."""
        return self._slots.running

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Starts listening; with port 0 the kernel chooses the port."""
        await self._server.start(shared.Address(host, port))

    async def stop(self) -> None:
        """Closes the socket and aborts running requests."""
        await self._server.stop()

    def crash(self, restart_s: float | None = None) -> None:
        """Crashes; restarts after `restart_s` seconds, or never if None."""
        self._server.crash(restart_s)

    async def _look_up(self, request: web.Request) -> web.Response:
        item = request.match_info["item"]
        return await self._run(
            request, self._settings.look_up_s, lambda _: item_response(item)
        )

    async def _book(self, request: web.Request) -> web.Response:
        return await self._run(
            request, self._settings.booking_s, self._apply_booking
        )

    def _apply_booking(self, body: bytes) -> bytes:
        self._bookings.append(body)
        return booking_response(body)

    async def _run(
        self,
        request: web.Request,
        seconds: float,
        effect: Callable[[bytes], bytes],
    ) -> web.Response:
        body = await request.read()
        await self._slots.acquire(int(shared.Priority.NORMAL))
        incarnation = self._server.incarnation
        run = self._start(request)
        end = ledgers.RunEnd.DROPPED
        answer = b""
        try:
            if self.faults.triggers_crash(body):
                self._server.crash(self.faults.restart_s)
                raise ConnectionResetError("the service crashed")
            await asyncio.sleep(seconds * self.faults.slow_factor)
            answer = effect(body)
            end = ledgers.RunEnd.FINISHED
            return web.Response(body=answer, content_type="application/json")
        finally:
            self._slots.release()
            if self._server.incarnation != incarnation:
                end = ledgers.RunEnd.CRASHED
            self.ledger.finish(run, end, self._clock.now(), answer)

    def _start(self, request: web.Request) -> ledgers.Run:
        headers = request.headers
        return self.ledger.start(
            headers.get(types.REQUEST_ID_HEADER, ""),
            headers.get(types.KEY_HEADER, ""),
            f"{request.method} {request.path}",
            self._name,
            self._clock.now(),
            incarnation=self._server.incarnation,
        )


def item_response(item: str) -> bytes:
    """Returns the response body of a look-up."""
    return json.dumps({"item": item, "stock": len(item) * 7}).encode()


def booking_response(body: bytes) -> bytes:
    """Returns the response body of a booking or quotation."""
    digest = _engine_server.body_digest(body)
    return json.dumps({"booked": digest}).encode()


def _no_op() -> None:
    return None
