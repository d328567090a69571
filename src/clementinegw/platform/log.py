"""A client of the append-only log, through which the processes reach agreement.

Offsets begin at 1, so that 0 can mean "none" in a revision or a fencing number.
Two records never have the same offset.
"""

import dataclasses
import http
import random
from typing import Protocol, TypeVar
from urllib import parse

import aiohttp
import pydantic

from clementinegw.platform import _http
from clementinegw.telemetry import counters as metrics
from clementinegw.telemetry import logs

M = TypeVar("M", bound=pydantic.BaseModel)


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A record of a stream.

    Attributes:
      offset: Its offset in the stream, 1 or more; increases with each append.
      time: When the log accepted it, in Unix seconds by the log's clock.
      value: The appended bytes.
    """

    offset: int
    time: float
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """The answer to a read.

    A reader continues at the last record's offset plus one. This equals
    `next_offset` only if the page has all records that there were to read.

    Attributes:
      records: Records in the order of their offsets, from the requested offset
        on.
      first_offset: The oldest offset that the log retains; equal to
        `next_offset` if it retains none. Larger than the requested offset if
        records have expired unread.
      next_offset: The offset that the next append will get. Smaller than the
        requested offset if the log was rolled back to an older state.
    """

    records: tuple[Record, ...]
    first_offset: int
    next_offset: int


class LogClient(Protocol):
    """Reads and appends records."""

    async def append(self, stream: str, value: bytes) -> int:
        """Appends a record.

        Args:
          stream: The name of the stream.
          value: The bytes of the record.

        Returns:
          The offset of the record.

        Raises:
          exceptions.PlatformUnavailable: There was no answer. The record may be
            in the log nevertheless; the caller reads to find out.
        """

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int = 500,
        wait_s: float = 0.0,
    ) -> Page:
        """Reads records from an offset on.

        Args:
          stream: The name of the stream; one without any append is empty.
          offset: The first offset to read.
          limit: The maximum number of records to return.
          wait_s: How long to wait for a record if there is none yet, in
            seconds.

        Returns:
          The records that the log retains from there on, possibly none.

        Raises:
          exceptions.PlatformUnavailable: There was no answer.
        """


class _RecordModel(pydantic.BaseModel):
    """A record, in the platform's format."""

    offset: int = pydantic.Field(ge=1)
    time: float
    value: pydantic.Base64Bytes


class _PageModel(pydantic.BaseModel):
    """The answer to a read, in the platform's format."""

    first: int = pydantic.Field(ge=0)
    next: int = pydantic.Field(ge=0)
    records: list[_RecordModel]


class _AppendedModel(pydantic.BaseModel):
    """The answer to an append, in the platform's format."""

    offset: int = pydantic.Field(ge=1)


class HttpLog:
    """An HTTP client of the platform's log."""

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout_s: float = 5.0,
        counters: metrics.Counters | None = None,
        log: logs.Log | None = None,
        rng: random.Random | None = None,
    ):
        """Creates the client; it connects with the first call.

        Args:
          base_url: The base URL of the log.
          session: Sends the calls; closed by its owner.
          timeout_s: The timeout of a call in seconds, without the wait of a
            long poll.
          counters: Counts failures and retries.
          log: Receives the events of the log becoming unavailable and
            available.
          rng: The source of the jitter between retries.
        """
        self._client = _http.Client(
            "log", base_url, session, timeout_s, counters, log, rng=rng
        )

    async def append(self, stream: str, value: bytes) -> int:
        """Appends a record; see `LogClient`.

        Raises:
          exceptions.PlatformRefused: The record is certainly not in the log.
          exceptions.PlatformUnavailable: The record may be in the log; the
            caller reads to find out.
        """
        # After a timeout or a broken connection the record may be in the log. A
        # retry could append it twice, so the caller reads the log instead.
        reply = await self._client.call(
            "POST", _path(stream), idempotent=False, data=value
        )
        return self._parse(_AppendedModel, reply).offset

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int = 500,
        wait_s: float = 0.0,
    ) -> Page:
        """Reads records; see `LogClient`.

        A plain read is retried up to two times, a long poll is not retried:
        over a stalled link each attempt takes the whole wait, and the caller,
        which could ask elsewhere, would notice only after the last one.
        """
        reply = await self._client.call(
            "GET",
            _path(stream),
            idempotent=wait_s <= 0,
            extra_s=wait_s,
            params={
                "from": str(offset),
                "limit": str(limit),
                "wait_s": f"{wait_s:g}",
            },
        )
        page = self._parse(_PageModel, reply)
        records = tuple(
            Record(record.offset, record.time, record.value)
            for record in page.records
        )
        return Page(records, page.first, page.next)

    def _parse(self, model: type[M], reply: _http.Reply) -> M:
        if reply.status != http.HTTPStatus.OK:
            raise self._client.unexpected_status(reply)
        return self._client.parse(model, reply.body)


def _path(stream: str) -> str:
    return "/streams/" + parse.quote(stream, safe="")
