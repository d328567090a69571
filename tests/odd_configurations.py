"""Requests of all kinds that stay open while configurations change."""

import asyncio

import platform_site as sites

_ROUTES = ("safe", "once", "stream")
# Long enough for a record to reach the entry, in seconds.
APPLY_S = 1.5
# The requests that the two servers run at once; more are queued.
_CAPACITY = 6
_TIMEOUT_MS = 20_000
TOKEN_USAGE = "X-Clementinegw-Token-Usage: 800,100"


def config(version, **fields):
    """Returns a valid configuration; fields named as a section change it.

    Args:
      version: The version.
      **fields: `route` and `service` change each route and the service, the
        others replace a section.
    """
    route = {
        "timeout_ms": _TIMEOUT_MS,
        "target_latency_ms": 8_000,
        **fields.pop("route", {}),
    }
    service = fields.pop("service", {})
    result = sites.config(version, **fields)
    if "routes" not in fields:
        result["routes"] = [{**r, **route} for r in result["routes"]]
    if "services" not in fields:
        result["services"] = [{**s, **service} for s in result["services"]]
    return result


class Site(sites.Site):
    """A site whose servers hold requests until they are let go.

    Attributes:
      errors: What asyncio reported as unhandled.
    """

    def __init__(self):
        super().__init__("i-1", "i-2", on_call=self._answer)
        self.errors = []
        self._go = asyncio.Event()
        self._version = 1

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: self.errors.append(context)
        )
        await super().__aenter__()
        for server in self.servers:
            self.list_server(server)
        await self.put()
        return self

    def list_server(self, server, **fields):
        """Lists a server that holds weights, with changed fields."""
        layers = {"from": 0, "target": 64, "version": 1}
        model = {"name": "m", "version": 1, "layers": layers}
        record = server.record(slots=1, models=[model])
        self.store.put("keyed.servers", server.name, {**record, **fields})

    async def put(self, **fields):
        """Writes the next configuration and waits until it is in force."""
        self._version += 1
        self.store.put("keyed.op", "config", config(self._version, **fields))
        await asyncio.sleep(APPLY_S)

    @property
    def version(self):
        """The version of the configuration in force."""
        return self.entry._config_view.catalog.version

    @property
    def has_crashed(self):
        """Whether the entry or one of its readers of topics has ended."""
        entry = self.entry
        services = (entry, entry._relay, entry._operators, entry._server_list)
        return any(service.crashed for service in services)

    def in_force(self):
        """Returns whether the newest configuration is in force."""
        return self.version == self._version

    def let_go(self):
        """Lets the servers answer all requests."""
        self._go.set()

    def hold(self):
        """Makes the servers hold further requests."""
        self._go = asyncio.Event()

    def break_a_stream(self):
        """Breaks a stream that a server has begun."""
        for server in self.servers:
            for call in server.calls:
                if call.has_begun:
                    call.has_begun = False
                    call.reset()
                    return
        raise AssertionError("no stream has begun")

    async def _answer(self, call):
        call.has_begun = False
        if not call.head.target.startswith(b"/stream/"):
            await self._go.wait()
            call.answer()
            return
        call.begin_stream()
        first = int(call.headers.get("last-event-id", 0)) + 1
        call.event(first)
        call.has_begun = True
        await self._go.wait()
        for number in range(first + 1, first + 4):
            call.event(number)
        call.end_stream()


class Traffic:
    """Open requests of all kinds, some of them queued."""

    def __init__(self, site):
        self._site = site
        self._number = 0
        self._tasks = []

    def open(self, route, **fields):
        """Sends a request that stays open."""
        self._number += 1
        fields = {
            "attempt_id": f"{route}-{self._number}",
            "deadline_ms": _TIMEOUT_MS,
            **fields,
        }
        self._tasks.append(
            asyncio.ensure_future(
                self._site.ask(f"/{route}/{self._number}", **fields)
            )
        )

    def open_each(self, **fields):
        """Sends a request of each kind."""
        for route in _ROUTES:
            self.open(route, **fields)

    async def open_all(self):
        """Opens more requests of all kinds than the servers have room for."""
        for number in range(_CAPACITY + len(_ROUTES)):
            self.open(_ROUTES[number % len(_ROUTES)])
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)

    async def statuses(self):
        """Returns the statuses of all answers; 0 for an incomplete one."""
        async with asyncio.timeout(60.0):
            answers = await asyncio.gather(*self._tasks)
        return {a.status if a.complete else 0 for a in answers}
