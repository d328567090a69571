"""Serves health and status pages for the balancer and operators.

`/healthz` reports that the process runs, `/readyz` whether it should receive
requests, and `/status` its state. They are served on the admin address,
separate from the port for callers.
"""

from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import web
import mode

from clementinegw import types

StatusCallback = Callable[[], Mapping[str, Any]]


class StatusServer(mode.Service):
    """Serves the health and status pages of one daemon."""

    def __init__(
        self,
        address: types.Address,
        report: StatusCallback,
        not_ready_reasons: StatusCallback,
    ):
        """Initializes the server.

        Args:
          address: The address to listen on; port 0 lets the kernel choose.
          report: Returns the contents of `/status`.
          not_ready_reasons: Returns the reasons why the daemon should receive
            no new requests, by name; empty when it is ready.
        """
        super().__init__()
        self._address = address
        self._report = report
        self._not_ready_reasons = not_ready_reasons
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> types.Address:
        """The listening address; its port is final after the start."""
        return self._address

    async def on_start(self) -> None:
        """Starts the HTTP server."""
        app = web.Application()
        add_health_routes(app, self._not_ready_reasons)
        app.router.add_get("/status", self._status)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address.host, self._address.port)
        await site.start()
        port = self._runner.addresses[0][1]
        self._address = types.Address(self._address.host, port)

    async def on_stop(self) -> None:
        """Stops the HTTP server."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _status(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(dict(self._report()))


def add_health_routes(
    app: web.Application, not_ready_reasons: StatusCallback
) -> None:
    """Adds `/healthz` and `/readyz`, which the balancer polls.

    Args:
      app: The application to add them to.
      not_ready_reasons: Returns the reasons why the daemon should receive no
        new requests, by name; empty when it is ready.
    """

    async def _healthz(request: web.Request) -> web.Response:
        del request
        return web.json_response({"healthy": True})

    async def _readyz(request: web.Request) -> web.Response:
        del request
        reasons = dict(not_ready_reasons())
        status = 503 if reasons else 200
        return web.json_response(
            {"ready": not reasons, "reasons": reasons}, status=status
        )

    app.router.add_get("/healthz", _healthz)
    app.router.add_get("/readyz", _readyz)
