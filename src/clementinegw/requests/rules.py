"""The settings that govern one request, resolved for service and customer."""

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
    """An operation of a service, as operators declare it.

    Attributes:
      method: The HTTP method.
      path: The path, or its beginning when it ends in `*`.
      idempotent: Whether it may run more than once.
    """

    method: str
    path: str
    idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        """Returns whether a request is one of this operation."""
        if method != self.method:
            return False
        # Compared as the backend server reads it: `/%62ookings` is a booking.
        decoded_path = urllib.parse.unquote(path.partition("?")[0])
        if self.path.endswith("*"):
            return decoded_path.startswith(self.path[:-1])
        return decoded_path == self.path


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What holds for one customer's requests to one service at one entry.

    Attributes:
      service: The service's name.
      kind: What its backend servers are.
      revision: The settings revision these rules come from.
      version: The model version that is declared; empty for a plain service.
      operations: The declared operations; others go by their HTTP method.
      weight: The customer's share when work queues, relative to the others.
      requests_per_s: The customer's rate over all entries.
      tokens_per_s: The customer's tokens a second over all entries.
      burst_s: How many seconds of its rate a customer may use at once.
      max_body_bytes: The largest request body.
      max_concurrent: The customer's requests in flight at one entry.
      max_queue: Requests that may wait at one entry for the service.
      target_s: The queueing delay from which work is refused, by priority.
      interval_s: How long the delay must exceed the target.
      deadline_s: The deadline of a request that names none.
      max_deadline_s: The longest deadline a caller may ask for.
      policy: The name of the routing policy.
      subset_size: Agents of a service that an entry keeps connections to.
      spill_load: The load above which other failure domains take work.
      slow_start_s: How long a new worker takes to get its full share.
      hedging: Whether late idempotent requests are sent a second time.
      hedge_quantile: The quantile of the delay after which one is late.
      max_attempts: How often a request may be sent.
      budget_ratio: Repetitions allowed as a share of requests.
      base_s: The first backoff.
      max_s: The longest backoff.
      attempt_timeout_s: The longest silence within a streamed answer.
      alone_timeout_s: How long a suspect waits for its turn.
      max_tokens: Tokens of an answer whose request names no limit.
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

        A declared operation goes by its declaration. Any other goes by its
        method; a completion only computes, so it may be repeated.
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
    """The settings in force, as `settings.follower` keeps them."""

    @property
    def revision(self) -> int:
        """The revision."""

    @property
    def tree(self) -> model.Tree:
        """The tree at that revision."""


class RulesSource(Protocol):
    """Where the rules in force come from."""

    def rules(self, service: str, customer: str) -> Rules | None:
        """Returns the rules; None for a service that is not declared."""

    def ready(self) -> bool:
        """Returns whether any settings have been folded yet."""

    def customer(self, name: str) -> str:
        """Returns the name that limits and shares go by."""


class SettingsRules:
    """Rules from the settings in force, resolved once a revision.

    A customer that the tree does not name is treated as the nameless one, so
    that a caller can neither escape its limits nor fill the entry's memory by
    inventing names.
    """

    def __init__(
        self,
        current: Callable[[], SettingsState | None],
        place: types.Place,
    ):
        """Prepares the lookup.

        Args:
          current: Returns the settings in force, None before the first.
          place: Where this entry stands.
        """
        self._current = current
        self._place = place
        self._revision = -1
        self._resolved: dict[tuple[str, str], Rules | None] = {}

    def ready(self) -> bool:
        """Returns whether any settings have been folded yet."""
        return self._current() is not None

    def customer(self, name: str) -> str:
        """Returns the name that limits and shares go by."""
        state = self._current()
        if state is None or name not in state.tree.customers:
            return ""
        return name

    def rules(self, service: str, customer: str) -> Rules | None:
        """Returns the rules; None for a service that is not declared."""
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
    """Rules that do not change, the same for every customer but the weight."""

    def __init__(
        self,
        services: dict[str, Rules],
        customers: dict[str, dict[str, float]] | None = None,
    ):
        """Keeps the rules.

        Args:
          services: Rules by service.
          customers: Fields of `Rules` that differ, by customer.
        """
        self._services = services
        self._customers = customers or {}
        self._resolved: dict[tuple[str, str], Rules] = {}

    def rules(self, service: str, customer: str) -> Rules | None:
        """Returns the rules; None for a service that is not declared."""
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
        """Returns True."""
        return True

    def customer(self, name: str) -> str:
        """Returns the name itself."""
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
