"""Resolves the settings that apply to one request."""

from collections.abc import Callable
import dataclasses
import math
from typing import Protocol
import urllib.parse

from clementinegw import types
from clementinegw.settings import model
from clementinegw.settings import tree as settings_tree

_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """An operation of a service, as declared by the operators.

    Attributes:
      method: The HTTP method.
      path: The path, or a prefix of it followed by `*`.
      idempotent: Whether it may run more than once.
    """

    method: str
    path: str
    idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        """Returns whether a request calls this operation."""
        if method != self.method:
            return False
        # Compares the decoded path, as the backend server does: `/%62ookings`
        # is `/bookings`.
        decoded_path = urllib.parse.unquote(path.partition("?")[0])
        if self.path.endswith("*"):
            return decoded_path.startswith(self.path[:-1])
        return decoded_path == self.path


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Settings for one customer's requests to one service at one entry.

    Attributes:
      service: The name of the service.
      kind: The kind of the service.
      revision: The settings revision.
      version: The declared model version; empty for a plain service.
      operations: The declared operations. Others are idempotent or not
        according to their HTTP method.
      weight: The customer's weight in the queue, relative to other customers.
      requests_per_s: The customer's maximum request rate over all entries.
      tokens_per_s: The customer's maximum token rate over all entries.
      burst_s: How many seconds of its rate a customer may use at once.
      max_body_bytes: The maximum size of a request body.
      max_concurrent: The customer's maximum number of requests in flight at one
        entry.
      max_queue: The maximum number of queued requests of the service at one
        entry.
      target_s: The target for the queueing delay, in seconds. The maximum delay
        of each priority is a multiple of it.
      interval_s: How long the delay must exceed the maximum before requests are
        refused, in seconds.
      deadline_s: The timeout of a request that specifies none, in seconds.
      max_deadline_s: The maximum timeout of a request, in seconds.
      policy: The name of the routing policy.
      subset_size: The minimum number of agents that an entry connects to in its
        own failure domain, per service.
      spill_load: The load above which requests go to other failure domains, as
        a share of the capacity.
      slow_start_s: How long the capacity of a new worker increases to its full
        value, in seconds.
      hedging: Whether late idempotent requests are sent a second time.
      hedge_quantile: The quantile of the run time after which a request is
        late.
      max_attempts: The maximum number of attempts of a request.
      budget_ratio: Retries allowed per request.
      base_s: The maximum backoff before the first retry, in seconds.
      max_s: The maximum backoff before any retry, in seconds.
      attempt_timeout_s: The longest gap between frames of a streamed answer, in
        seconds.
      alone_timeout_s: How long a suspect may wait for its lease, in seconds.
      max_tokens: The assumed number of tokens of an answer if the request
        specifies no limit.
    """

    service: str
    kind: types.ServiceKind
    revision: int = 0
    version: str = ""
    operations: tuple[Operation, ...] = ()
    weight: float = 1.0
    requests_per_s: float = math.inf
    tokens_per_s: float = math.inf
    burst_s: float = 2.0
    max_body_bytes: int = 1 << 20
    max_concurrent: int = 256
    max_queue: int = 256
    target_s: float = 0.1
    interval_s: float = 0.5
    deadline_s: float = 30.0
    max_deadline_s: float = 600.0
    policy: str = "cache_aware"
    subset_size: int = 16
    spill_load: float = 0.8
    slow_start_s: float = 10.0
    hedging: bool = False
    hedge_quantile: float = 0.95
    max_attempts: int = 3
    budget_ratio: float = 0.1
    base_s: float = 0.05
    max_s: float = 2.0
    attempt_timeout_s: float = 30.0
    alone_timeout_s: float = 10.0
    max_tokens: int = 256

    def idempotent(self, method: str, path: str) -> bool:
        """Returns whether an operation may run more than once.

        The declaration of an operation takes precedence over its HTTP method.
        Undeclared completions have no side effects and may be repeated.
        """
        for operation in self.operations:
            if operation.matches(method, path):
                return operation.idempotent
        if method in _SAFE_METHODS:
            return True
        return self.kind is types.ServiceKind.MODEL_ENGINE and path.startswith(
            _COMPLETION_PATHS
        )


class SettingsState(Protocol):
    """The settings in force, as stored by `settings.follower`."""

    @property
    def revision(self) -> int:
        """The revision of the settings."""

    @property
    def tree(self) -> model.Tree:
        """The settings tree at that revision."""


class RulesSource(Protocol):
    """Provides the rules in force."""

    def rules(self, service: str, customer: str) -> Rules | None:
        """Returns the rules; None if the service is not declared."""

    def ready(self) -> bool:
        """Returns whether settings are available."""

    def customer(self, name: str) -> str:
        """Returns the customer name that limits and shares use."""


class SettingsRules:
    """Resolves rules from the settings in force, once per revision.

    All customers that the settings tree does not declare share the empty name.
    Otherwise a caller could evade its limits, or exhaust the entry's memory, by
    inventing names.
    """

    def __init__(
        self,
        current: Callable[[], SettingsState | None],
        place: types.Place,
    ):
        """Starts with an empty cache.

        Args:
          current: Returns the settings in force; None if there are none yet.
          place: The location of this entry.
        """
        self._current = current
        self._place = place
        self._revision = -1
        self._resolved: dict[tuple[str, str], Rules | None] = {}

    def ready(self) -> bool:
        """Returns whether settings are available."""
        return self._current() is not None

    def customer(self, name: str) -> str:
        """Returns the customer name that limits and shares use."""
        state = self._current()
        if state is None or name not in state.tree.customers:
            return ""
        return name

    def rules(self, service: str, customer: str) -> Rules | None:
        """Returns the rules; None if the service is not declared."""
        state = self._current()
        if state is None:
            return None
        if state.revision != self._revision:
            self._revision = state.revision
            self._resolved.clear()
        key = (service, customer if customer in state.tree.customers else "")
        if key not in self._resolved:
            self._resolved[key] = _resolve(state, self._place, *key)
        return self._resolved[key]


class FixedRules:
    """Rules that never change."""

    def __init__(
        self,
        services: dict[str, Rules],
        customers: dict[str, dict[str, float]] | None = None,
    ):
        """Stores the rules.

        Args:
          services: Rules by service.
          customers: The fields of `Rules` that differ for a customer, by
            customer.
        """
        self._services = services
        self._customers = customers or {}
        self._resolved: dict[tuple[str, str], Rules] = {}

    def rules(self, service: str, customer: str) -> Rules | None:
        """Returns the rules; None if the service is not declared."""
        resolved = self._resolved.get((service, customer))
        if resolved is not None:
            return resolved
        base = self._services.get(service)
        if base is None:
            return None
        changed = dataclasses.replace(
            base,
            **self._customers.get(customer, {}),  # type: ignore[arg-type]
        )
        self._resolved[service, customer] = changed
        return changed

    def ready(self) -> bool:
        """Returns True: the rules are always available."""
        return True

    def customer(self, name: str) -> str:
        """Returns the name unchanged."""
        return name


def _resolve(
    state: SettingsState, place: types.Place, service: str, customer: str
) -> Rules | None:
    declared = state.tree.services.get(service)
    if declared is None:
        return None
    resolved = settings_tree.resolve(state.tree, place, service, customer)
    weight = 1.0
    if customer in state.tree.customers:
        weight = state.tree.customers[customer].weight
    limits, admission = resolved.limits, resolved.admission
    routing, retries = resolved.routing, resolved.retries
    return Rules(
        service=service,
        kind=declared.kind,
        revision=state.revision,
        version=declared.model.version if declared.model else "",
        operations=tuple(
            Operation(o.method, o.path, o.idempotent)
            for o in declared.operations
        ),
        weight=weight,
        requests_per_s=limits.requests_per_s,
        tokens_per_s=limits.tokens_per_s,
        burst_s=limits.burst_s,
        max_body_bytes=limits.max_body_bytes,
        max_concurrent=limits.max_concurrent,
        max_queue=admission.max_queue,
        target_s=admission.target_s,
        interval_s=admission.interval_s,
        deadline_s=admission.deadline_s,
        max_deadline_s=admission.max_deadline_s,
        policy=routing.policy.value,
        subset_size=routing.subset_size,
        spill_load=routing.spill_load,
        slow_start_s=routing.slow_start_s,
        hedging=routing.hedging,
        hedge_quantile=routing.hedge_quantile,
        max_attempts=retries.max_attempts,
        budget_ratio=retries.budget_ratio,
        base_s=retries.base_s,
        max_s=retries.max_s,
        attempt_timeout_s=retries.attempt_timeout_s,
        alone_timeout_s=routing.alone_timeout_s,
    )
