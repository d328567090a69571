"""Reads the key file of a deployment.

The file is JSON: `{"active": "k1", "keys": {"k1": "HEX"}}`. Keys never appear
in log lines or error messages.
"""

import pathlib

import pydantic

from clementinegw import exceptions
from clementinegw.settings import knobs
from clementinegw.settings import model as model_lib
from clementinegw.wire import auth


class KeyFile(knobs.Model):
    """The keys of a deployment.

    Attributes:
      active: The id of the key used to create proofs.
      keys: All accepted keys in hexadecimal, by id.
    """

    active: knobs.Name
    keys: dict[knobs.Name, pydantic.SecretStr]


def load(path: str | pathlib.Path) -> auth.KeyRing:
    """Returns the keys of a key file.

    Raises:
      exceptions.SettingsError: The file cannot be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise exceptions.SettingsError(
            f"{path}: cannot be read: {error.strerror}"
        ) from None
    parsed = model_lib.parse_json(KeyFile, text, str(path))
    try:
        keys = {
            name: bytes.fromhex(secret.get_secret_value())
            for name, secret in parsed.keys.items()
        }
    except ValueError:
        raise exceptions.SettingsError(
            f"{path}: keys: expected hex digits"
        ) from None
    try:
        return auth.KeyRing(parsed.active, keys)
    except ValueError as error:
        raise exceptions.SettingsError(f"{path}: {error}") from None


def select_keys(
    ring: auth.KeyRing, active: str, accepted: tuple[str, ...]
) -> auth.KeyRing:
    """Returns the subset of a key ring that the settings select.

    Settings may name a key before the key file contains it, which must not lock
    the process out: unknown ids are ignored, and the active key of the file is
    the fallback.

    Args:
      ring: The keys of the key file.
      active: The id of the key to create proofs with.
      accepted: The ids of the keys accepted from peers.
    """
    keys = {k: v for k, v in ring.keys.items() if k in accepted}
    if active in ring.keys:
        keys[active] = ring.keys[active]
        return auth.KeyRing(active, keys)
    keys[ring.active] = ring.keys[ring.active]
    return auth.KeyRing(ring.active, keys)
