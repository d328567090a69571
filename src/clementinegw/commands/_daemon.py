"""Flags and reading of the instance file for the daemon commands."""

from absl import flags

from clementinegw import exceptions
from clementinegw import lifetime
from clementinegw import types
from clementinegw.settings import model as model_lib

run_until_signal = lifetime.run_until_signal


def define(flag_values) -> None:
    """Defines the flags common to both daemons."""
    flags.DEFINE_string(
        "config",
        None,
        "The instance file, JSON; see docs/settings.md.",
        flag_values=flag_values,
    )


def read_instance_file(flag_values, role: types.Role) -> model_lib.InstanceFile:
    """Returns the parsed instance file given by the flags.

    Args:
      flag_values: The parsed flags.
      role: The role that the file must be for.

    Raises:
      exceptions.UsageError: `--config` is missing.
      exceptions.SettingsError: The file is invalid, or is for the other role.
    """
    if flag_values.config is None:
        raise exceptions.UsageError(
            f"missing --config: clementinegw {role.value} --config=FILE"
        )
    file = model_lib.parse_instance_file(flag_values.config)
    if file.role is not role:
        raise exceptions.SettingsError(
            f'{flag_values.config}: role: expected "{role.value}", '
            f'found "{file.role.value}"'
        )
    return file
