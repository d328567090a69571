"""An HTTP server on the loopback that can be told to fail."""

import asyncio

from aiohttp import web

from clementinegw.testing import memory

_LOOPBACK = "127.0.0.1"
_MAX_BODY_BYTES = 256 * 1024 * 1024
_STALL_CHECK_S = 0.05
# Handlers that still wait when the server stops are cancelled after this.
_SHUTDOWN_S = 0.1


class Listener:
    """One port of a server, for the clients of one failure domain.

    Attributes:
      faults: What goes wrong for these clients only.
      port: The port; 0 before the first start.
    """

    def __init__(self) -> None:
        self.faults = memory.Faults()
        self.port = 0

    @property
    def address(self) -> str:
        """The base URL; the same one after a stop and another start."""
        return f"http://{_LOOPBACK}:{self.port}"


class Server:
    """One part of the platform: routes, faults, start and stop.

    Attributes:
      faults: What goes wrong; set and reset at any time. `timeout_s` has no
        meaning here: the client under test has its own.
      calls: Calls that came in, refused ones included.
    """

    def __init__(self) -> None:
        self.faults = memory.Faults()
        self.calls = 0
        self._listeners = {"": Listener()}
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """The base URL; the same one after a stop and another start."""
        return self._listeners[""].address

    def listener(self, place: str) -> Listener:
        """Returns the port for a failure domain; asked for before the start.

        With a port for each failure domain, a test can cut one of them off
        from the platform while the others go on.
        """
        return self._listeners.setdefault(place, Listener())

    async def start(self) -> None:
        """Listens on ports that the kernel chooses the first time."""
        app = web.Application(
            client_max_size=_MAX_BODY_BYTES, middlewares=[self._inject_faults]
        )
        app.add_routes(self._routes())
        self._runner = web.AppRunner(
            app, shutdown_timeout=_SHUTDOWN_S, access_log=None
        )
        await self._runner.setup()
        for count, listener in enumerate(self._listeners.values()):
            site = web.TCPSite(
                self._runner, _LOOPBACK, listener.port, reuse_address=True
            )
            await site.start()
            listener.port = self._runner.addresses[count][1]

    async def stop(self) -> None:
        """Closes the ports and all connections; keeps what it holds."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def _routes(self) -> list[web.RouteDef]:
        raise NotImplementedError

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler
    ) -> web.StreamResponse:  # type: ignore[no-untyped-def]
        self.calls += 1
        slow_s = sum(faults.slow_s for faults in self._faults_of(request))
        if slow_s:
            await asyncio.sleep(slow_s)
        if self._stalls_before_effect(request):
            await self.stall(request)
        if self._is_down(request) or self._consume_fault(request, "refused"):
            raise web.HTTPServiceUnavailable
        response = await handler(request)
        changes = request.method in ("POST", "PUT")
        if changes and self._consume_fault(request, "answer_lost"):
            return abort_connection(request)
        return response

    def _stalls_before_effect(self, request: web.Request) -> bool:
        """Returns whether a stalled call stops before it has its effect."""
        return self._is_stalled(request)

    async def stall(self, request: web.Request) -> None:
        """Holds a connection open without a byte, then breaks it off."""
        # The fault is plain data that a test sets from anywhere, so it is
        # looked at again and again.
        while self._is_stalled(request):  # noqa: ASYNC110
            await asyncio.sleep(_STALL_CHECK_S)
        abort_connection(request)

    def _faults_of(self, request: web.Request) -> list[memory.Faults]:
        """Returns the server's faults and those of the port used."""
        found = [self.faults]
        if request.transport is not None:
            port = request.transport.get_extra_info("sockname")[1]
            listeners = self._listeners.values()
            found += [
                listener.faults
                for listener in listeners
                if listener.port == port
            ]
        return found

    def _is_down(self, request: web.Request) -> bool:
        return any(faults.down for faults in self._faults_of(request))

    def _is_stalled(self, request: web.Request) -> bool:
        return any(faults.stalled for faults in self._faults_of(request))

    def _consume_fault(self, request: web.Request, fault: str) -> bool:
        """Uses up one of the next n calls that a fault is set for."""
        for faults in self._faults_of(request):
            left = getattr(faults, fault)
            if left > 0:
                setattr(faults, fault, left - 1)
                return True
        return False


def abort_connection(request: web.Request) -> web.Response:
    """Breaks a connection off without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
