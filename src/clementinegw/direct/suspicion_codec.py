"""Converts suspicions to and from their form in datagrams."""

from collections.abc import Iterable
import dataclasses

from clementinegw.direct import part_publication
from clementinegw.direct import part_records
from clementinegw.direct import refusals
from clementinegw.direct import suspects
from clementinegw.wire.gen.reports import ttypes

Suspicion = suspects.Suspicion | part_records.PartSuspicion

# The largest number that fits into a field.
_MAX_INTEGER = 2**31 - 1


def to_wire(
    suspicions: Iterable[Suspicion],
) -> list[ttypes.Suspicion] | None:
    """Returns the wire form of what is suspected of whole requests.

    It is None, which takes no bytes, if there is nothing.
    """
    items = [
        ttypes.Suspicion(
            suspicion.fingerprint,
            _crashes_to_wire(suspicion.crashes),
            _age_to_wire(suspicion.completed_age_s),
            *_refusal_to_wire(suspicion.refusal),
        )
        for suspicion in suspicions
        if isinstance(suspicion, suspects.Suspicion)
    ]
    return items or None


def parts_to_wire(
    suspicions: Iterable[Suspicion],
) -> list[ttypes.PartSuspicion] | None:
    """Returns the wire form of what is suspected of parts of prompts."""
    items = [
        ttypes.PartSuspicion(
            suspicion.part,
            _crashes_to_wire(suspicion.crashes),
            _age_to_wire(suspicion.answered_age_s),
            *_refusal_to_wire(suspicion.refusal),
        )
        for suspicion in suspicions
        if isinstance(suspicion, part_records.PartSuspicion)
    ]
    return items or None


def from_wire(
    items: list[ttypes.Suspicion] | None,
    parts: list[ttypes.PartSuspicion] | None = None,
) -> tuple[Suspicion, ...]:
    """Returns the suspicions of a datagram without those that lack a field."""
    requests = (
        suspects.Suspicion(
            item.fingerprint,
            _crashes_from_wire(item.crashes),
            _age_from_wire(item.completed_age_ms),
            _refusal_from_wire(item),
        )
        for item in (items or ())[: suspects.MAX_SUSPICIONS]
        if item.fingerprint is not None and item.crashes is not None
    )
    return (
        *requests,
        *(
            part_records.PartSuspicion(
                part.part,
                _crashes_from_wire(part.crashes),
                _age_from_wire(part.answered_age_ms),
                _refusal_from_wire(part),
            )
            for part in (parts or ())[: part_publication.MAX_SUSPICIONS]
            if part.part is not None and part.crashes is not None
        ),
    )


def _crashes_to_wire(crashes: Iterable[suspects.Crash]) -> list[ttypes.Crash]:
    return [
        ttypes.Crash(crash.start, _age_to_wire(crash.age_s))
        for crash in crashes
    ]


def _crashes_from_wire(
    items: Iterable[ttypes.Crash],
) -> tuple[suspects.Crash, ...]:
    return tuple(
        suspects.Crash(item.start, item.age_ms / 1e3)
        for item in items
        if item.start is not None and item.age_ms is not None
    )


def refused_to_wire(suspicion: Suspicion, written_ms: int) -> ttypes.Refused:
    """Returns what is refused in the form in which it lasts."""
    requests, parts = to_wire([suspicion]), parts_to_wire([suspicion])
    return ttypes.Refused(
        written_ms, requests and requests[0], parts and parts[0]
    )


def refused_from_wire(
    item: ttypes.Refused, now_ms: float
) -> tuple[Suspicion, ...]:
    """Returns what was refused, with the ages that it has now.

    Args:
      item: What was written; may lack fields.
      now_ms: Unix milliseconds.
    """
    if item.written_ms is None:
        return ()
    passed_s = max(0.0, now_ms - item.written_ms) / 1e3
    requests = [item.request] if item.request is not None else None
    parts = [item.part] if item.part is not None else None
    return tuple(
        dataclasses.replace(
            suspicion,
            crashes=tuple(
                suspects.Crash(crash.start, crash.age_s + passed_s)
                for crash in suspicion.crashes
            ),
            refusal=suspicion.refusal.older(passed_s),
        )
        for suspicion in from_wire(requests, parts)
        if suspicion.refusal is not None
    )


def _refusal_to_wire(
    refusal: refusals.RefusalAges | None,
) -> tuple[int | None, int | None, int | None]:
    """Returns the fields of a refusal, which take no bytes if there is none.

    They are the milliseconds since the last one, the number of probes, and the
    milliseconds since the last of these.
    """
    if refusal is None:
        return None, None, None
    return (
        _age_to_wire(refusal.refused_s),
        refusal.probes or None,
        _age_to_wire(refusal.probed_s),
    )


def _refusal_from_wire(
    item: ttypes.Suspicion | ttypes.PartSuspicion,
) -> refusals.RefusalAges | None:
    if item.refused_age_ms is None:
        return None
    return refusals.RefusalAges(
        item.refused_age_ms / 1e3,
        item.probes or 0,
        _age_from_wire(item.probed_age_ms),
    )


def _age_to_wire(age_s: float | None) -> int | None:
    return None if age_s is None else min(int(age_s * 1e3), _MAX_INTEGER)


def _age_from_wire(age_ms: int | None) -> float | None:
    return None if age_ms is None else age_ms / 1e3
