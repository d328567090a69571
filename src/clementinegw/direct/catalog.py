"""An index of a configuration: finds routes, services and customers."""

from collections.abc import Mapping
import dataclasses

from clementinegw.direct import types
from clementinegw.scheduling import places
from clementinegw.scheduling import rank as ranks

# The least urgent priority that servers know; 0 is the most urgent one.
_MAX_SERVER_PRIORITY = 9


@dataclasses.dataclass(frozen=True, slots=True)
class RouteMatch:
    """The route and the customer of a request.

    Attributes:
      route: The request's route.
      customer: The request's customer; None without a known key.
    """

    route: types.Route
    customer: types.Customer | None

    @property
    def regions(self) -> places.Regions:
        """The regions that both of them allow; None for any."""
        return places.intersect(
            self.route.regions, self.customer.regions if self.customer else None
        )


class Catalog:
    """An index of one configuration.

    Finding a route takes one look-up for each segment of the path.

    Attributes:
      configuration: The configuration.
      restricting_regions: The regions that any requests are restricted to.
    """

    def __init__(self, configuration: types.Configuration):
        self.configuration = configuration
        self._hosts: dict[str, dict[str, types.Route]] = {}
        for route in configuration.routes:
            prefixes = self._hosts.setdefault(route.host, {})
            prefixes[route.prefix] = route
        self._restricting_regions = _find_restricting_regions(configuration)
        self.restricting_regions = frozenset().union(
            *self._restricting_regions.values()
        )
        self._server_priorities = _server_priorities(configuration)

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self.configuration.version

    @property
    def services(self) -> Mapping[str, types.Service]:
        """All services by name."""
        return self.configuration.services

    def route(self, host: str, path: str) -> types.Route | None:
        """Returns the route with the longest matching prefix, if any."""
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
        """Returns the customer of an API key; None if the key is unknown."""
        return self.configuration.customers.get(key)

    def restricting_regions_of(self, service: str) -> frozenset[str]:
        """Returns the regions that requests of a service are restricted to."""
        return self._restricting_regions.get(service, frozenset())

    def server_priority(self, service: str, rank: ranks.Rank) -> int | None:
        """Returns the priority of requests at the servers of a service.

        Args:
          service: Name of the service.
          rank: The rank of the requests.

        Returns:
          0 to 9, where 0 is the highest; None if all requests of the service
          have the same rank, or if the rank is not of this configuration.
        """
        return self._server_priorities.get(service, {}).get(rank)

    @property
    def keyed(self) -> bool:
        """Whether requests need an API key."""
        return self.configuration.requires_key


def _find_restricting_regions(
    configuration: types.Configuration,
) -> dict[str, frozenset[str]]:
    """Returns the regions that requests are restricted to, by service."""
    customers = configuration.customers.values()
    of_customers = frozenset().union(*(c.regions or () for c in customers))
    found: dict[str, frozenset[str]] = {}
    for route in configuration.routes:
        regions = of_customers.union(route.regions or ())
        for target in route.targets if regions else ():
            former = found.get(target.service, frozenset())
            found[target.service] = former | regions
    return found


def _server_priorities(
    configuration: types.Configuration,
) -> dict[str, dict[ranks.Rank, int]]:
    """Returns the servers' priority of each rank, by service."""
    priorities = {c.priority for c in configuration.customers.values()}
    found: dict[str, set[ranks.Rank]] = {}
    for route in configuration.routes:
        customer_priorities = set(priorities)
        if route.anonymous or not priorities:
            customer_priorities.add(None)
        route_ranks = {ranks.of(p, route.priority) for p in customer_priorities}
        for target in route.targets:
            found.setdefault(target.service, set()).update(route_ranks)
    return {
        service: {
            rank: index * _MAX_SERVER_PRIORITY // (len(of_service) - 1)
            for index, rank in enumerate(sorted(of_service))
        }
        for service, of_service in found.items()
        if len(of_service) > 1
    }
