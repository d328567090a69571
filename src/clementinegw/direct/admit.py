"""Admission of requests: route, API key and customer."""

from collections.abc import Callable
import dataclasses

from clementinegw.direct import catalog as catalogs
from clementinegw.direct import outcomes
from clementinegw.direct import server as servers
from clementinegw.direct import types

Reason = outcomes.RefusalReason

# Retry delay while the process has no current configuration, in seconds.
_RETRY_SOON_S = 0.3
# Smallest fraction of its time after which a refused caller retries. The
# timeouts of new callers of a route differ by up to this fraction, so a caller
# whose timeout is shorter by less counts as new.
MIN_RETRY_SHARE = 0.15
_UNAVAILABLE = 503


@dataclasses.dataclass(slots=True)
class ConfigView:
    """The entry's current view of the configuration.

    Attributes:
      catalog: The configuration in force; None before the first one.
      age_s: Returns the maximum age of this view, in seconds.
      max_key_age_s: Keys are accepted while the view is younger than this, in
        seconds.
      max_rejection_age_s: Unknown routes and keys are rejected permanently
        while the view is younger than this, in seconds.
      settled_age_s: Returns the maximum age of the last view in which no
        revocation can be missing, in seconds.
    """

    catalog: catalogs.Catalog | None
    age_s: Callable[[], float]
    max_key_age_s: float
    max_rejection_age_s: float
    settled_age_s: Callable[[], float] = lambda: 0.0

    @property
    def accepts_keys(self) -> bool:
        """Whether the view is recent enough to accept keys."""
        age_s = max(self.age_s(), self.settled_age_s())
        return age_s < self.max_key_age_s

    def service(self, name: str) -> types.Service | None:
        """Returns a service of the configuration; None if unknown."""
        return self.catalog.services.get(name) if self.catalog else None

    def engine(self, service: str) -> types.Engine | None:
        """Returns a service's engine parameters; None for a plain service."""
        known = self.service(service)
        return known.engine if known else None


def match(
    config_view: ConfigView,
    request: servers.Request,
    metadata: types.RequestMetadata,
) -> catalogs.RouteMatch | outcomes.Refusal:
    """Returns the route and customer of a request, or a refusal."""
    catalog = config_view.catalog
    if catalog is None:
        return unavailable(Reason.NO_CONFIGURATION, _RETRY_SOON_S)
    # An unknown route or key may be new, so only a process that got an answer
    # from the platform very recently may report that it does not exist.
    fresh = config_view.age_s() < config_view.max_rejection_age_s
    route = catalog.route(request.host, request.path)
    if route is None:
        if fresh:
            return outcomes.Refusal(404, Reason.NO_ROUTE)
        return unavailable(Reason.STALE_ROUTES, _RETRY_SOON_S)
    if not catalog.keyed or (route.anonymous and not metadata.key):
        return catalogs.RouteMatch(route, None)
    customer = catalog.customer(metadata.key)
    if customer is None:
        if fresh:
            return outcomes.Refusal(401, Reason.NO_KEY)
        return unavailable(Reason.STALE_KEYS, _RETRY_SOON_S)
    # The key may have been revoked since the platform last answered. A process
    # that is cut off notices nothing else, so only the age of the view decides.
    if not config_view.accepts_keys:
        return unavailable(Reason.STALE_KEYS, _RETRY_SOON_S)
    return catalogs.RouteMatch(route, customer)


class CallerTimeouts:
    """The full timeout of new callers, by route.

    A caller that retries after a refusal has less time left. If it counted as
    new, it would be preferred to requests that can still be on time and be late
    itself. Conversely, a new caller with a shorter timeout than others must not
    count as retrying: it would queue behind all others for a third of its time
    and still fail.
    """

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}

    def spent_s(self, route: str, timeout_s: float | None) -> float:
        """Returns the time a caller has already spent; 0 if it is new.

        Args:
          route: Name of the route.
          timeout_s: Timeout sent by the caller, in seconds; None if it sent
            none.
        """
        if timeout_s is None:
            return 0.0
        usual_s = max(self._usual_s.get(route, 0.0), timeout_s)
        self._usual_s[route] = usual_s
        spent_s = usual_s - timeout_s
        return spent_s if spent_s > MIN_RETRY_SHARE * usual_s else 0.0


def unavailable(reason: Reason, retry_after_s: float) -> outcomes.Refusal:
    """Returns a refusal with 503: the request was not run and may be retried.

    Args:
      reason: Reason of the refusal.
      retry_after_s: When the caller may retry, in seconds.
    """
    return outcomes.Refusal(_UNAVAILABLE, reason, retry_after_s)
