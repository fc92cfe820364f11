"""Decide how requests end and what their end costs."""

import xxhash

from oleanderhitch.program.budget import settle
from oleanderhitch.program.entries import (
    FIRST_ATTEMPT,
    ProgramEntry,
    RequestEntry,
    ShardState,
    touch,
)
from oleanderhitch.program.history import EndedRequest, make_ended_record
from oleanderhitch.program.messages import (
    CloseRequest,
    Done,
    FinishRequest,
    Refused,
    RequestRecord,
)
from oleanderhitch.program.releases import reopen_releases
from oleanderhitch.program.states import Progress, Refusal
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.states import Outcome

# A program's history of up to 4 MiB and one answer fit in one 8 MiB frame.
ANSWER_LIMIT_BYTES = 2 * 1024 * 1024


def finish_request(
    state: ShardState, entry: ProgramEntry, command: FinishRequest
) -> object:
    """Record the outcome that the node which ran the request reports."""
    known = entry.open_request
    if known is None or known.request != command.request:
        return _repeat_finish(state, entry, command)
    refusal = _find_finish_refusal(known, command)
    if refusal is not None:
        return refusal
    if command.outcome is Outcome.NOT_RUN and known.past_runs:
        _interrupt(state, entry, known, 0)
        return _refuse_not_run(known)
    doubtful = _get_doubtful_tokens(known, command)
    spent = 0 if command.outcome is Outcome.NOT_RUN else command.spent_tokens
    settle(state, entry, known.reserved_tokens, max(0, spent) + doubtful)
    touch(state, entry, command.at)
    _end_request(state, entry, known, command.outcome, command.answer, False)
    if command.context_tokens:
        entry.context_tokens = command.context_tokens
    return Done()


def close_request(
    state: ShardState, entry: ProgramEntry, command: CloseRequest
) -> object:
    """Resolve a request whose node is gone and return its record."""
    known = entry.open_request
    if known is not None and known.request == command.request:
        is_holder = command.run in (None, known.run)
        if is_holder and not known.is_interrupted:
            resolve_request(state, entry, known)
    return get_record(state, entry, command.request)


def resolve_request(
    state: ShardState, entry: ProgramEntry, known: RequestEntry
) -> None:
    """Give an open request its outcome, or let idempotent work run again.

    An idempotent call may be sent in parallel with its attempt record, so that
    the lack of a record does not prove that it did not run.
    """
    if known.is_idempotent:
        _interrupt(state, entry, known, known.reserved_tokens)
        return
    running = known.reserved_tokens - known.spare_tokens
    settle(state, entry, known.reserved_tokens, running)
    outcome = Outcome.UNKNOWN if known.may_have_run else Outcome.NOT_RUN
    _end_request(state, entry, known, outcome, b"", True)


def end_interrupted(
    state: ShardState, entry: ProgramEntry, known: RequestEntry
) -> None:
    """End idempotent work that nobody will run again."""
    _end_request(state, entry, known, Outcome.UNKNOWN, b"", True)


def get_record(
    state: ShardState, entry: ProgramEntry, request: RequestId
) -> RequestRecord | Refused:
    """Return what is recorded of a request."""
    known = entry.open_request
    if known is not None and known.request == request:
        return make_open_record(entry, known)
    ended = state.history.find(entry.program, request)
    if ended is None:
        return refuse_unknown_request(request)
    return make_ended_record(ended)


def make_open_record(entry: ProgramEntry, known: RequestEntry) -> RequestRecord:
    """Return the answer to a lookup of a request without an outcome."""
    progress = Progress.ATTEMPTED if known.attempts else Progress.BEGUN
    if known.is_interrupted:
        progress = Progress.INTERRUPTED
    return RequestRecord(
        entry.program,
        known.request,
        known.sequence,
        known.node,
        progress,
        None,
        b"",
        known.n_attempts,
        known.is_idempotent,
        known.run,
        tuple(known.endpoints),
    )


def refuse_unknown_request(request: RequestId) -> Refused:
    """Return the refusal of a command for a request that was never recorded."""
    return Refused(Refusal.UNKNOWN_REQUEST, f"request {request} is not known")


def _find_finish_refusal(known: RequestEntry, command: FinishRequest) -> Refused | None:
    if command.outcome is Outcome.NOT_RUN and known.is_interrupted:
        return _refuse_not_run(known)
    if known.is_interrupted or command.run != known.run:
        return Refused(
            Refusal.SUPERSEDED,
            f"request {known.request} was closed while this node ran it",
        )
    if command.outcome is Outcome.NOT_RUN and known.has_sent_attempt:
        return _refuse_not_run(known)
    if len(command.answer) > ANSWER_LIMIT_BYTES:
        return Refused(
            Refusal.INVALID_COMMAND,
            f"the answer has {len(command.answer)} bytes; "
            f"at most {ANSWER_LIMIT_BYTES} can be recorded",
        )
    return None


def _refuse_not_run(known: RequestEntry) -> Refused:
    return Refused(
        Refusal.ATTEMPT_RECORDED,
        f"request {known.request} may have run and cannot end as not run; record "
        "that the attempt was not sent, or end it as failed or unknown",
    )


def _repeat_finish(
    state: ShardState, entry: ProgramEntry, command: FinishRequest
) -> object:
    ended = state.history.find(entry.program, command.request)
    if ended is None:
        return refuse_unknown_request(command.request)
    if _is_same_finish(ended, command):
        return Done()
    reopen_releases(entry)
    return Refused(
        Refusal.REQUEST_CLOSED,
        f"request {command.request} has ended as {ended.outcome.value}",
    )


def _is_same_finish(ended: EndedRequest, command: FinishRequest) -> bool:
    return (
        not ended.was_closed
        and ended.run == command.run
        and ended.outcome is command.outcome
        and ended.answer == command.answer
    )


def _get_doubtful_tokens(known: RequestEntry, command: FinishRequest) -> int:
    """Return the reservations of attempts whose usage nobody reported."""
    in_doubt = {a.number: a.reserved_tokens for a in known.running}
    if known.is_idempotent and not known.has_first_attempt:
        # The first attempt may have been sent before its record arrives.
        in_doubt[FIRST_ATTEMPT] = known.spare_tokens
    if command.outcome is Outcome.NOT_RUN:
        return 0
    answered = command.attempt
    if answered is None and command.outcome is Outcome.COMPLETED:
        answered = max(in_doubt, default=None)
    if answered is None or command.outcome is Outcome.UNKNOWN:
        return max(0, sum(in_doubt.values()) - max(0, command.spent_tokens))
    return sum(tokens for number, tokens in in_doubt.items() if number != answered)


def _interrupt(
    state: ShardState, entry: ProgramEntry, known: RequestEntry, spent: int
) -> None:
    settle(state, entry, known.reserved_tokens, spent)
    known.spare_tokens = 0
    known.attempts.clear()
    known.past_runs[known.run] = None
    known.is_interrupted = True
    if entry.end_reason is not None:
        end_interrupted(state, entry, known)


def _end_request(
    state: ShardState,
    entry: ProgramEntry,
    known: RequestEntry,
    outcome: Outcome,
    answer: bytes,
    was_closed: bool,
) -> None:
    is_turn = outcome is Outcome.COMPLETED
    content = known.content if is_turn else b""
    state.history.append(
        EndedRequest(
            entry.program,
            known.request,
            known.sequence,
            known.node,
            known.run,
            known.is_idempotent,
            known.digest,
            content,
            outcome,
            answer,
            known.n_attempts,
            tuple(known.endpoints),
            was_closed,
        )
    )
    entry.open_request = None
    if outcome is Outcome.NOT_RUN:
        # A call that did not run gives its sequence number back, so that the
        # caller can send it again under a new request id.
        entry.n_not_run += 1
        return
    entry.n_ordered += 1
    entry.n_turns += is_turn
    entry.history_bytes += len(content) + (len(answer) if is_turn else 0)
    content_hash = xxhash.xxh3_128_digest(known.content)
    is_repeat = content_hash == entry.last_content_hash
    entry.n_repeats = entry.n_repeats + 1 if is_repeat else 1
    entry.last_content_hash = content_hash
