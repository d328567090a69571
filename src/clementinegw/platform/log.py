"""The append-only log: what every process has to agree on goes through it.

Offsets begin at 1, so that 0 can stand for "none" in a revision or a fencing
number. An offset is never given to two records.
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
    """One record of a stream.

    Attributes:
      offset: Its place in the stream, 1 or more; it grows with each append.
      time: When the log took it, epoch seconds by the log's own clock.
      value: What was appended.
    """

    offset: int
    time: float
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A read's answer.

    A reader goes on from the last record's offset plus one. Its place is
    `next_offset` only when the page holds all that there was to read.

    Attributes:
      records: In the order of offsets, all at or after the offset asked for.
      first_offset: The oldest offset that the log still keeps; equal to
        `next_offset` when it keeps none. Larger than the offset asked for
        when records have expired unread.
      next_offset: The offset the next append will get. Smaller than the
        offset asked for when the log has gone back to an older state.
    """

    records: tuple[Record, ...]
    first_offset: int
    next_offset: int


class LogClient(Protocol):
    """Reads and appends."""

    async def append(self, stream: str, value: bytes) -> int:
        """Appends a record.

        Args:
          stream: Which stream.
          value: The record.

        Returns:
          Its offset.

        Raises:
          exceptions.PlatformUnavailable: No answer came. The record may be in
            the log all the same; the caller reads to find out.
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
          stream: Which stream; one never appended to is empty.
          offset: The first offset wanted.
          limit: The most records to return.
          wait_s: How long to wait for a record when there is none yet.

        Returns:
          What the log keeps from there on, perhaps nothing.

        Raises:
          exceptions.PlatformUnavailable: No answer came.
        """


class _RecordModel(pydantic.BaseModel):
    """A record as the platform writes it."""

    offset: int = pydantic.Field(ge=1)
    time: float
    value: pydantic.Base64Bytes


class _PageModel(pydantic.BaseModel):
    """A read's answer as the platform writes it."""

    first: int = pydantic.Field(ge=0)
    next: int = pydantic.Field(ge=0)
    records: list[_RecordModel]


class _AppendedModel(pydantic.BaseModel):
    """An append's answer as the platform writes it."""

    offset: int = pydantic.Field(ge=1)


class HttpLog:
    """The platform's log over HTTP."""

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout_s: float = 5.0,
        counters: metrics.Counters | None = None,
        log: logs.Log | None = None,
        rng: random.Random | None = None,
    ):
        """Keeps the address; connects with the first call.

        Args:
          base_url: Where the log is.
          session: Sends the calls; closed by its owner.
          timeout_s: How long a call may take, beyond a long poll's wait.
          counters: Counts failures and retries.
          log: Takes the events of the log going and coming back.
          rng: The source of the pauses' jitter.
        """
        self._client = _http.Client(
            "log", base_url, session, timeout_s, counters, log, rng=rng
        )

    async def append(self, stream: str, value: bytes) -> int:
        """Appends a record; see `LogClient`.

        Raises:
          exceptions.PlatformRefused: The record is certainly not in the log.
          exceptions.PlatformUnavailable: It may be there; read to find out.
        """
        # A lost answer shows as a timeout or a broken connection. Sent again,
        # the record would be in the log twice, so the caller has to read.
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

        A plain read is tried again up to two times, a long poll is not: over
        a link that stalls, each try takes the whole wait, and the caller,
        which could ask elsewhere meanwhile, would notice only after the last.
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
