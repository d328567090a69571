"""Messages of the handshake, which proves that both sides hold a shared key.

The opener sends HELLO with a nonce. The acceptor answers CHALLENGE with its own
nonce and a proof over both. The opener sends PROOF, the acceptor WELCOME. Each
proof covers the side (opener or acceptor) and both instance ids, so that it
cannot be reflected or relayed to another pair.
"""

import dataclasses

from clementinegw import exceptions
from clementinegw import types
from clementinegw.wire import _link
from clementinegw.wire import auth
from clementinegw.wire import codec
from clementinegw.wire.gen.frame import ttypes

PROTOCOL_VERSION = 1
_ACCEPTOR = b"acceptor"
_OPENER = b"opener"


@dataclasses.dataclass(slots=True)
class OpenerState:
    """The opener's state between HELLO and WELCOME."""

    hello: ttypes.Hello
    challenge: ttypes.Challenge | None = None


@dataclasses.dataclass(slots=True)
class AcceptorState:
    """The acceptor's state between CHALLENGE and PROOF."""

    hello: ttypes.Hello
    challenge: ttypes.Challenge


def make_hello(own: _link.Identity) -> ttypes.Hello:
    """Returns a HELLO with a new nonce."""
    return ttypes.Hello(
        protocol=PROTOCOL_VERSION,
        instance_id=own.instance_id,
        role=own.role.value,
        region=own.place.region,
        failure_domain=own.place.failure_domain,
        incarnation=own.incarnation,
        nonce=auth.new_nonce(),
    )


def answer_hello(
    own: _link.Identity, keys: auth.KeyRing, body: bytes
) -> AcceptorState:
    """Decodes a HELLO and returns it with the CHALLENGE that answers it.

    Raises:
      exceptions.DecodeError: The bytes are not a HELLO of this protocol.
    """
    message = codec.decode(ttypes.Hello, body)
    if (
        message.protocol != PROTOCOL_VERSION
        or len(message.nonce) != auth.NONCE_BYTES
    ):
        raise exceptions.DecodeError(
            f"unsupported HELLO: protocol {message.protocol}, "
            f"nonce of {len(message.nonce)} bytes"
        )
    nonce = auth.new_nonce()
    proof = keys.sign(
        *_signed_parts(_ACCEPTOR, message, own.instance_id, nonce)
    )
    answer = ttypes.Challenge(
        protocol=PROTOCOL_VERSION,
        instance_id=own.instance_id,
        nonce=nonce,
        key_id=keys.active,
        proof=proof,
        role=own.role.value,
        region=own.place.region,
        failure_domain=own.place.failure_domain,
        incarnation=own.incarnation,
    )
    return AcceptorState(message, answer)


def answer_challenge(
    keys: auth.KeyRing, opened: OpenerState, body: bytes
) -> ttypes.Proof:
    """Verifies a CHALLENGE and returns the PROOF that answers it.

    Raises:
      exceptions.DecodeError: The bytes are not a CHALLENGE, or its proof is
        wrong.
    """
    answer = codec.decode(ttypes.Challenge, body)
    name = answer.instance_id
    parts = _signed_parts(_ACCEPTOR, opened.hello, name, answer.nonce)
    if not keys.verify(answer.key_id, answer.proof, *parts):
        raise exceptions.DecodeError("the acceptor's proof is wrong")
    opened.challenge = answer
    proof = keys.sign(*_signed_parts(_OPENER, opened.hello, name, answer.nonce))
    return ttypes.Proof(key_id=keys.active, proof=proof)


def check_proof(
    keys: auth.KeyRing, accepted: AcceptorState, body: bytes
) -> None:
    """Verifies a PROOF.

    Raises:
      exceptions.DecodeError: The bytes are not a PROOF, or it is wrong.
    """
    message = codec.decode(ttypes.Proof, body)
    answer = accepted.challenge
    parts = _signed_parts(
        _OPENER, accepted.hello, answer.instance_id, answer.nonce
    )
    if not keys.verify(message.key_id, message.proof, *parts):
        raise exceptions.DecodeError("the opener's proof is wrong")


def sender_of(message: ttypes.Hello | ttypes.Challenge) -> _link.Identity:
    """Returns the identity of the sender of a HELLO or a CHALLENGE.

    Raises:
      exceptions.DecodeError: The role is unknown.
    """
    try:
        role = types.Role(message.role)
    except ValueError as error:
        raise exceptions.DecodeError(
            f"unknown role {message.role!r}"
        ) from error
    place = types.Place(message.region, message.failure_domain)
    return _link.Identity(message.instance_id, role, place, message.incarnation)


def _signed_parts(
    side: bytes, opener: ttypes.Hello, acceptor_id: str, nonce: bytes
) -> tuple[bytes, ...]:
    return (
        side,
        opener.nonce,
        nonce,
        opener.instance_id.encode(),
        acceptor_id.encode(),
    )
