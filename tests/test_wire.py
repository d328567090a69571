"""Tests connections between processes: calls, handshakes, late frames."""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from clementinegw import exceptions
from clementinegw import types
from clementinegw.telemetry import counters
from clementinegw.wire import auth
from clementinegw.wire import codec
from clementinegw.wire import connection
from clementinegw.wire.gen.frame import ttypes
from clementinegw.wire.gen.requests import ttypes as requests_ttypes

KEY = auth.single_key_ring(b"0123456789abcdef")
PLACE = types.Place("noord", "groningen-hal")
ANY_PORT = types.Address("127.0.0.1", 0)


def _endpoint(name, keys=KEY, role=types.Role.ENTRY):
    identity = connection.Identity(name, role, PLACE, 1)
    return connection.Endpoint(identity, keys, counters=counters.Counters())


async def _pair(handler):
    server = _endpoint("agent-1", role=types.Role.AGENT)
    server.on_call(connection.Kind.SUBMIT, handler)
    address = await server.listen(ANY_PORT)
    client = _endpoint("entry-1")
    return server, client, await client.connect(address)


async def _echo(conn, exchange, frame):
    await exchange.send(connection.Kind.ANSWER_DATA, frame.body)


async def test_concurrent_calls_on_a_connection_get_their_own_answers():
    server, client, conn = await _pair(_echo)
    answers = await asyncio.gather(
        *(
            connection.call(conn, connection.Kind.SUBMIT, b"%d" % n, 5)
            for n in range(100)
        )
    )
    assert [a.body for a in answers] == [b"%d" % n for n in range(100)]
    assert conn.peer.instance_id == "agent-1"
    assert len(server.connections()) == 1
    await client.close()
    await server.close()


async def test_frame_kinds_arrive_as_enum_members():
    """Guards against processes other than relays that get no settings.

    A peer answers a pull, and the requester compares the kind by identity. The
    accelerated decoder returns enum fields as plain numbers.
    """
    server, client, conn = await _pair(_echo)
    answer = await connection.call(conn, connection.Kind.SUBMIT, b"", 5)
    assert answer.kind is connection.Kind.ANSWER_DATA
    await client.close()
    await server.close()


async def test_connect_reuses_the_connection_to_a_peer():
    server, client, conn = await _pair(_echo)
    address = types.Address("127.0.0.1", _port(server))
    again = await asyncio.gather(*(client.connect(address) for _ in range(5)))
    assert all(c is conn for c in again)
    await client.close()
    await server.close()


def _port(endpoint):
    return endpoint._server.sockets[0].getsockname()[1]


async def test_frame_for_closed_call_is_dropped_and_counted():
    """Guards against answers that reach the caller of another request.

    A caller gives up its call, and the answer arrives afterwards. It must not
    be matched to a call that is open by then.
    """
    release = asyncio.Event()

    async def late(conn, exchange, frame):
        await release.wait()
        await exchange.send(connection.Kind.ANSWER_DATA, b"late")

    server, client, conn = await _pair(late)
    with pytest.raises(TimeoutError):
        await connection.call(conn, connection.Kind.SUBMIT, b"", 0)
    release.set()
    server.on_call(connection.Kind.SUBMIT, _echo)
    answer = await connection.call(conn, connection.Kind.SUBMIT, b"own", 5)
    assert answer.body == b"own"
    assert client._counters.value("wire.frame_dropped") == 1
    await client.close()
    await server.close()


async def test_broken_connection_fails_open_calls():
    """Guards against a caller that waits forever.

    The peer dies while a call is open. The waiting caller must get an error,
    since no further frame can arrive.
    """

    async def abort(conn, exchange, frame):
        conn.abort()

    server, client, conn = await _pair(abort)
    with pytest.raises(exceptions.ConnectionLost):
        await connection.call(conn, connection.Kind.SUBMIT, b"", 5)
    with pytest.raises(exceptions.ConnectionLost):
        conn.open()
    await client.close()
    await server.close()


async def test_wrong_key_is_refused_on_both_sides():
    """Guards against foreign processes that join the deployment.

    A process with another key connects. Peers must prove that they hold the
    deployment's key.
    """
    server = _endpoint("agent-1")
    address = await server.listen(ANY_PORT)
    foreign = _endpoint("entry-9", auth.single_key_ring(b"fedcba9876543210"))
    with pytest.raises(exceptions.ConnectionLost):
        await foreign.connect(address)
    assert server.connections() == []
    await foreign.close()
    await server.close()


async def test_key_ring_accepts_old_and_new_key_during_rotation():
    """Guards against processes refusing each other during a key rotation.

    Some processes sign with the new key and some with the old one. Keys other
    than the active one must be accepted, too.
    """
    both = {"k1": b"0123456789abcdef", "k2": b"fedcba9876543210"}
    old = _endpoint("agent-1", auth.KeyRing("k1", both))
    new = _endpoint("entry-1", auth.KeyRing("k2", both))
    conn = await new.connect(await old.listen(ANY_PORT))
    assert not conn.closed
    await new.close()
    await old.close()


@pytest.mark.parametrize(
    "data", [b"\xff\xff\xff\xff", b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\x03abc"]
)
async def test_malformed_bytes_end_only_their_connection(data):
    """Guards against a stray client that takes the daemon down.

    A port scanner or an HTTP client connects to the peers' port. Lengths and
    structs must be validated before they are used.
    """
    server, client, conn = await _pair(_echo)
    reader, writer = await asyncio.open_connection("127.0.0.1", _port(server))
    writer.write(data)
    assert await reader.read() == b""
    answer = await connection.call(conn, connection.Kind.SUBMIT, b"on", 5)
    assert answer.body == b"on"
    assert server._counters.value("wire.malformed") == 1
    writer.close()
    await client.close()
    await server.close()


def test_list_longer_than_the_data_is_rejected():
    """Guards against a daemon that the kernel kills for its memory use.

    A peer sends a status whose list of prefixes announces 2**30 entries. The
    length must be checked against the data before memory is allocated.
    """
    data = b"\xd9" + b"\xf6" + b"\x80\x80\x80\x80\x04"
    with pytest.raises(exceptions.DecodeError):
        codec.decode(requests_ttypes.AgentStatus, data)


@hypothesis.given(strategies.binary(max_size=200))
@hypothesis.settings(deadline=None)
def test_decoder_decodes_or_rejects_any_bytes(data):
    try:
        frame = codec.decode(ttypes.Frame, data)
    except exceptions.DecodeError:
        return
    assert isinstance(frame.body, bytes)
    assert isinstance(frame.call, int)
