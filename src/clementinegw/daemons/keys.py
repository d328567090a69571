"""Reads the file with a deployment's keys.

The file is JSON: `{"active": "k1", "keys": {"k1": "HEX"}}`. Keys never appear
in a log line or an error.
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
      active: The id of the key that proofs are made with.
      keys: All keys that are accepted, hex digits by id.
    """

    active: knobs.Name
    keys: dict[knobs.Name, pydantic.SecretStr]


def load(path: str | pathlib.Path) -> auth.KeyRing:
    """Reads a key file.

    Raises:
      exceptions.SettingsError: It cannot be read or does not fit.
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
    """Returns the ring that the settings ask for.

    A key that the settings name before the file holds it must not lock the
    process out, so unknown ids are left aside and the file's active key is the
    fallback.

    Args:
      ring: What the key file holds.
      active: The id of the key to prove with.
      accepted: The ids that peers may prove with.
    """
    keys = {k: v for k, v in ring.keys.items() if k in accepted}
    if active in ring.keys:
        keys[active] = ring.keys[active]
        return auth.KeyRing(active, keys)
    keys[ring.active] = ring.keys[ring.active]
    return auth.KeyRing(ring.active, keys)
