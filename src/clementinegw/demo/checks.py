"""What the demo holds the system to, from the ledger and the callers alone."""

import collections
from collections.abc import Sequence
import dataclasses
from typing import Any

from clementinegw.demo import callers as callers_lib
from clementinegw.testing import ledger as ledger_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """One promise.

    Attributes:
      name: What must hold.
      held: Whether it did.
      detail: What was counted.
    """

    name: str
    held: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """What the rollout did.

    Attributes:
      replicas: Engines of the fleet.
      before: The version before.
      after: The version declared in mid-load.
      serving_after: Engines that serve it at the end.
      seconds: From the declaration until all did.
      origin_copies: Bytes drawn from the origin by bytes of the version.
      declared_revision: The settings revision of the declaration.
      revisions: The revision in force at each process at the end.
    """

    replicas: int
    before: str
    after: str
    serving_after: int
    seconds: float
    origin_copies: float
    declared_revision: int
    revisions: tuple[int, ...]


def judge(
    ledger: ledger_lib.Ledger,
    replies: Sequence[callers_lib.Reply],
    rollout: Rollout,
) -> list[Check]:
    """Returns every check of the demo."""
    verdict = ledger.check(reply.seen for reply in replies)
    versions = collections.Counter(r.version for r in replies if r.version)
    old = versions[rollout.before]
    new = versions[rollout.after]
    behind = [r for r in rollout.revisions if r < rollout.declared_revision]
    checks = [
        Check(f"no request {name}", not count, f"{count} requests")
        for name, count in verdict.counts().items()
    ]
    return [
        *checks,
        Check(
            "every replica serves the declared version",
            rollout.serving_after == rollout.replicas,
            f"{rollout.serving_after} of {rollout.replicas}",
        ),
        Check(
            "live requests were answered by both versions",
            old > 0 and new > 0,
            f"{old} by {rollout.before}, {new} by {rollout.after}",
        ),
        Check(
            "no answer came from partial or mixed weights",
            sum(versions.values()) == old + new,
            f"{sum(versions.values()) - old - new} by other versions",
        ),
        Check(
            "the declaration is in force at every process",
            not behind,
            f"{len(behind)} of {len(rollout.revisions)} behind",
        ),
        Check(
            "most requests were answered",
            _answered(replies) >= 0.9 * len(replies),
            f"{_answered(replies)} of {len(replies)}",
        ),
    ]


def result(
    checks: Sequence[Check],
    replies: Sequence[callers_lib.Reply],
    rollout: Rollout,
) -> dict[str, Any]:
    """Returns the keys of `demo --json`."""
    wrong = next(c for c in checks if c.name == "no request crossed")
    reasons = collections.Counter(r.reason for r in replies if r.reason)
    return {
        "checks_held": sum(check.held for check in checks),
        "checks_failed": [c.name for c in checks if not c.held],
        "replicas": rollout.replicas,
        "version_before": rollout.before,
        "version_after": rollout.after,
        "answers": _answered(replies),
        "answers_wrong": int(wrong.detail.split()[0]),
        "origin_copies": round(rollout.origin_copies, 3),
        "rollout_seconds": round(rollout.seconds, 2),
        "requests": len(replies),
        "not_answered_by_reason": dict(reasons),
    }


def _answered(replies: Sequence[callers_lib.Reply]) -> int:
    told = ledger_lib.CallerOutcome.ANSWERED
    return sum(reply.seen.outcome is told for reply in replies)
