"""What keeps the promises to callers, each guard with its weaker stand-in."""

from collections.abc import Callable
from typing import Any

from clementinegw import exceptions
from clementinegw import types
from clementinegw.gate import _admission
from clementinegw.gate import gate as gate_lib
from clementinegw.gate import types as gate_types
from clementinegw.matrix import guards
from clementinegw.requests import _attempt
from clementinegw.requests import claims_service
from clementinegw.requests import retry
from clementinegw.requests import send
from clementinegw.requests import suspect
from clementinegw.requests import types as request_types

_ALL = ("booking", "request", "keyed_request", "stream")


def _believe(self, attempt_id, whole, incarnation, submitted_at, now):
    """Takes each question for proof, and keeps no tombstone."""
    return True, []


def _never_entombed(self, *args: Any) -> bool:
    return False


def _retry_all(stop_reason: Callable) -> Callable:
    def _weaker(*args: Any) -> retry.StopReason | None:
        stop = stop_reason(*args)
        return None if stop is retry.StopReason.NOT_IDEMPOTENT else stop

    return _weaker


async def _claim_nothing(self, request) -> request_types.ClaimResult:
    return request_types.ClaimWon(1)


def _take_what_came(collect: Callable) -> Callable:
    """A broken connection counts as the end of the answer."""

    async def _weaker(self, exchange):
        try:
            outcome = await collect(self, exchange)
        except exceptions.ConnectionLost:
            if not self._started:
                raise
            return await self._answer.finish()
        if isinstance(outcome, types.Unknown) and self._started:
            return await self._answer.finish()
        return outcome

    return _weaker


def _ours(self, message: Any) -> bool:
    return True


def _stay(self, now: float) -> list[gate_types.Action]:
    return []


def _clear(self, *args: Any) -> request_types.SuspectVerdict:
    return request_types.Clear()


async def _same_process(self, target, peer, call, timeout) -> bool:
    """Believes whoever answers at the agent's address."""
    connection = await self._connector.connect(target.address)
    frame = await send.connection_lib.call(
        connection, send.Kind.TOMBSTONE, call.encoded_id(), timeout
    )
    answer = send.codec.decode(send.ttypes.Tombstoned, frame.body)
    return bool(answer.proved)


GUARDS = (
    guards.Guard(
        "no_tombstone",
        "doubled",
        (guards.Patch(gate_lib.Gate, "tombstone", _believe),),
        _ALL,
        ("link_breaks@handed_over",),
    ),
    guards.Guard(
        "no_incarnation",
        "doubled",
        (
            guards.Patch(_admission.Admission, "is_for_this", _ours),
            guards.Patch(send.Sender, "_request_tombstone", _same_process),
        ),
        _ALL,
        ("agent_dies@handed_over",),
    ),
    guards.Guard(
        "retry_of_all",
        "doubled",
        (guards.around(retry, "_stop_reason", _retry_all),),
        ("booking", "keyed_request"),
        ("agent_dies@handed_over",),
    ),
    guards.Guard(
        "no_claim",
        "doubled",
        (guards.Patch(claims_service.ClaimsService, "claim", _claim_nothing),),
        ("keyed_request",),
        ("backend_stalls@submit_sent",),
    ),
    guards.Guard(
        "no_explicit_end",
        "crossed",
        (guards.around(_attempt.AttemptCall, "collect", _take_what_came),),
        _ALL,
        ("answer_cut@handed_over",),
    ),
    guards.Guard(
        "no_frame_names",
        "doubled",
        (guards.Patch(_attempt.AttemptCall, "_names_this_attempt", _ours),),
        _ALL,
        ("refusal_crossed@submit_sent",),
    ),
    guards.Guard(
        "no_leaving_refusal",
        "new_work_at_leaving",
        (guards.Patch(gate_lib.Gate, "leave", _stay),),
        ("leave",),
        ("backend_dies@submit_sent",),
    ),
    guards.Guard(
        "no_suspects",
        "too_many_crashes",
        (guards.Patch(suspect.SuspectTracker, "verdict", _clear),),
        _ALL,
        ("poison_request@handed_over",),
    ),
)
