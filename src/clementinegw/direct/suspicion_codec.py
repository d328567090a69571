"""Converts suspicions to and from their form in datagrams."""

from collections.abc import Iterable

from clementinegw.direct import suspects
from clementinegw.wire.gen.reports import ttypes


def to_wire(
    suspicions: Iterable[suspects.Suspicion],
) -> list[ttypes.Suspicion] | None:
    """Returns the wire form; None, which takes no bytes, if there are none."""
    items = [
        ttypes.Suspicion(
            suspicion.fingerprint,
            [
                ttypes.Crash(crash.start, _milliseconds(crash.age_s))
                for crash in suspicion.crashes
            ],
            None
            if suspicion.completed_age_s is None
            else _milliseconds(suspicion.completed_age_s),
        )
        for suspicion in suspicions
    ]
    return items or None


def from_wire(
    items: list[ttypes.Suspicion] | None,
) -> tuple[suspects.Suspicion, ...]:
    """Returns the suspicions of a datagram without those that lack a field."""
    return tuple(
        suspects.Suspicion(
            item.fingerprint,
            tuple(
                suspects.Crash(crash.start, crash.age_ms / 1e3)
                for crash in item.crashes
                if crash.start is not None and crash.age_ms is not None
            ),
            None
            if item.completed_age_ms is None
            else item.completed_age_ms / 1e3,
        )
        for item in (items or ())[: suspects.MAX_SUSPICIONS]
        if item.fingerprint is not None and item.crashes is not None
    )


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1e3)
