"""A deployment's shared keys and the proofs that two peers exchange.

Each side proves that it holds a key by a keyed hash over both nonces, so that
a recorded handshake cannot be replayed. A key ring holds several keys at once.
To rotate its key without an outage, a deployment adds the new key everywhere,
then makes it the active one, then removes the old one.
"""

from collections.abc import Mapping
import dataclasses
import hashlib
import hmac
import secrets

NONCE_BYTES = 16
_MIN_KEY_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRing:
    """The keys of a deployment by id, and the one that signs new proofs.

    Attributes:
      active: The id of the key that signs new proofs.
      keys: All keys that are accepted, by id.
    """

    active: str
    keys: Mapping[str, bytes]

    def __post_init__(self):
        if self.active not in self.keys:
            raise ValueError(f"active key {self.active!r} is not in the ring")
        for key_id, key in self.keys.items():
            if len(key) < _MIN_KEY_BYTES:
                raise ValueError(
                    f"key {key_id!r}: expected at least {_MIN_KEY_BYTES} "
                    f"bytes, found {len(key)}"
                )

    def sign(self, *parts: bytes) -> bytes:
        """Returns the keyed hash of the parts, made with the active key."""
        return _digest(self.keys[self.active], parts)

    def verify(self, key_id: str, proof: bytes, *parts: bytes) -> bool:
        """Returns whether `proof` is the hash of the parts with that key."""
        key = self.keys.get(key_id)
        if key is None:
            return False
        return hmac.compare_digest(_digest(key, parts), proof)


def new_nonce() -> bytes:
    """Returns random bytes for one handshake."""
    return secrets.token_bytes(NONCE_BYTES)


def single_key_ring(key: bytes, key_id: str = "k1") -> KeyRing:
    """Returns a key ring with one key."""
    return KeyRing(key_id, {key_id: key})


def _digest(key: bytes, parts: tuple[bytes, ...]) -> bytes:
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in parts:
        # The length distinguishes ("ab", "c") from ("a", "bc").
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return mac.digest()
