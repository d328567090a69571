"""What a claim's verdicts mean for a caller."""

from clementinegw import types
from clementinegw.requests import _held_claims
from clementinegw.requests import types as request_types
from clementinegw.wire.gen.requests import ttypes

Verdict = ttypes.ClaimVerdict


def refused(
    reason: types.NotRunReason, retry_after_s: float | None, detail: str = ""
) -> request_types.ClaimRefused:
    """Returns a refusal with proof that this request was not run."""
    return request_types.ClaimRefused(
        types.NotRun(reason, retry_after_s, detail)
    )


def claim_lost() -> request_types.ClaimRefused:
    """Another request with the key is in progress."""
    return refused(
        types.NotRunReason.CLAIM_LOST,
        1.0,
        "another request with this key is in progress; repeat this one"
        " under the same key for its answer",
    )


def already_run() -> request_types.ClaimRefused:
    """The first request with the key ran, and its answer is gone."""
    return refused(
        types.NotRunReason.ALREADY_RUN,
        None,
        "the first request with this key ran; its answer is not kept",
    )


def key_reused() -> request_types.ClaimRefused:
    """The key stands for another request."""
    return refused(types.NotRunReason.KEY_REUSED, None, _KEY_REUSED_DETAIL)


def holder_lost() -> request_types.ClaimRefused:
    """Nobody can say whether the first request with the key ran."""
    return request_types.ClaimRefused(
        types.Unknown(
            types.UnknownReason.HOLDER_LOST,
            "the first request with this key may or may not have run",
        )
    )


def retry_claim() -> None:
    """The first request was not run after all: claim once more."""
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

RESULT_BY_VERDICT = {
    Verdict.HELD: claim_lost,
    Verdict.RAN: already_run,
    Verdict.UNKNOWN: holder_lost,
    Verdict.REUSED: key_reused,
}

RESULT_IF_NOT_KEPT = {
    Verdict.HELD: retry_claim,
    Verdict.RAN: already_run,
    Verdict.UNKNOWN: holder_lost,
}

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

END_KIND_BY_STATE = {
    _held_claims.HeldClaimState.ANSWERED: ttypes.ClaimEndKind.RAN,
    _held_claims.HeldClaimState.UNKNOWN: ttypes.ClaimEndKind.UNKNOWN,
    _held_claims.HeldClaimState.NOT_RUN: ttypes.ClaimEndKind.RELEASED,
}


def answer_to_wire(answer: types.Answered) -> ttypes.KeptAnswer:
    """Returns an answer as it goes between entries."""
    return ttypes.KeptAnswer(
        status=answer.status,
        headers=[ttypes.Header(name, value) for name, value in answer.headers],
        body=answer.body,
    )


def answer_from_wire(kept: ttypes.KeptAnswer) -> types.Answered:
    """Returns an answer that came from another entry."""
    return types.Answered(
        kept.status,
        tuple((header.name, header.value) for header in kept.headers),
        kept.body,
    )
