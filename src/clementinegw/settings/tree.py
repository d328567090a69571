"""Resolves knobs in a tree: later levels win."""

import dataclasses
import functools
from typing import Any

from clementinegw import exceptions
from clementinegw import types
from clementinegw.settings import _errors
from clementinegw.settings import knobs
from clementinegw.settings import model

BUILT_IN = "built-in default"


@dataclasses.dataclass(frozen=True, slots=True)
class Effective:
    """The knobs that apply at one place to one service and customer."""

    limits: knobs.Limits
    admission: knobs.Admission
    routing: knobs.Routing
    retries: knobs.Retries
    claims: knobs.Claims
    weights: knobs.Weights
    membership: knobs.Membership
    shutdown: knobs.Shutdown
    security: knobs.Security
    replication: knobs.Replication


@dataclasses.dataclass(frozen=True, slots=True)
class Explained:
    """A value and the level it came from.

    Attributes:
      value: The value.
      level: The level's path, such as `regions.noord.settings`, or `BUILT_IN`.
      overridden: The earlier levels that set it too, the last one first, as
        (level, value).
    """

    value: Any
    level: str
    overridden: tuple[tuple[str, Any], ...] = ()


def levels(
    tree: model.Tree, place: types.Place, service: str, customer: str
) -> list[tuple[str, knobs.Knobs]]:
    """Returns the levels that apply, in ascending order of precedence."""
    found = [("defaults", tree.defaults)]
    sections: tuple[tuple[str, dict[str, Any], str], ...] = (
        ("regions", tree.regions, place.region),
        ("failure_domains", tree.failure_domains, place.failure_domain),
        ("services", tree.services, service),
        ("customers", tree.customers, customer),
    )
    for section, entries, name in sections:
        if name in entries:
            found.append((f"{section}.{name}.settings", entries[name].settings))
    return found


def resolve(
    tree: model.Tree,
    place: types.Place,
    service: str = "",
    customer: str = "",
) -> Effective:
    """Returns the knobs that apply at a place to a service and a customer.

    Args:
      tree: A checked tree.
      place: The place; an unknown region or failure domain has no level.
      service: The service, or empty.
      customer: The customer, or empty.
    """
    applying = [knob for _, knob in levels(tree, place, service, customer)]
    merged = {name: _merge_group(name, applying) for name in knobs.GROUPS}
    return Effective(**merged)


def _merge_group(name: str, applying: list[knobs.Knobs]) -> Any:
    merged = None
    for level in applying:
        group = getattr(level, name)
        if merged is None:
            merged = group
        elif group.model_fields_set:
            named = {key: getattr(group, key) for key in group.model_fields_set}
            merged = merged.model_copy(update=named)
    return merged


def explain(
    tree: model.Tree,
    path: str,
    place: types.Place,
    service: str = "",
    customer: str = "",
) -> Explained:
    """Returns a knob's value and the level that it came from.

    Args:
      tree: A checked tree.
      path: The knob as `GROUP.NAME`, such as `limits.requests_per_s`.
      place: The place.
      service: The service, or empty.
      customer: The customer, or empty.

    Raises:
      exceptions.SettingsError: There is no such knob.
    """
    group_name, name = _split(path)
    values = [(BUILT_IN, getattr(knobs.Knobs(), group_name))]
    for level, knob_set in levels(tree, place, service, customer):
        group = getattr(knob_set, group_name)
        if name in group.model_fields_set:
            values.append((level, group))
    named = [(level, getattr(group, name)) for level, group in values]
    level, value = named[-1]
    return Explained(value, level, tuple(reversed(named[:-1])))


def _split(path: str) -> tuple[str, str]:
    group, _, name = path.partition(".")
    if group not in knobs.GROUPS:
        raise exceptions.SettingsError(
            _describe_unknown(path, group, list(knobs.GROUPS))
        )
    known = list(type(getattr(knobs.Knobs(), group)).model_fields)
    if name not in known:
        raise exceptions.SettingsError(_describe_unknown(path, name, known))
    return group, name


def _describe_unknown(path: str, part: str, known: list[str]) -> str:
    guess = _errors.closest_match(part, known)
    hint = f'; did you mean "{guess}"?' if guess else ""
    return f'{path}: expected one of {", ".join(known)}, found "{part}"{hint}'


class Resolver:
    """Caches the results of `resolve` for one tree.

    A request needs several lookups; the cache reduces each one but the first to
    a dictionary access. Names that the tree does not have share one cache
    entry, so that callers who invent names cannot exhaust the memory.
    """

    def __init__(self, tree: model.Tree):
        self._tree = tree
        self._resolve = functools.lru_cache(maxsize=4096)(self._uncached)

    @property
    def tree(self) -> model.Tree:
        """The tree in which knobs are resolved."""
        return self._tree

    def resolve(
        self, place: types.Place, service: str = "", customer: str = ""
    ) -> Effective:
        """Returns the result of the function `resolve` for the tree."""
        known_service = service if service in self._tree.services else ""
        known_customer = customer if customer in self._tree.customers else ""
        return self._resolve(place, known_service, known_customer)

    def _uncached(
        self, place: types.Place, service: str, customer: str
    ) -> Effective:
        return resolve(self._tree, place, service, customer)
