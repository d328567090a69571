"""Tests servers that send bytes without end, until their caller closes."""

import asyncio

import platform_site as sites
import pytest

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Clementinegw-Attempt-Id: %s\r\n"
    b"X-Clementinegw-Response-Seal: s\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# What a server sends first, and then again and again.
FLOODS = {
    "no head": (b"", b"x" * 16_000),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 2_000),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 600),
    "chunk size": (HEAD + CHUNKED, b"0" * 16_000),
    "trailers": (HEAD + CHUNKED + b"0\r\n", b"X-A: b\r\n" * 2_000),
    "body": (HEAD + b"\r\n", b"x" * 256_000),
    "chunks": (HEAD + CHUNKED, b"fa00\r\n" + b"x" * 64_000 + b"\r\n"),
}
# No answer is larger; what is in buffers comes on top. Bytes.
MOST_BYTES = 20 << 20


class Flood:
    """A server that sends a kind of bytes without end.

    Attributes:
      sent: The most bytes that it could send on a connection.
      open: The number of connections that are still open.
    """

    def __init__(self, kind):
        self._first, self._again = FLOODS[kind]
        self.sent = 0
        self.open = 0

    async def serve(self, call):
        first = self._first
        if b"%s" in first:
            first %= call.attempt_id.encode()
        call.send(first)
        self.open += 1
        sent = 0
        try:
            while not call.writer.is_closing():
                call.send(self._again)
                sent += len(self._again)
                self.sent = max(self.sent, sent)
                await asyncio.wait_for(call.writer.drain(), 30.0)
                await asyncio.sleep(0.001)
        except (OSError, TimeoutError):
            # The caller has closed the connection.
            pass
        self.open -= 1


@pytest.mark.parametrize("path", ["/safe/1", "/once/1", "/stream/1"])
@pytest.mark.parametrize("kind", FLOODS)
def test_a_server_that_sends_without_end_is_given_up(kind, path):
    """Guards the memory and the time of an entry, and what callers get."""
    flood = Flood(kind)

    async def play():
        async with sites.Site("i-1", on_call=flood.serve) as site:
            answer = await site.ask(path)
            await asyncio.sleep(1.0)
            return answer, flood.open

    answer, left_open = sites.run(play())
    assert not (answer.complete and answer.status < 500)
    assert flood.sent < MOST_BYTES
    assert left_open == 0
