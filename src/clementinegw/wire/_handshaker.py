"""Performs the handshakes of an endpoint's links."""

import asyncio
import dataclasses

from clementinegw import exceptions
from clementinegw.wire import _handshake
from clementinegw.wire import _link
from clementinegw.wire import auth
from clementinegw.wire import codec
from clementinegw.wire.gen.frame import ttypes

Kind = ttypes.Kind


@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeResult:
    """The result of a completed handshake.

    Attributes:
      peer: The identity of the peer.
      is_opener: Whether this process opened the link.
    """

    peer: _link.Identity
    is_opener: bool


@dataclasses.dataclass(slots=True)
class _PendingOpen:
    state: _handshake.OpenerState
    ready: asyncio.Future[_link.Connection]


class Handshaker:
    """Performs all handshakes of one endpoint.

    Attributes:
      keys: The deployment's keys; may be replaced at any time.
    """

    def __init__(self, identity: _link.Identity, keys: auth.KeyRing):
        """Initializes the handshaker.

        Args:
          identity: The identity of this process.
          keys: The deployment's keys.
        """
        self.keys = keys
        self._identity = identity
        self._pending_opens: dict[_link.Link, _PendingOpen] = {}
        self._awaiting_proof: dict[_link.Link, _handshake.AcceptorState] = {}
        self._frame_handlers = {
            Kind.HELLO: self._on_hello,
            Kind.CHALLENGE: self._on_challenge,
            Kind.PROOF: self._on_proof,
            Kind.WELCOME: self._on_welcome,
        }

    async def open(self, link: _link.Link) -> _link.Connection:
        """Performs the opener's handshake and returns the new connection.

        Raises:
          exceptions.ConnectionLost: The peer refused the handshake or failed
            to prove that it holds the deployment's key.
        """
        opened = _handshake.OpenerState(_handshake.make_hello(self._identity))
        loop = asyncio.get_running_loop()
        pending = _PendingOpen(opened, loop.create_future())
        self._pending_opens[link] = pending
        _send(link, Kind.HELLO, opened.hello)
        try:
            return await pending.ready
        finally:
            self._pending_opens.pop(link, None)

    def handle_frame(
        self, link: _link.Link, kind: Kind, body: bytes
    ) -> HandshakeResult | None:
        """Handles one frame of a handshake.

        Returns:
          The result if this frame completes the handshake; else None.

        Raises:
          exceptions.DecodeError: The frame is malformed or out of order, or
            its proof is wrong.
        """
        handler = self._frame_handlers.get(kind)
        if handler is None:
            raise exceptions.DecodeError(f"{kind!r} before the handshake")
        return handler(link, body)

    def complete(self, link: _link.Link, connection: _link.Connection) -> None:
        """Returns the connection to the caller of `open`, if there is one."""
        pending = self._pending_opens.get(link)
        if pending is not None and not pending.ready.done():
            pending.ready.set_result(connection)

    def fail(self, link: _link.Link, reason: str) -> None:
        """Ends the handshake of a link that broke or was refused.

        Args:
          link: The link.
          reason: The message of the error that `open` raises.
        """
        self._awaiting_proof.pop(link, None)
        pending = self._pending_opens.get(link)
        if pending is not None and not pending.ready.done():
            pending.ready.set_exception(exceptions.ConnectionLost(reason))

    def _on_hello(self, link: _link.Link, body: bytes) -> None:
        if link in self._pending_opens or link in self._awaiting_proof:
            raise exceptions.DecodeError("HELLO out of order")
        accepted = _handshake.answer_hello(self._identity, self.keys, body)
        self._awaiting_proof[link] = accepted
        _send(link, Kind.CHALLENGE, accepted.challenge)

    def _on_challenge(self, link: _link.Link, body: bytes) -> None:
        if link not in self._pending_opens:
            raise exceptions.DecodeError("CHALLENGE out of order")
        state = self._pending_opens[link].state
        _send(
            link,
            Kind.PROOF,
            _handshake.answer_challenge(self.keys, state, body),
        )

    def _on_proof(self, link: _link.Link, body: bytes) -> HandshakeResult:
        accepted = self._awaiting_proof.pop(link, None)
        if accepted is None:
            raise exceptions.DecodeError("PROOF out of order")
        _handshake.check_proof(self.keys, accepted, body)
        peer = _handshake.sender_of(accepted.hello)
        welcome = ttypes.Welcome(protocol=_handshake.PROTOCOL_VERSION)
        _send(link, Kind.WELCOME, welcome)
        return HandshakeResult(peer, is_opener=False)

    def _on_welcome(self, link: _link.Link, body: bytes) -> HandshakeResult:
        del body
        pending = self._pending_opens.get(link)
        if pending is None or pending.state.challenge is None:
            raise exceptions.DecodeError("WELCOME out of order")
        peer = _handshake.sender_of(pending.state.challenge)
        return HandshakeResult(peer, is_opener=True)


def _send(link: _link.Link, kind: Kind, message) -> None:
    link.write(kind, 0, codec.encode(message))
