"""All paths and all guards of the matrix."""

from clementinegw.matrix import guards
from clementinegw.matrix import member_faults
from clementinegw.matrix import request_faults
from clementinegw.matrix import request_guards
from clementinegw.matrix import rollout_faults
from clementinegw.matrix import settings_faults
from clementinegw.matrix import types


def all_paths() -> dict[str, types.Path]:
    """Returns the paths by name, in the order in which they are played."""
    everything = (
        *request_faults.paths(),
        *settings_faults.paths(),
        *rollout_faults.paths(),
        *member_faults.paths(),
    )
    return {path.name: path for path in everything}


def all_guards() -> dict[str, guards.Guard]:
    """Returns the guards that can be broken, by name."""
    everything = (
        *request_guards.GUARDS,
        *settings_faults.GUARDS,
        *rollout_faults.GUARDS,
        *member_faults.GUARDS,
    )
    return {guard.name: guard for guard in everything}
