"""Other failure domains: bridges, reachability and services."""

import dataclasses

import xxhash

from clementinegw import types
from clementinegw.membership import _records
from clementinegw.membership import parameters
from clementinegw.membership import table as tables
from clementinegw.membership import view
from clementinegw.wire.gen.membership import ttypes

_PER_MILLE = 1000
_MAX_AGE_MS = 2**31 - 1
_BRIDGE_HASH_SEED = 7


@dataclasses.dataclass(slots=True)
class _DomainInfo:
    region: str
    received_at: float
    services: list[ttypes.ServiceSummary]


class Domains:
    """The bridges and the received summaries of failure domains."""

    def __init__(
        self,
        own_domain: str,
        table: tables.Table,
        options: parameters.Parameters,
    ):
        self._own_domain = own_domain
        self._table = table
        self._options = options
        self._received: dict[str, _DomainInfo] = {}
        # Caches the ranking, which needs a sort, by digest.
        self._bridge_cache: dict[str, tuple[int, list[_records.Record]]] = {}

    def bridges(self, failure_domain: str) -> list[_records.Record]:
        """Returns the members that probe other failure domains.

        These are the entries with the lowest rendezvous ranks, or agents if
        there is no entry. While the views of two processes differ they may
        choose different bridges, which only costs additional datagrams.
        """
        digest = self._table.domain(failure_domain).digest
        ranked = self._bridge_cache.get(failure_domain)
        if ranked is None or ranked[0] != digest:
            ranked = (digest, self._rank_bridges(failure_domain))
            self._bridge_cache[failure_domain] = ranked
        return ranked[1]

    def apply_summary(self, summary: ttypes.DomainSummary, now: float) -> bool:
        """Applies a summary if it is newer than the known one."""
        if summary.failure_domain == self._own_domain:
            return False
        received_at = now - summary.age_ms / _PER_MILLE
        known = self._received.get(summary.failure_domain)
        if known is not None and known.received_at >= received_at:
            return False
        self._received[summary.failure_domain] = _DomainInfo(
            summary.region, received_at, summary.services
        )
        return True

    def summaries(self, now: float) -> list[ttypes.DomainSummary]:
        """Returns the summaries that entries exchange, the own domain first."""
        summaries = [self.own_summary()]
        for name, info in self._received.items():
            age_ms = min(
                int((now - info.received_at) * _PER_MILLE), _MAX_AGE_MS
            )
            digest = self._table.domain(name).digest
            summaries.append(
                ttypes.DomainSummary(
                    name, info.region, digest, age_ms, info.services
                )
            )
        return summaries

    def own_summary(self) -> ttypes.DomainSummary:
        """Returns the summary of this process's failure domain."""
        domain = self._table.domain(self._own_domain)
        return ttypes.DomainSummary(
            self._own_domain,
            domain.region,
            domain.digest,
            0,
            self._own_services(),
        )

    def own_digest_summary(self) -> ttypes.DomainSummary:
        """Returns the summary of this failure domain without services."""
        domain = self._table.domain(self._own_domain)
        return ttypes.DomainSummary(
            self._own_domain, domain.region, domain.digest, 0, []
        )

    def reachable(self, failure_domain: str, now: float) -> bool:
        """Returns whether a recent summary of a failure domain is known."""
        if failure_domain == self._own_domain:
            return True
        info = self._received.get(failure_domain)
        if info is None:
            return False
        return now - info.received_at <= self._options.domain_timeout_s

    def load(self, failure_domain: str, service: str) -> float:
        """Returns the mean load of a service in another failure domain."""
        info = self._received.get(failure_domain)
        for summary in info.services if info is not None else ():
            if summary.service_name == service:
                return summary.load_permille / _PER_MILLE
        return 0.0

    def views(self, now: float) -> list[view.DomainView]:
        """Returns the other failure domains in the order of their names."""
        return [
            view.DomainView(
                name,
                info.region,
                now - info.received_at,
                self.reachable(name, now),
                {
                    s.service_name: view.ServiceLoad(
                        s.agents, s.load_permille / _PER_MILLE
                    )
                    for s in info.services
                },
            )
            for name, info in sorted(self._received.items())
        ]

    def _rank_bridges(self, failure_domain: str) -> list[_records.Record]:
        present = [
            record
            for record in self._table.present(failure_domain)
            if record.member.state < _records.State.LEAVING
        ]
        entries = [r for r in present if r.member.role == types.Role.ENTRY]
        ranked = sorted(entries or present, key=_rank)
        return ranked[: self._options.bridges]

    def _own_services(self) -> list[ttypes.ServiceSummary]:
        loads: dict[str, list[int]] = {}
        for record in self._table.present(self._own_domain):
            if record.member.state != _records.State.ALIVE:
                continue
            if record.member.service_name:
                load = record.report.load_permille if record.report else 0
                loads.setdefault(record.member.service_name, []).append(load)
        return [
            ttypes.ServiceSummary(name, len(values), sum(values) // len(values))
            for name, values in sorted(loads.items())
        ]


def _rank(record: _records.Record) -> int:
    return xxhash.xxh64_intdigest(
        record.member.instance_id.encode(), seed=_BRIDGE_HASH_SEED
    )
