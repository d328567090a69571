"""Checks only the parts of a tree that a change touches.

A tree has hundreds of parts and a change touches one or two. Checking all of
them took 1.4 ms per change.
"""

from collections.abc import Iterable

import pydantic

from clementinegw.settings import _errors
from clementinegw.settings import changes
from clementinegw.settings import knobs
from clementinegw.settings import model

_DEFAULTS = "defaults"
_SECTIONS: dict[str, pydantic.TypeAdapter] = {
    "regions": pydantic.TypeAdapter(dict[knobs.Name, model.Region]),
    "failure_domains": pydantic.TypeAdapter(
        dict[knobs.Name, model.FailureDomain]
    ),
    "services": pydantic.TypeAdapter(dict[knobs.Name, model.Service]),
    "customers": pydantic.TypeAdapter(dict[knobs.Name, model.Customer]),
}
_ENTRY_DEPTH = 2


def recheck(
    before: model.Tree, raw: changes.Json, paths: Iterable[changes.Path]
) -> model.Tree:
    """Returns the checked tree after a change.

    Args:
      before: The checked tree before the change.
      raw: The tree after the change, as JSON.
      paths: The paths that the change touched.

    Returns:
      The same as `model.parse_tree(raw)`.

    Raises:
      exceptions.SettingsError: The tree is invalid.
    """
    try:
        tree = _recheck(before, raw, paths)
    except ValueError:
        tree = None
    # After an error the whole tree is checked too, because the message of that
    # check has the full path.
    return tree if tree is not None else model.parse_tree(raw)


def _recheck(
    before: model.Tree, raw: changes.Json, paths: Iterable[changes.Path]
) -> model.Tree | None:
    """Returns the tree; None if a path does not lie in a single part."""
    update: dict[str, object] = {}
    for path in paths:
        section = path[0]
        if section == _DEFAULTS and section in raw:
            update[section] = _check_defaults(raw[section])
            continue
        if section not in _SECTIONS or len(path) < _ENTRY_DEPTH:
            return None
        if not isinstance(raw.get(section), dict):
            return None
        entries = update.get(section, getattr(before, section))
        assert isinstance(entries, dict)
        update[section] = _replace_entry(section, entries, raw, path[1])
    tree = before.model_copy(update=update)
    model.check_references(tree)
    return tree


def _check_defaults(raw: changes.Json) -> object:
    return knobs.Knobs.model_validate_json(_errors.dump_json(raw))


def _replace_entry(
    section: str, entries: dict, raw: changes.Json, name: str
) -> dict:
    updated = {key: entry for key, entry in entries.items() if key != name}
    if name in raw[section]:
        entry = {name: raw[section][name]}
        text = _errors.dump_json(entry)
        updated.update(_SECTIONS[section].validate_json(text))
    return updated
