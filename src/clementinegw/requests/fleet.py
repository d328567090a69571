"""Tracks the services of this entry and their workers."""

from collections.abc import Iterable
import dataclasses
import random

from clementinegw import clock as clock_lib
from clementinegw import types
from clementinegw.requests import _events
from clementinegw.requests import agent_connections as connections_lib
from clementinegw.requests import dispatcher as dispatcher_lib
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import subset
from clementinegw.requests import workers as workers_lib
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs
from clementinegw.wire import codec
from clementinegw.wire import connection as connection_lib
from clementinegw.wire.gen.requests import ttypes

Kind = connection_lib.Kind

# An entry divides the subset size by this for other failure domains. The rest
# is enough to spill load to without connecting every entry with every agent.
_REMOTE_SUBSET_DIVISOR = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live member, as reported by membership or by the platform's list.

    Attributes:
      instance: The instance.
      leaving: Whether it was reported as leaving.
    """

    instance: types.Instance
    leaving: bool = False


class Fleet:
    """Maintains a dispatcher for each service.

    Updates come from membership and from the agents' own notices.
    """

    def __init__(
        self,
        me: types.Instance,
        endpoint: connection_lib.Endpoint,
        rules: rules_lib.RulesSource,
        clock: clock_lib.Clock,
        log: logs.Log,
        counters: counters_lib.Counters,
        rng: random.Random,
    ):
        """Registers for the agents' notices.

        Args:
          me: This entry.
          endpoint: The connections of this entry.
          rules: The settings in force.
          clock: The source of time.
          log: Receives the log events.
          counters: Counts the failures.
          rng: Breaks ties and randomizes delays.
        """
        self._me = me
        self._rules = rules
        self._clock = clock
        self._log = log
        self._rng = rng
        self._dispatchers: dict[str, dispatcher_lib.Dispatcher] = {}
        self._revisions: dict[str, int] = {}
        self._connections = connections_lib.AgentConnections(
            endpoint, self._on_connection, log, counters, rng
        )
        endpoint.on_notice(Kind.AGENT_STATUS, self._on_status)
        endpoint.on_notice(Kind.AGENT_LOAD, self._on_load)
        endpoint.on_disconnected(self._connections.on_disconnected)

    def dispatchers(self) -> dict[str, dispatcher_lib.Dispatcher]:
        """Returns the dispatchers by service."""
        return dict(self._dispatchers)

    def dispatcher(self, rules: rules_lib.Rules) -> dispatcher_lib.Dispatcher:
        """Returns the dispatcher of a service, configured by the given rules.

        Args:
          rules: The settings that apply to a request for the service.
        """
        dispatcher = self._dispatchers.get(rules.service)
        if dispatcher is None:
            dispatcher = self._dispatchers[rules.service] = (
                dispatcher_lib.Dispatcher(
                    self._me.place, rules, self._clock, self._rng
                )
            )
            self._revisions[rules.service] = rules.revision
        elif self._revisions[rules.service] != rules.revision:
            dispatcher.configure(rules)
            self._revisions[rules.service] = rules.revision
        return dispatcher

    def set_members(self, members: Iterable[Member]) -> None:
        """Applies the live members and chooses the agents to connect to."""
        entries: dict[str, list[str]] = {}
        agents: dict[str, list[Member]] = {}
        # A fixed order, so that equal members lead to equal choices.
        for member in sorted(members, key=lambda m: m.instance.instance_id):
            instance = member.instance
            if instance.role is types.Role.ENTRY:
                domain = instance.place.failure_domain
                entries.setdefault(domain, []).append(instance.instance_id)
            elif instance.role is types.Role.AGENT:
                agents.setdefault(instance.service, []).append(member)
        chosen: list[types.Instance] = []
        for service in sorted({*agents, *self._dispatchers}):
            chosen += self._choose(service, agents.get(service, []), entries)
        self._connections.set_chosen(chosen)

    def close(self) -> None:
        """Stops opening connections."""
        self._connections.close()

    def _choose(
        self,
        service: str,
        members: list[Member],
        entries: dict[str, list[str]],
    ) -> list[types.Instance]:
        rules = self._rules.rules(service, "")
        if rules is None:
            return []
        dispatcher = self.dispatcher(rules)
        domains: dict[str, dict[str, Member]] = {}
        for member in members:
            domain = member.instance.place.failure_domain
            by_id = domains.setdefault(domain, {})
            by_id[member.instance.instance_id] = member
        chosen: list[Member] = []
        for domain, by_id in sorted(domains.items()):
            chosen += self._choose_in_domain(domain, by_id, rules, entries)
        local = domains.get(self._me.place.failure_domain, {})
        dispatcher.workers.set_subset(m.instance for m in chosen)
        for member in chosen:
            if member.leaving:
                dispatcher.workers.mark_leaving(member.instance.instance_id)
        dispatcher.set_entries_per_worker(
            _entries_per_worker(len(chosen), len(local), len(members), entries)
        )
        dispatcher.workers_changed()
        return [m.instance for m in chosen]

    def _choose_in_domain(
        self,
        domain: str,
        by_id: dict[str, Member],
        rules: rules_lib.Rules,
        entries: dict[str, list[str]],
    ) -> list[Member]:
        size = rules.subset_size
        sharing_entries = entries.get(self._me.place.failure_domain, [])
        if domain != self._me.place.failure_domain:
            size = max(1, size // _REMOTE_SUBSET_DIVISOR)
            sharing_entries = [
                name for names in entries.values() for name in names
            ]
        names = subset.choose(
            self._me.instance_id, sharing_entries, list(by_id), size
        )
        return [by_id[name] for name in names]

    def _on_connection(self, instance: types.Instance, connected: bool) -> None:
        dispatcher = self._dispatchers.get(instance.service)
        if dispatcher is not None:
            dispatcher.workers.set_connected(instance.instance_id, connected)
            dispatcher.workers_changed()

    def _on_status(
        self, connection: connection_lib.Connection, body: bytes
    ) -> None:
        status = codec.decode(ttypes.AgentStatus, body)
        dispatcher = self._dispatchers.get(status.service_name)
        name = connection.peer.instance_id
        if dispatcher is None or status.instance_id != name:
            return
        now = self._clock.now()
        worker = dispatcher.workers.get(name)
        if worker is not None and status.leaving and not worker.leaving:
            self._log.write(_events.AGENT_LEAVING, agent=name)
        report = workers_lib.Report(
            version=status.version,
            leaving=status.leaving,
            ready=status.ready,
            load=status.in_flight + status.queued,
            capacity=status.capacity,
            serving_s=status.serving_s,
            incarnation=status.incarnation,
        )
        changed = dispatcher.workers.apply_report(name, report, now)
        if dispatcher.index is not None:
            if changed:
                dispatcher.index.forget(name)
            if status.prefixes_changed:
                removed = status.prefixes_gone or ()
                dispatcher.index.apply_changes(
                    name, status.prefixes, removed, now
                )
            else:
                dispatcher.index.apply_report(name, status.prefixes, now)
        dispatcher.workers_changed()

    def _on_load(
        self, connection: connection_lib.Connection, body: bytes
    ) -> None:
        notice = codec.decode(ttypes.AgentLoad, body)
        name = connection.peer.instance_id
        load = notice.in_flight + notice.queued
        for dispatcher in self._dispatchers.values():
            if not dispatcher.workers.apply_load(
                name, notice.incarnation, load
            ):
                continue
            added, removed = notice.prefixes or (), notice.prefixes_gone or ()
            if dispatcher.index is not None and (added or removed):
                dispatcher.index.apply_changes(
                    name, added, removed, self._clock.now()
                )
            dispatcher.workers_changed()


def _entries_per_worker(
    chosen: int, local: int, workers: int, entries: dict[str, list[str]]
) -> float:
    """Returns the mean number of entries that share a chosen worker."""
    count = max(1, sum(len(names) for names in entries.values()))
    if not workers:
        return float(count)
    return max(1.0, count * chosen / workers)
