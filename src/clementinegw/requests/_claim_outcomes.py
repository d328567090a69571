"""Maps the verdicts and states of claims to results for the caller."""

from clementinegw import types
from clementinegw.requests import _held_claims
from clementinegw.requests import types as request_types
from clementinegw.wire.gen.requests import ttypes

Verdict = ttypes.ClaimVerdict


def refused(
    reason: types.NotRunReason, retry_after_s: float | None, detail: str = ""
) -> request_types.ClaimRefused:
    """Returns a refusal that guarantees that this request was not run."""
    return request_types.ClaimRefused(
        types.NotRun(reason, retry_after_s, detail)
    )


def claim_lost() -> request_types.ClaimRefused:
    """Returns the refusal if another request with the key is in progress."""
    return refused(
        types.NotRunReason.CLAIM_LOST,
        1.0,
        "another request with this key is in progress; repeat this one"
        " under the same key for its answer",
    )


def already_run() -> request_types.ClaimRefused:
    """Returns the refusal if the first request ran and its answer is gone."""
    return refused(
        types.NotRunReason.ALREADY_RUN,
        None,
        "the first request with this key ran; its answer is not kept",
    )


def key_reused() -> request_types.ClaimRefused:
    """Returns the refusal if the key was used for another request."""
    return refused(types.NotRunReason.KEY_REUSED, None, _KEY_REUSED_DETAIL)


def holder_lost() -> request_types.ClaimRefused:
    """Returns the refusal if it is unknown whether the first request ran."""
    return request_types.ClaimRefused(
        types.Unknown(
            types.UnknownReason.HOLDER_LOST,
            "the first request with this key may or may not have run",
        )
    )


def retry_claim() -> None:
    """Returns None: the first request was not run, so the claim is retried."""
    return


_KEY_REUSED_DETAIL = (
    "this key was used for another request, or with another time"
)

REFUSAL_BY_VERDICT = {
    Verdict.LOG_UNAVAILABLE: (
        types.NotRunReason.LOG_UNAVAILABLE,
        "keys cannot be claimed at the moment",
    ),
    Verdict.EXPIRED: (
        types.NotRunReason.KEY_EXPIRED,
        "the key is older than what is remembered",
    ),
    Verdict.REUSED: (types.NotRunReason.KEY_REUSED, _KEY_REUSED_DETAIL),
}

# The result of a claim that lost, by the verdict on the winner.
RESULT_BY_VERDICT = {
    Verdict.HELD: claim_lost,
    Verdict.RAN: already_run,
    Verdict.UNKNOWN: holder_lost,
    Verdict.REUSED: key_reused,
}

# The same, if the winner's holder is alive and does not keep the claim.
RESULT_IF_NOT_KEPT = {
    Verdict.HELD: retry_claim,
    Verdict.RAN: already_run,
    Verdict.UNKNOWN: holder_lost,
}

# The result for a request that repeats one of this entry, by its state.
RESULT_BY_STATE = {
    _held_claims.HeldClaimState.OPEN: claim_lost,
    _held_claims.HeldClaimState.ANSWERED: already_run,
    _held_claims.HeldClaimState.UNKNOWN: holder_lost,
    _held_claims.HeldClaimState.NOT_RUN: retry_claim,
}

VERDICT_BY_STATE = {
    _held_claims.HeldClaimState.OPEN: Verdict.HELD,
    _held_claims.HeldClaimState.ANSWERED: Verdict.RAN,
    _held_claims.HeldClaimState.UNKNOWN: Verdict.UNKNOWN,
    _held_claims.HeldClaimState.NOT_RUN: Verdict.VOID,
}

# How an ended claim is recorded in the log.
END_KIND_BY_STATE = {
    _held_claims.HeldClaimState.ANSWERED: ttypes.ClaimEndKind.RAN,
    _held_claims.HeldClaimState.UNKNOWN: ttypes.ClaimEndKind.UNKNOWN,
    _held_claims.HeldClaimState.NOT_RUN: ttypes.ClaimEndKind.RELEASED,
}


def answer_to_wire(answer: types.Answered) -> ttypes.KeptAnswer:
    """Returns the wire form of an answer."""
    return ttypes.KeptAnswer(
        status=answer.status,
        headers=[ttypes.Header(name, value) for name, value in answer.headers],
        body=answer.body,
    )


def answer_from_wire(kept: ttypes.KeptAnswer) -> types.Answered:
    """Returns the answer that another entry sent."""
    return types.Answered(
        kept.status,
        tuple((header.name, header.value) for header in kept.headers),
        kept.body,
    )
