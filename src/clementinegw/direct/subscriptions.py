"""Subscriptions of an entry to agents' reports.

The entry subscribes to all reports about servers that it follows, and to
changes only about all others.
"""

from collections.abc import Callable

from clementinegw import types as shared_types
from clementinegw.direct import _events
from clementinegw.direct import admit
from clementinegw.direct import backend as backend_lib
from clementinegw.direct import balance
from clementinegw.direct import fleet as fleets
from clementinegw.direct import instance as instances
from clementinegw.direct import rate_limit
from clementinegw.direct import reports
from clementinegw.direct import subsetting
from clementinegw.direct import suspicion_codec
from clementinegw.direct import types
from clementinegw.direct import version_policy
from clementinegw.scheduling import slot_shares
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# A subscription to changes only is renewed once in this many rounds; agents
# keep it for twelve rounds.
_CHANGES_ONLY_ROUNDS = 3


class Subscriptions:
    """An entry's subscriptions to reports."""

    def __init__(
        self,
        instance: instances.Instance,
        config_view: admit.ConfigView,
        fleet: fleets.Fleet,
        versions: version_policy.VersionPolicy,
        listener: reports.Listener,
        suspicions: Callable[[], tuple[suspicion_codec.Suspicion, ...]],
        clock: Callable[[], float],
        log: logs.Log,
        counters: counters_lib.Counters,
        arrivals: slot_shares.ArrivalRates | None = None,
        evacuated: Callable[[], frozenset[str]] = frozenset,
    ):
        """Subscribes to nothing until `subscribe_changed` or `renew`.

        Args:
          instance: The entry's instance.
          config_view: Says which services run engines.
          fleet: All servers; those to follow are set here.
          versions: The model versions that may serve.
          listener: Sends the subscriptions.
          suspicions: Returns suspicions about requests that crash servers.
          clock: Returns monotonic seconds.
          log: Log for changes of the followed servers.
          counters: Holds the gauges of followed servers and of the demand for
            each service.
          arrivals: The requests of each service at this entry; None if agents
            are told no demand.
          evacuated: Returns the failure domains whose servers get no requests.
        """
        self._instance = instance
        self._config_view = config_view
        self._fleet = fleet
        self._versions = versions
        self._listener = listener
        self._suspicions = suspicions
        self._clock = clock
        self._log = log
        self._counters = counters
        self._evacuated = evacuated
        self._subscribed: dict[shared_types.Address, reports.Subscription] = {}
        self._followed: set[str] = set()
        self._serving: dict[str, bool] = {}
        self._relayed_limits: dict[str, rate_limit.Observation] = {}
        self._rounds = 0
        self._arrivals = arrivals
        self._demands: dict[str, float] = {}

    def renew(self) -> None:
        """Renews subscriptions that are due; called about once per second."""
        self._update_followed()
        self._update_demands()
        self._subscribed = self._subscriptions_by_agent()
        self._rounds += 1
        suspicions = self._suspicions()
        due = {
            agent: subscription
            for number, (agent, subscription) in enumerate(
                self._subscribed.items()
            )
            # Suspicions are sent to all agents at once.
            if suspicions
            or not subscription.changes_only
            or (number + self._rounds) % _CHANGES_ONLY_ROUNDS == 0
        }
        self._subscribe(due, suspicions)

    def publish_suspicions(self) -> None:
        """Sends what is suspected of requests to all agents at once."""
        suspicions = self._suspicions()
        if suspicions:
            self._subscribe(self._subscribed, suspicions)

    def subscribe_changed(self) -> None:
        """Subscribes to agents whose subscription has changed, at once.

        An agent reports to each entry its share of the free slots. After a
        power failure, agents knew only the first entries for a second, and each
        of those took half of the slots.
        """
        self._update_followed()
        subscriptions = self._subscriptions_by_agent()
        changed = {
            agent: subscription
            for agent, subscription in subscriptions.items()
            if not subscription.has_same_terms(self._subscribed.get(agent))
        }
        self._subscribed = subscriptions
        if changed:
            self._subscribe(changed)

    def refresh(self) -> None:
        """Renews subscriptions if the usable servers or rate limits changed."""
        if self._find_serving() != self._serving or _rates(
            self._observed_limits()
        ) != _rates(self._relayed_limits):
            self.subscribe_changed()

    def _subscribe(
        self,
        agents: dict[shared_types.Address, reports.Subscription],
        suspicions: tuple[suspicion_codec.Suspicion, ...] = (),
    ) -> None:
        now = self._clock()
        hosts = {
            agent.host
            for agent, subscription in agents.items()
            if not subscription.changes_only
        }
        for backend in self._fleet.all():
            if backend.server.address.host in hosts:
                backend.transit.record_question(now)
        self._listener.subscribe(agents, self._declared(), suspicions)

    def _declared(self) -> reports.DeclaredVersions:
        return reports.DeclaredVersions(
            self._versions.newest_by_model(), self._versions.ages_s()
        )

    def _update_followed(self) -> None:
        """Selects the servers that the entry follows."""
        self._serving = self._find_serving()
        catalog = self._config_view.catalog
        followed: set[str] = set()
        for service in self._fleet.services():
            backends = [b for b in self._fleet.of(service) if not b.retired]
            if self._config_view.engine(service) is None:
                # Plain servers have no agent to report on them, and are few.
                followed.update(b.server.server_id for b in backends)
            else:
                restricting = (
                    catalog.restricting_regions_of(service)
                    if catalog
                    else frozenset()
                )
                followed |= self._select_followed(backends, restricting)
        self._fleet.set_followed(followed, self._clock())
        if followed != self._followed:
            self._followed = followed
            self._log_followed(followed)

    def _select_followed(
        self,
        backends: list[backend_lib.Backend],
        restricting_regions: frozenset[str],
    ) -> set[str]:
        """Returns the servers of a service to follow, by id.

        Those in evacuated failure domains take no request, so others have to
        be followed in their place. They stay followed, since some still run
        requests.
        """
        evacuated = self._evacuated()
        free = []
        followed = set()
        for backend in backends:
            if backend.server.failure_domain not in evacuated:
                free.append(self._candidate(backend))
            elif backend.server.server_id in self._followed:
                followed.add(backend.server.server_id)
        return followed | subsetting.select_followed(
            self._instance.name, free, restricting_regions
        )

    def _update_demands(self) -> None:
        """Computes the part of each service's demand for one of its servers.

        Only called when all followed servers' subscriptions are renewed: an
        entry's share must rest on the demand that the agents add up.
        """
        if self._arrivals is None:
            return
        self._arrivals.end_period(self._clock())
        for service in self._fleet.services():
            followed = sum(b.followed for b in self._fleet.of(service))
            rate = self._arrivals.rate(service)
            if rate is not None and followed:
                self._demands[service] = rate / followed
                self._counters.gauge(f"direct.demand.{service}", rate)

    def _log_followed(self, followed: set[str]) -> None:
        self._counters.gauge("direct.servers.followed", len(followed))
        self._log.write(
            _events.FOLLOWING_CHANGED,
            followed=len(followed),
            listed=sum(1 for _ in self._fleet.all()),
            serving=sum(self._serving.values()),
        )

    def _candidate(self, backend: backend_lib.Backend) -> subsetting.Candidate:
        server_id = backend.server.server_id
        return subsetting.Candidate(
            server_id,
            not self._is_far(backend.server),
            self._serving.get(server_id, False),
            self._instance.regions.get(backend.server.failure_domain, ""),
        )

    def _find_serving(self) -> dict[str, bool]:
        """Returns for each engine server whether a request may start there."""
        serving: dict[str, bool] = {}
        for service in self._fleet.services():
            engine = self._config_view.engine(service)
            if engine is None:
                continue
            model = engine.models[0] if engine.models else ""
            preferred = self._versions.preferred(model, self._versions.now)
            for backend in self._fleet.of(service):
                serving[backend.server.server_id] = (
                    backend.serves(max(1, preferred), engine.layers)
                    and not backend.retired
                    and not backend.loading
                    and not backend.yielding
                )
        return serving

    def _subscriptions_by_agent(
        self,
    ) -> dict[shared_types.Address, reports.Subscription]:
        """Returns the address of each agent and what it is asked for."""
        port = self._instance.peer_ports[0]
        for backend in self._fleet.all():
            backend.demand = (
                self._demands.get(backend.server.service)
                if backend.followed
                else None
            )
        self._relayed_limits = limits = self._observed_limits()
        return {
            shared_types.Address(
                backend.server.address.host, port
            ): reports.Subscription(
                self._is_far(backend.server),
                not backend.followed,
                limits.get(backend.server.server_id),
                backend.demand,
            )
            for backend in self._fleet.all()
            if self._config_view.engine(backend.server.service) is not None
        }

    def _observed_limits(self) -> dict[str, rate_limit.Observation]:
        """Returns the rate limits that servers reported to this entry."""
        now = self._clock()
        return {
            backend.server.server_id: observed
            for backend in self._fleet.all()
            if (observed := backend.signals.recent_observation(now)) is not None
        }

    def _is_far(self, server: types.Server) -> bool:
        """Returns whether a server is in another region."""
        distance = balance.distance_to(
            self._instance.regions,
            self._instance.place,
            server.failure_domain,
        )
        return distance > 1


def _rates(
    limits: dict[str, rate_limit.Observation],
) -> dict[str, float | None]:
    """Returns limits without their times, which change on every answer."""
    return {server_id: limit.per_s for server_id, limit in limits.items()}
