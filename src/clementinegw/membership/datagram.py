"""The format of a datagram: an encoded message with a proof of the key.

Layout: version (1 byte), length of the key id (1 byte), key id, proof (32
bytes), message. The proof is a keyed hash of the message. Replayed datagrams
are detected by their sequence, see `window` and `_receiving`.
"""

from clementinegw import exceptions
from clementinegw.wire import auth
from clementinegw.wire import codec
from clementinegw.wire.gen.membership import ttypes

# Larger datagrams are rejected; IP would split them into more fragments.
MAX_BYTES = 8192

_VERSION = 1
_PROOF_BYTES = 32
_CONTEXT = b"membership"
_HEAD_BYTES = 2


def seal(message: ttypes.Gossip, keys: auth.KeyRing) -> bytes:
    """Returns the datagram for a message."""
    body = codec.encode(message)
    proof = keys.sign(_CONTEXT, body)
    key_id = keys.active.encode()
    return bytes((_VERSION, len(key_id))) + key_id + proof + body


def unseal(data: bytes, keys: auth.KeyRing) -> ttypes.Gossip:
    """Returns the message of a datagram with a valid proof.

    Raises:
      exceptions.DecodeError: The proof is invalid or the datagram is
        malformed. The message is decoded only after the proof was checked.
    """
    if not _HEAD_BYTES <= len(data) <= MAX_BYTES or data[0] != _VERSION:
        raise exceptions.DecodeError("datagram: wrong size or version")
    proof_at = _HEAD_BYTES + data[1]
    body_at = proof_at + _PROOF_BYTES
    try:
        key_id = data[_HEAD_BYTES:proof_at].decode()
    except UnicodeDecodeError as error:
        raise exceptions.DecodeError("datagram: key id is no text") from error
    body = data[body_at:]
    if not keys.verify(key_id, data[proof_at:body_at], _CONTEXT, body):
        raise exceptions.DecodeError("datagram: no valid proof of the key")
    return codec.decode(ttypes.Gossip, body)
