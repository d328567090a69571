"""Whether a request may be served at all: its route, its key, its caller."""

from collections.abc import Callable
import dataclasses

from clementinegw.direct import catalog as catalogs
from clementinegw.direct import outcomes
from clementinegw.direct import server as servers
from clementinegw.direct import types

Reason = outcomes.RefusalReason

# When to come back while the process learns what it needs, in seconds.
_RETRY_SOON_S = 0.3
# The least part of its time after which a caller that was turned away comes
# back. Callers of a route differ in patience by up to as much, so one whose
# time is shorter by less is new.
MIN_RETRY_SHARE = 0.15
_UNAVAILABLE = 503


@dataclasses.dataclass(slots=True)
class ConfigView:
    """What the entry knows of its surroundings.

    Attributes:
      catalog: The configuration in force; None before the first.
      age_s: How old that knowledge may be, in seconds.
      max_key_age_s: Keys are served while it is younger than this.
      max_rejection_age_s: Unknown routes and keys are refused for good while
        younger.
    """

    catalog: catalogs.Catalog | None
    age_s: Callable[[], float]
    max_key_age_s: float
    max_rejection_age_s: float

    def service(self, name: str) -> types.Service | None:
        """Returns a service of the configuration; None while unknown."""
        return self.catalog.services.get(name) if self.catalog else None

    def engine(self, service: str) -> types.Engine | None:
        """Returns how a service's engines work; None for a plain one."""
        known = self.service(service)
        return known.engine if known else None


def match(
    config_view: ConfigView,
    request: servers.Request,
    facts: types.RequestMetadata,
) -> catalogs.RouteMatch | outcomes.Refusal:
    """Returns a request's route and customer, or why it is refused."""
    catalog = config_view.catalog
    if catalog is None:
        return unavailable(Reason.NO_CONFIGURATION, _RETRY_SOON_S)
    # What is unknown here may be new: only a process that has heard from
    # the platform just now may say that it does not exist.
    fresh = config_view.age_s() < config_view.max_rejection_age_s
    route = catalog.route(request.host, request.path)
    if route is None:
        if fresh:
            return outcomes.Refusal(404, Reason.NO_ROUTE)
        return unavailable(Reason.STALE_ROUTES, _RETRY_SOON_S)
    if not catalog.keyed or (route.anonymous and not facts.key):
        return catalogs.RouteMatch(route, None)
    customer = catalog.customer(facts.key)
    if customer is None and route.anonymous:
        return catalogs.RouteMatch(route, None)
    if customer is None:
        if fresh:
            return outcomes.Refusal(401, Reason.NO_KEY)
        return unavailable(Reason.STALE_KEYS, _RETRY_SOON_S)
    # The key may have been taken away since the platform last answered.
    # Whoever is cut off shows nothing else, so the age alone decides.
    if config_view.age_s() >= config_view.max_key_age_s:
        return unavailable(Reason.STALE_KEYS, _RETRY_SOON_S)
    return catalogs.RouteMatch(route, customer)


class CallerTimeouts:
    """How long callers of each route wait at first.

    A caller that was refused comes back with less time. Taken for a new one,
    it would be preferred to those that can still be on time, and late itself. A
    new one that is less patient than others must not be taken for one that came
    back: it would wait behind all others for a third of its time, and in vain.
    """

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}

    def spent_s(self, route: str, timeout_s: float | None) -> float:
        """Returns how long a caller has been at it; 0 for a new request."""
        if timeout_s is None:
            return 0.0
        usual_s = max(self._usual_s.get(route, 0.0), timeout_s)
        self._usual_s[route] = usual_s
        spent_s = usual_s - timeout_s
        return spent_s if spent_s > MIN_RETRY_SHARE * usual_s else 0.0


def unavailable(reason: Reason, retry_after_s: float) -> outcomes.Refusal:
    """Returns the answer that a request was not run and may come back."""
    return outcomes.Refusal(_UNAVAILABLE, reason, retry_after_s)
