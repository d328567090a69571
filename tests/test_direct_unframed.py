"""Tests answers that end with their connection, without length or chunks."""

import socket
import struct

import platform_site as sites
import pytest

_FIRST = b"id: 1\ndata: 1\n\n"


def serve(body, end, framing=()):
    """Returns a server's function that sends a body and ends the connection.

    Args:
      body: The bytes behind the head.
      end: How the connection ends: closed in order, or reset.
      framing: Headers that frame the body.
    """

    def on_call(call):
        head = (
            "HTTP/1.1 200 OK",
            f"X-Clementinegw-Attempt-Id: {call.attempt_id}",
            "X-Clementinegw-Response-Seal: s",
            *framing,
        )
        call.send("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        if end == "reset":
            sock = call.writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        call.writer.close()

    return on_call


def ask(path, *server):
    """Returns a caller's answer from two servers that do the same."""

    async def play():
        async with sites.Site("i-1", "i-2", on_call=serve(*server)) as site:
            return await site.ask(path)

    return sites.run(play())


@pytest.mark.parametrize("path", ["/safe/1", "/once/1", "/stream/1"])
def test_an_answer_that_ends_with_its_connection_is_complete(path):
    answer = ask(path, _FIRST, "closed")
    assert (answer.status, answer.body, answer.complete) == (200, _FIRST, True)


@pytest.mark.parametrize("path", ["/safe/1", "/once/1", "/stream/1"])
def test_an_answer_that_ends_with_a_reset_does_not_look_complete(path):
    answer = ask(path, _FIRST, "reset")
    assert answer.status == 502 or not answer.complete


def test_a_stream_that_ends_inside_an_event_does_not_look_complete():
    answer = ask("/stream/1", _FIRST + b"id: 2\nda", "closed")
    assert (answer.body, answer.complete) == (_FIRST, False)


def test_a_stream_that_ends_before_its_first_event_does_not_look_complete():
    """A server crashed behind the head of a stream without length or chunks.

    The caller received an empty stream that looked complete.
    """
    answer = ask("/stream/1", b"", "closed")
    assert answer.status == 502


def test_an_empty_stream_with_a_length_is_complete():
    answer = ask("/stream/1", b"", "closed", ("Content-Length: 0",))
    assert (answer.status, answer.body, answer.complete) == (200, b"", True)


def test_a_chunked_stream_without_its_last_chunk_does_not_look_complete():
    chunk = b"%x\r\n%b\r\n" % (len(_FIRST), _FIRST)
    answer = ask("/stream/1", chunk, "closed", ("Transfer-Encoding: chunked",))
    assert (answer.body, answer.complete) == (_FIRST, False)
