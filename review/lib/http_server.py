"""A small HTTP/1.1 server for stand-ins, from the standard library only."""

import asyncio
import dataclasses
from urllib import parse

# Unexpected errors of handlers: the case could not run as it should.
failures: list[str] = []
_STATUS_TEXT = {200: "OK", 202: "Accepted", 503: "Service Unavailable"}


@dataclasses.dataclass
class Call:
    """A request that was read completely.

    Attributes:
      method: Such as GET.
      path: The target without the query.
      query: The first value of each query parameter.
      headers: The headers, with names in lower case.
      body: The complete body.
      writer: The connection, for answers in parts.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    async def answer(self, status=200, body=b"", headers=()):
        """Sends a complete answer.

        Args:
          status: The HTTP status.
          body: The body.
          headers: Pairs of a name and a value.
        """
        lines = [f"HTTP/1.1 {status} {_STATUS_TEXT.get(status, 'X')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.writer.write("\r\n".join(lines).encode() + body)
        await self.writer.drain()

    async def begin(self, headers=()):
        """Sends the head of a chunked answer with status 200."""
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.writer.write("\r\n".join([*lines, "", ""]).encode())
        await self.writer.drain()

    async def part(self, data):
        """Sends a part of a chunked answer; empty bytes end it."""
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await self.writer.drain()


async def serve(handler, host, port=0):
    """Listens and passes each request to a handler.

    Args:
      handler: A coroutine function that answers a `Call`.
      host: The loopback address.
      port: The port; 0 for a free one.

    Returns:
      The server and its port.

    Raises:
      OSError: The address is in use.
    """

    async def on_connection(reader, writer):
        try:
            while True:
                call = await _read(reader, writer)
                if call is None:
                    break
                try:
                    await handler(call)
                except ValueError as error:
                    failures.append(repr(error))
                    raise
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
        ):
            # The peer is gone, or the case ends.
            pass
        except Exception as error:
            failures.append(repr(error))
        finally:
            writer.close()

    server = await asyncio.start_server(
        on_connection, host, port, limit=1 << 20
    )
    return server, server.sockets[0].getsockname()[1]


async def _read(reader, writer):
    """Returns the next request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = await read_chunked(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    path, _, text = target.partition("?")
    query = {k: v[0] for k, v in parse.parse_qs(text).items()}
    return Call(method, path, query, headers, body, writer)


async def read_chunked(reader):
    """Returns a complete chunked body.

    Raises:
      asyncio.IncompleteReadError: The connection ended within it.
      ValueError: A chunk has no valid size.
    """
    body = b""
    while True:
        size = int(await reader.readline() or b"x", 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]
