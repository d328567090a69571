"""A stand-in for the platform: log, instance list, weight store and origin.

Each one is a small HTTP server on the loopback interface with its own
`.faults`. Their protocol is specified in docs/design/platform.md.
"""

import asyncio
import base64
import collections
from collections.abc import Sequence
import dataclasses
import json

from aiohttp import web
import pydantic

from clementinegw import clock as clocks
from clementinegw.platform import instances
from clementinegw.testing import _records
from clementinegw.testing import _server
from clementinegw.testing import links
from clementinegw.testing import memory

_LOG_APPENDS_PER_S = 400.0
_LIST_LAG_S = 2.0
_WRITE_BYTES = 64 * 1024
# Burst size, in seconds at the full rate.
_BURST_S = 0.25
_MAX_PAGE_RECORDS = 1000


class LogServer(_server.Server):
    """The append-only log, with limited rate and retention.

    Attributes:
      log: The records, with `put`, `all`, `truncate`, `roll_back`, `skip`.
      rate_limited: Number of appends rejected with status 429.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        appends_per_s: float = _LOG_APPENDS_PER_S,
        retention_s: float | None = None,
    ):
        """Creates an empty log.

        Args:
          clock: The source of time.
          appends_per_s: Appends per second above which it answers 429.
          retention_s: Seconds that a record is kept; None keeps all.
        """
        super().__init__()
        self.log = memory.MemoryLog(clock, retention_s)
        self.rate_limited = 0
        self._bucket = links.TokenBucket(
            appends_per_s, appends_per_s * _BURST_S, clock
        )

    def _routes(self) -> list[web.RouteDef]:
        return [
            web.post("/streams/{name}", self._append),
            web.get("/streams/{name}", self._read),
        ]

    async def _append(self, request: web.Request) -> web.Response:
        value = await request.read()
        if not self._bucket.try_take():
            self.rate_limited += 1
            return web.Response(status=429, headers={"Retry-After": "1"})
        offset = await self.log.append(request.match_info["name"], value)
        return web.json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        page = await self.log.read(
            request.match_info["name"],
            _number(request, "from", 0),
            min(
                _number(request, "limit", _MAX_PAGE_RECORDS), _MAX_PAGE_RECORDS
            ),
            float(request.query.get("wait_s", "0")),
        )
        # An outage may have started while the call was waiting.
        if self._is_down(request):
            raise web.HTTPServiceUnavailable
        records = [
            {
                "offset": record.offset,
                "time": record.time,
                "value": base64.b64encode(record.value).decode(),
            }
            for record in page.records
        ]
        body = json.dumps(
            {
                "first": page.first_offset,
                "next": page.next_offset,
                "records": records,
            }
        )
        return _json(body, self._consume_fault(request, "corrupt"))


class ListServer(_server.Server):
    """The list of instances, which shows changes after a delay."""

    def __init__(self, clock: clocks.Clock, lag_s: float = _LIST_LAG_S):
        """Creates an empty list.

        Args:
          clock: The source of time.
          lag_s: Seconds until a change is listed.
        """
        super().__init__()
        self._clock = clock
        self._list = _records.DelayedList(lag_s)

    @property
    def lag_s(self) -> float:
        """Seconds until a change is listed."""
        return self._list.lag_s

    @lag_s.setter
    def lag_s(self, value: float) -> None:
        self._list.lag_s = value

    def remove(self, instance_id: str) -> None:
        """Removes an instance, as the platform does when it has gone."""
        self._list.remove(instance_id, self._clock.now())

    def _routes(self) -> list[web.RouteDef]:
        return [
            web.get("/instances", self._fetch),
            web.post("/instances", self._announce),
        ]

    async def _fetch(self, request: web.Request) -> web.Response:
        items = [
            instances.ListedInstanceModel.from_listed(listed).model_dump(
                mode="json"
            )
            for listed in self._list.listed(self._clock.now())
        ]
        return _json(
            json.dumps({"instances": items}),
            self._consume_fault(request, "corrupt"),
        )

    async def _announce(self, request: web.Request) -> web.Response:
        try:
            model = instances.ListedInstanceModel.model_validate_json(
                await request.read()
            )
        except pydantic.ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        listed = model.to_listed()
        self._list.announce(listed.instance, listed.state, self._clock.now())
        return web.json_response({})


class BlobServer(_server.Server):
    """A blob store behind a link of limited rate.

    Attributes:
      blobs: The stored blobs by name.
      bytes_served: Blob bytes sent so far.
      bytes_served_by_name: Bytes sent so far of each blob.
    """

    def __init__(
        self, clock: clocks.Clock, bytes_per_s: float | None = None
    ) -> None:
        """Creates an empty store.

        Args:
          clock: The source of time.
          bytes_per_s: Total rate for all readers; None for no limit.
        """
        super().__init__()
        self.blobs: dict[str, bytes] = {}
        self.bytes_served = 0
        self.bytes_served_by_name: collections.Counter[str] = (
            collections.Counter()
        )
        self._clock = clock
        self._bucket: links.TokenBucket | None = None
        self.set_rate(bytes_per_s)

    def set_rate(self, bytes_per_s: float | None) -> None:
        """Sets the total rate for all readers; None removes the limit."""
        if bytes_per_s is None:
            self._bucket = None
            return
        self._bucket = links.TokenBucket(
            bytes_per_s, bytes_per_s * _BURST_S, self._clock
        )

    def _routes(self) -> list[web.RouteDef]:
        return [
            web.get("/blobs/{name:.+}", self._get),
            web.put("/blobs/{name:.+}", self._put),
        ]

    def _stalls_before_effect(self, request: web.Request) -> bool:
        # A read stalls during the transfer, after the headers and some bytes.
        return self._is_stalled(request) and request.method != "GET"

    async def _put(self, request: web.Request) -> web.Response:
        self.blobs[request.match_info["name"]] = await request.read()
        return web.Response(status=201)

    async def _get(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        if name not in self.blobs:
            raise web.HTTPNotFound
        part = _requested_range(request, self.blobs[name])
        if part is None:
            raise web.HTTPRequestRangeNotSatisfiable
        status = 206 if "Range" in request.headers else 200
        response = web.StreamResponse(status=status)
        response.content_length = len(part)
        try:
            await response.prepare(request)
            if request.method != "HEAD":
                await self._send(request, response, name, part)
        except ConnectionError:
            # The reader closed the connection; the bytes sent before count.
            _server.abort_connection(request)
        return response

    async def _send(
        self,
        request: web.Request,
        response: web.StreamResponse,
        name: str,
        data: bytes,
    ) -> None:
        if self._consume_fault(request, "corrupt"):
            data = _records.flip_middle_bit(data)
        for start in range(0, len(data), _WRITE_BYTES):
            if self._is_stalled(request):
                await self.stall(request)
                return
            piece = data[start : start + _WRITE_BYTES]
            if self._bucket is not None:
                await self._bucket.take(len(piece))
            await response.write(piece)
            self.bytes_served += len(piece)
            self.bytes_served_by_name[name] += len(piece)
        await response.write_eof()


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The limits of the platform.

    Attributes:
      appends_per_s: Maximum rate of the log, in appends per second.
      retention_s: Seconds that the log keeps a record; None keeps all.
      list_lag_s: Seconds until the list shows a change.
      store_bytes_per_s: The weight store's rate; None for no limit.
      origin_bytes_per_s: The origin's rate; None for no limit.
    """

    appends_per_s: float = _LOG_APPENDS_PER_S
    retention_s: float | None = None
    list_lag_s: float = _LIST_LAG_S
    store_bytes_per_s: float | None = None
    origin_bytes_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """The base URLs at which one failure domain reaches the platform.

    Attributes:
      log: The log.
      instances: The instance list.
      store: The weight store.
      origin: The origin.
    """

    log: str
    instances: str
    store: str
    origin: str


class PlatformStandIn:
    """All four servers of the platform on the loopback interface.

    Attributes:
      log: The log's server.
      instances: The instance list's server.
      store: The weight store's server.
      origin: The origin's server.
    """

    def __init__(
        self,
        clock: clocks.Clock | None = None,
        limits: Limits | None = None,
        places: Sequence[str] = (),
    ):
        """Creates empty servers that do not listen yet.

        Args:
          clock: The source of time; the system clock by default.
          limits: The platform's limits; `Limits()` by default.
          places: Failure domains that get their own addresses, so that each
            one can be partitioned from the platform.
        """
        clock = clock or clocks.SystemClock()
        limits = limits or Limits()
        self.log = LogServer(clock, limits.appends_per_s, limits.retention_s)
        self.instances = ListServer(clock, limits.list_lag_s)
        self.store = BlobServer(clock, limits.store_bytes_per_s)
        self.origin = BlobServer(clock, limits.origin_bytes_per_s)
        for place in places:
            for server in self.servers:
                server.listener(place)

    @property
    def log_address(self) -> str:
        """The log's base URL."""
        return self.log.address

    @property
    def instances_address(self) -> str:
        """The instance list's base URL."""
        return self.instances.address

    @property
    def store_address(self) -> str:
        """The weight store's base URL."""
        return self.store.address

    @property
    def origin_address(self) -> str:
        """The origin's base URL."""
        return self.origin.address

    @property
    def servers(self) -> tuple[_server.Server, ...]:
        """All servers."""
        return (self.log, self.instances, self.store, self.origin)

    def addresses(self, place: str = "") -> Addresses:
        """Returns the addresses for a failure domain."""
        return Addresses(*(s.listener(place).address for s in self.servers))

    def partition(self, place: str) -> None:
        """Partitions a failure domain: its calls get no answer and no error."""
        for server in self.servers:
            server.listener(place).faults.stalled = True

    def heal(self, place: str) -> None:
        """Ends the partition of a failure domain."""
        for server in self.servers:
            server.listener(place).faults.stalled = False

    async def start(self) -> None:
        """Starts all servers."""
        for server in self.servers:
            await server.start()

    async def stop(self) -> None:
        """Closes all ports and connections."""
        await asyncio.gather(*(server.stop() for server in self.servers))


def _number(request: web.Request, key: str, default: int) -> int:
    try:
        return int(request.query.get(key, default))
    except ValueError as error:
        raise web.HTTPBadRequest(text=f"{key} is no number") from error


def _requested_range(request: web.Request, data: bytes) -> bytes | None:
    """Returns the requested range, or None when it starts after the end."""
    try:
        requested = request.http_range
    except ValueError:
        return None
    if requested.start and requested.start >= len(data):
        return None
    return data[requested]


def _json(body: str, corrupt: bool) -> web.Response:
    """Returns a response, or with `corrupt` one with half of the body.

    The Content-Length of the half body is correct, so that only parsing shows
    the corruption.
    """
    text = body[: len(body) // 2] if corrupt else body
    return web.Response(text=text, content_type="application/json")
