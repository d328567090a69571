"""Finds a request's route and customer in the newest configuration."""

from collections.abc import Mapping
import dataclasses

from clementinegw.direct import types


@dataclasses.dataclass(frozen=True, slots=True)
class RouteMatch:
    """Where a request belongs.

    Attributes:
      route: Its route.
      customer: Whose it is; None when it came without a known key.
    """

    route: types.Route
    customer: types.Customer | None


class Catalog:
    """One configuration, indexed: a look-up costs the path's parts only."""

    def __init__(self, configuration: types.Configuration):
        self.configuration = configuration
        self._hosts: dict[str, dict[str, types.Route]] = {}
        for route in configuration.routes:
            prefixes = self._hosts.setdefault(route.host, {})
            prefixes[route.prefix] = route

    @property
    def version(self) -> int:
        """The configuration's version."""
        return self.configuration.version

    @property
    def services(self) -> Mapping[str, types.Service]:
        """Every service by name."""
        return self.configuration.services

    def route(self, host: str, path: str) -> types.Route | None:
        """Returns the route of the longest prefix that begins the path."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def customer(self, key: str) -> types.Customer | None:
        """Returns whose key it is; None for an unknown one."""
        return self.configuration.customers.get(key)

    @property
    def keyed(self) -> bool:
        """Whether requests need a key at all."""
        return self.configuration.requires_key
