"""End a request: its answer, its place in the record, its last log line."""

from datetime import datetime, timedelta

from oleanderhitch.program.turns.messages import SettleTurn, WholeTurn
from oleanderhitch.request.forwarding.messages import (
    AbortAnswer,
    GiveVerdict,
    LogDecision,
    Settle,
)
from oleanderhitch.request.forwarding.state import ForwardState
from oleanderhitch.request.forwarding.states import Phase, Verdict


def keep_turn(state: ForwardState, now: datetime) -> Settle:
    """Return the settlement that keeps a whole turn."""
    turn = state.request.turn
    assert turn is not None
    whole = WholeTurn(
        turn.previous,
        state.request.body + b"".join(state.output),
        state.route.retention,
    )
    request = state.request.request
    command = SettleTurn(request, turn.program, state.spent_tokens, whole, now)
    return Settle(command, True)


def settle_spent(state: ForwardState, now: datetime) -> list[object]:
    """Settle what the caller was given."""
    return settle(state, state.spent_tokens, now)


def settle_unspent(state: ForwardState, now: datetime) -> list[object]:
    """Settle a turn that has not run."""
    return settle(state, 0, now)


def settle(state: ForwardState, spent_tokens: int, now: datetime) -> list[object]:
    """Replace the reservation of a turn by what it spent."""
    turn = state.request.turn
    if turn is None:
        return []
    request = state.request.request
    command = SettleTurn(request, turn.program, spent_tokens, None, now)
    return [Settle(command, False)]


def end(state: ForwardState, verdict: Verdict, detail: str) -> list[object]:
    """End the request with an answer of the system's own."""
    if state.has_ended:
        return []
    state.phase = Phase.ENDED
    fields = (
        ("verdict", verdict.value),
        ("detail", detail),
        ("n_sends", state.n_sends),
        ("n_runs", state.n_runs),
    )
    return [GiveVerdict(verdict, detail), LogDecision("refused", fields)]


def abort(state: ForwardState, reason: str) -> list[object]:
    """Break the answer off."""
    state.phase = Phase.ENDED
    fields = (("reason", reason), ("n_events", state.n_events))
    return [AbortAnswer(), LogDecision("answer broken off", fields)]


def log_end(
    state: ForwardState, event: str, now: datetime, **more: object
) -> LogDecision:
    """Return the last log line of a request."""
    fields = (
        ("took_ms", to_ms(now - state.started_at)),
        ("n_sends", state.n_sends),
        ("n_events", state.n_events),
        *more.items(),
    )
    return LogDecision(event, fields)


def to_ms(duration: timedelta) -> int:
    """Return a duration in whole milliseconds."""
    return round(duration / timedelta(milliseconds=1))
