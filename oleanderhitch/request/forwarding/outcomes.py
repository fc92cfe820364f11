"""Effects that end a request: its response, its settlement and its last log line."""

from datetime import datetime, timedelta

from oleanderhitch.program.turns.messages import SettleTurn, WholeTurn
from oleanderhitch.request.forwarding.messages import (
    AbortResponse,
    LogDecision,
    SendVerdict,
    SettleReservation,
)
from oleanderhitch.request.forwarding.state import ForwardState
from oleanderhitch.request.forwarding.states import Phase, Verdict


def settle_completed_turn(state: ForwardState, now: datetime) -> SettleReservation:
    """Return the settlement that records a completed turn."""
    turn = state.turn
    assert turn is not None
    completed_turn = WholeTurn(
        turn.previous,
        state.request.body + bytes(state.output),
        state.route.retention,
    )
    command = SettleTurn(
        state.record_id, turn.program, state.spent_tokens, completed_turn, now
    )
    return SettleReservation(command, True)


def settle_spent_tokens(state: ForwardState, now: datetime) -> list[object]:
    """Settle a turn with the tokens that the caller received."""
    return settle_reservation(state, state.spent_tokens, now)


def release_reservation(state: ForwardState, now: datetime) -> list[object]:
    """Settle a turn that has not run, so that it spends nothing."""
    return settle_reservation(state, 0, now)


def settle_reservation(
    state: ForwardState, spent_tokens: int, now: datetime
) -> list[object]:
    """Replace the reservation of a turn with the tokens it spent."""
    turn = state.turn
    if turn is None or state.phase is Phase.ADMITTING:
        return []
    command = SettleTurn(state.record_id, turn.program, spent_tokens, None, now)
    return [SettleReservation(command, False)]


def end_with_verdict(
    state: ForwardState,
    verdict: Verdict,
    detail: str,
    retry_after: timedelta | None = None,
) -> list[object]:
    """End the request with a response that this system generates."""
    if state.has_ended:
        return []
    state.phase = Phase.ENDED
    fields = (
        ("verdict", verdict.value),
        ("detail", detail),
        ("n_sends", state.n_sends),
        ("n_runs", state.n_runs),
    )
    return [
        SendVerdict(verdict, detail, retry_after),
        LogDecision("request ended with verdict", fields),
    ]


def abort_response(state: ForwardState, reason: str) -> list[object]:
    """Abort the response, so that the caller can detect that it is incomplete."""
    state.phase = Phase.ENDED
    fields = (("reason", reason), ("n_events", state.n_events))
    return [AbortResponse(), LogDecision("response aborted", fields)]


def make_end_log(
    state: ForwardState, event: str, now: datetime, **extra_fields: object
) -> LogDecision:
    """Return the last log line of a request, with its duration and counts."""
    fields = (
        ("took_ms", to_ms(now - state.started_at)),
        ("n_sends", state.n_sends),
        ("n_events", state.n_events),
        *extra_fields.items(),
    )
    return LogDecision(event, fields)


def to_ms(duration: timedelta) -> int:
    """Return a duration in whole milliseconds."""
    return round(duration / timedelta(milliseconds=1))
