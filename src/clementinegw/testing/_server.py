"""An HTTP server on the loopback interface with fault injection."""

import asyncio

from aiohttp import web

from clementinegw.testing import memory

_LOOPBACK = "127.0.0.1"
_MAX_BODY_BYTES = 256 * 1024 * 1024
_STALL_CHECK_S = 0.05
# Handlers that still run when the server stops are cancelled after this time.
_SHUTDOWN_S = 0.1


class Listener:
    """One listening port of a server, for clients of one failure domain.

    Attributes:
      faults: Faults for these clients only.
      port: The port number; 0 before the first start.
    """

    def __init__(self) -> None:
        self.faults = memory.Faults()
        self.port = 0

    @property
    def address(self) -> str:
        """The base URL; the same one after a stop and another start."""
        return f"http://{_LOOPBACK}:{self.port}"


class Server:
    """Base class of the platform's servers: routes, faults, start and stop.

    Attributes:
      faults: Faults for all clients; may be changed at any time. `timeout_s`
        is ignored here, because the client under test has its own timeout.
      calls: Number of requests received, including refused ones.
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
        """Returns the listener of a failure domain, created on first use.

        Must be called before `start`. With a port for each failure domain, a
        test can partition one of them from the platform while the others
        still reach it.
        """
        return self._listeners.setdefault(place, Listener())

    async def start(self) -> None:
        """Starts listening; the kernel chooses the ports on the first start."""
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
        """Closes the ports and all connections; keeps the stored data."""
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
        """Returns whether the request stalls before it takes effect."""
        return self._is_stalled(request)

    async def stall(self, request: web.Request) -> None:
        """Keeps a connection open without sending, then aborts it."""
        # The fault is a plain attribute that a test sets at any time, so it
        # is polled.
        while self._is_stalled(request):  # noqa: ASYNC110
            await asyncio.sleep(_STALL_CHECK_S)
        abort_connection(request)

    def _faults_of(self, request: web.Request) -> list[memory.Faults]:
        """Returns the faults of the server and of the request's port."""
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
        """Returns whether a counted fault applies, and decrements its count."""
        for faults in self._faults_of(request):
            remaining = getattr(faults, fault)
            if remaining > 0:
                setattr(faults, fault, remaining - 1)
                return True
        return False


def abort_connection(request: web.Request) -> web.Response:
    """Aborts the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
