"""The HTTP server of a stand-in, which can crash and restart."""

import asyncio
from collections.abc import Coroutine
import json
from typing import Any

from aiohttp import web
import blake3

from clementinegw import types
from clementinegw.testing import _engine_faults

MAX_BODY_BYTES = 64 * 1024 * 1024


class StandInServer:
    """An aiohttp server that simulates the faults of a server process."""

    def __init__(self, faults: _engine_faults.Faults):
        """Creates a server that does not listen yet.

        Args:
          faults: The faults to apply to each request.
        """
        self.app = web.Application(
            middlewares=[self._apply_faults], client_max_size=MAX_BODY_BYTES
        )
        self._faults = faults
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._address = types.Address("127.0.0.1", 0)
        self._incarnation = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._restart_task: asyncio.Task[None] | None = None

    @property
    def address(self) -> types.Address:
        """The address that the server listens on."""
        return self._address

    @property
    def base_url(self) -> str:
        """The URL with scheme, address and port."""
        return f"http://{self._address}"

    @property
    def incarnation(self) -> int:
        """The number of crashes so far; each one ends all work in progress."""
        return self._incarnation

    async def start(self, address: types.Address) -> types.Address:
        """Starts to listen and returns the address; port 0 means any port."""
        self._address = address
        self._runner = web.AppRunner(
            self.app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=1.0,
        )
        await self._runner.setup()
        await self._listen()
        sockets = self._site._server.sockets  # type: ignore
        self._address = types.Address(address.host, sockets[0].getsockname()[1])
        return self._address

    async def stop(self) -> None:
        """Closes the socket and cancels all work in progress."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        for task in list(self._tasks):
            task.cancel()
        if self._runner is not None:
            self._abort_connections()
            await self._runner.cleanup()
            self._runner = None

    def crash(self, restart_s: float | None) -> None:
        """Aborts all connections and cancels all work, as a crash would.

        Args:
          restart_s: The time until the restart, in seconds; None for never.
        """
        self._incarnation += 1
        for task in list(self._tasks):
            task.cancel()
        self._abort_connections()
        if self._restart_task is None or self._restart_task.done():
            loop = asyncio.get_running_loop()
            self._restart_task = loop.create_task(self._listen_again(restart_s))

    async def run_shielded(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Awaits work that continues if the client disconnects."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _listen(self) -> None:
        assert self._runner is not None
        self._site = web.TCPSite(
            self._runner,
            self._address.host,
            self._address.port,
            reuse_address=True,
        )
        await self._site.start()

    async def _listen_again(self, restart_s: float | None) -> None:
        if self._site is not None:
            await self._site.stop()
        if restart_s is None:
            return
        await asyncio.sleep(restart_s)
        await self._listen()

    def _abort_connections(self) -> None:
        if self._runner is None or self._runner.server is None:
            return
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if self._faults.down:
            _engine_faults.abort_connection(request)
            return web.Response(status=503)
        await self._faults.wait_before_answer()
        try:
            response = await handler(request)
        except ConnectionError:
            _engine_faults.abort_connection(request)
            return web.Response(status=503)
        if self._faults.consume_answer_drop(_route_name(request)):
            _engine_faults.abort_connection(request)
        return response


def _route_name(request: web.Request) -> str:
    return request.match_info.route.name or ""


def json_response(
    body: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Returns a response with a JSON body."""
    return web.Response(
        body=json.dumps(body).encode(),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def body_digest(body: bytes) -> str:
    """Returns a short digest that identifies a body in answers."""
    return blake3.blake3(body).hexdigest(length=8)
