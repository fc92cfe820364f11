"""Record the outcomes of requests and settle their reservations."""

import xxhash

from oleanderhitch.program.budget import settle
from oleanderhitch.program.entries import (
    FIRST_ATTEMPT,
    ProgramEntry,
    RequestEntry,
    ShardState,
    record_activity,
)
from oleanderhitch.program.history import EndedRequest, make_ended_request_record
from oleanderhitch.program.messages import (
    CloseRequest,
    Done,
    FinishRequest,
    Refused,
    RequestRecord,
)
from oleanderhitch.program.releases import reopen_releases
from oleanderhitch.program.states import RefusalReason, RequestProgress
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.states import Outcome

# A history of up to 4 MiB plus one answer must fit in one 8 MiB frame.
ANSWER_LIMIT_BYTES = 2 * 1024 * 1024


def finish_request(
    state: ShardState, entry: ProgramEntry, command: FinishRequest
) -> object:
    """Record the outcome that the node of the current run reports."""
    open_request = entry.open_request
    if open_request is None or open_request.request != command.request:
        return _handle_duplicate_finish(state, entry, command)
    refusal = _find_finish_refusal(open_request, command)
    if refusal is not None:
        return refusal
    if command.outcome is Outcome.NOT_RUN and open_request.past_runs:
        # An earlier run may have sent the call, so the request may be restarted but not
        # end as not run.
        _mark_interrupted(state, entry, open_request, 0)
        return _refuse_not_run(open_request)
    unreported_tokens = _get_unreported_tokens(open_request, command)
    reported_tokens = 0 if command.outcome is Outcome.NOT_RUN else command.spent_tokens
    settle(
        state,
        entry,
        open_request.reserved_tokens,
        max(0, reported_tokens) + unreported_tokens,
    )
    record_activity(state, entry, command.at)
    _end_request(state, entry, open_request, command.outcome, command.answer, False)
    if command.context_tokens:
        entry.context_tokens = command.context_tokens
    return Done()


def close_request(
    state: ShardState, entry: ProgramEntry, command: CloseRequest
) -> object:
    """Resolve a request whose node has failed and return its record."""
    open_request = entry.open_request
    if open_request is not None and open_request.request == command.request:
        is_current_run = command.run in (None, open_request.run)
        if is_current_run and not open_request.is_interrupted:
            resolve_request(state, entry, open_request)
    return get_request_record(state, entry, command.request)


def resolve_request(
    state: ShardState, entry: ProgramEntry, open_request: RequestEntry
) -> None:
    """End an open request, or interrupt it if it is idempotent and may run again.

    The whole reservation of an idempotent call counts as spent: the call may be sent in
    parallel with the record of its attempt, so a missing record does not prove that it
    did not run.
    """
    if open_request.is_idempotent:
        _mark_interrupted(state, entry, open_request, open_request.reserved_tokens)
        return
    attempt_tokens = open_request.reserved_tokens - open_request.spare_tokens
    settle(state, entry, open_request.reserved_tokens, attempt_tokens)
    outcome = Outcome.UNKNOWN if open_request.may_have_run else Outcome.NOT_RUN
    _end_request(state, entry, open_request, outcome, b"", True)


def end_interrupted_request(
    state: ShardState, entry: ProgramEntry, open_request: RequestEntry
) -> None:
    """End an interrupted request that will not run again, as unknown."""
    _end_request(state, entry, open_request, Outcome.UNKNOWN, b"", True)


def get_request_record(
    state: ShardState, entry: ProgramEntry, request: RequestId
) -> RequestRecord | Refused:
    """Return the record of a request, open or ended."""
    open_request = entry.open_request
    if open_request is not None and open_request.request == request:
        return make_open_request_record(entry, open_request)
    ended = state.history.find(entry.program, request)
    if ended is None:
        return refuse_unknown_request(request)
    return make_ended_request_record(ended)


def make_open_request_record(
    entry: ProgramEntry, open_request: RequestEntry
) -> RequestRecord:
    """Return the result of a lookup of a request that has no outcome yet."""
    progress = (
        RequestProgress.ATTEMPTED if open_request.attempts else RequestProgress.BEGUN
    )
    if open_request.is_interrupted:
        progress = RequestProgress.INTERRUPTED
    return RequestRecord(
        entry.program,
        open_request.request,
        open_request.sequence,
        open_request.node,
        progress,
        None,
        b"",
        open_request.n_attempts,
        open_request.is_idempotent,
        open_request.run,
        tuple(open_request.endpoints),
    )


def refuse_unknown_request(request: RequestId) -> Refused:
    """Return the refusal of a command for a request that has no record."""
    return Refused(RefusalReason.UNKNOWN_REQUEST, f"request {request} is not known")


def _find_finish_refusal(
    open_request: RequestEntry, command: FinishRequest
) -> Refused | None:
    if command.outcome is Outcome.NOT_RUN and open_request.is_interrupted:
        return _refuse_not_run(open_request)
    if open_request.is_interrupted or command.run != open_request.run:
        return Refused(
            RefusalReason.SUPERSEDED,
            f"request {open_request.request} was closed while this node ran it",
        )
    if command.outcome is Outcome.NOT_RUN and open_request.has_sent_attempt:
        return _refuse_not_run(open_request)
    if len(command.answer) > ANSWER_LIMIT_BYTES:
        return Refused(
            RefusalReason.INVALID_COMMAND,
            f"the answer has {len(command.answer)} bytes; "
            f"at most {ANSWER_LIMIT_BYTES} can be recorded",
        )
    return None


def _refuse_not_run(open_request: RequestEntry) -> Refused:
    return Refused(
        RefusalReason.ATTEMPT_RECORDED,
        f"request {open_request.request} may have run and cannot end as not run; "
        "record that the attempt was not sent, or end it as failed or unknown",
    )


def _handle_duplicate_finish(
    state: ShardState, entry: ProgramEntry, command: FinishRequest
) -> object:
    ended = state.history.find(entry.program, command.request)
    if ended is None:
        return refuse_unknown_request(command.request)
    if _is_duplicate_finish(ended, command):
        return Done()
    reopen_releases(entry)
    return Refused(
        RefusalReason.REQUEST_CLOSED,
        f"request {command.request} has ended as {ended.outcome.value}",
    )


def _is_duplicate_finish(ended: EndedRequest, command: FinishRequest) -> bool:
    return (
        not ended.was_closed
        and ended.run == command.run
        and ended.outcome is command.outcome
        and ended.answer == command.answer
    )


def _get_unreported_tokens(open_request: RequestEntry, command: FinishRequest) -> int:
    """Return the tokens to charge for attempts whose usage was not reported.

    Each of them is charged its whole reservation.
    """
    unreported = {a.number: a.reserved_tokens for a in open_request.running_attempts}
    if open_request.is_idempotent and not open_request.has_first_attempt:
        # The first attempt may have been sent before its record arrives.
        unreported[FIRST_ATTEMPT] = open_request.spare_tokens
    if command.outcome is Outcome.NOT_RUN:
        return 0
    completed_attempt = command.attempt
    if completed_attempt is None and command.outcome is Outcome.COMPLETED:
        completed_attempt = max(unreported, default=None)
    if completed_attempt is None or command.outcome is Outcome.UNKNOWN:
        return max(0, sum(unreported.values()) - max(0, command.spent_tokens))
    return sum(
        tokens for number, tokens in unreported.items() if number != completed_attempt
    )


def _mark_interrupted(
    state: ShardState,
    entry: ProgramEntry,
    open_request: RequestEntry,
    spent_tokens: int,
) -> None:
    settle(state, entry, open_request.reserved_tokens, spent_tokens)
    open_request.spare_tokens = 0
    open_request.attempts.clear()
    open_request.past_runs[open_request.run] = None
    open_request.is_interrupted = True
    if entry.end_reason is not None:
        end_interrupted_request(state, entry, open_request)


def _end_request(
    state: ShardState,
    entry: ProgramEntry,
    open_request: RequestEntry,
    outcome: Outcome,
    answer: bytes,
    was_closed: bool,
) -> None:
    is_turn = outcome is Outcome.COMPLETED
    content = open_request.content if is_turn else b""
    state.history.append(
        EndedRequest(
            entry.program,
            open_request.request,
            open_request.sequence,
            open_request.node,
            open_request.run,
            open_request.is_idempotent,
            open_request.digest,
            content,
            outcome,
            answer,
            open_request.n_attempts,
            tuple(open_request.endpoints),
            was_closed,
        )
    )
    entry.open_request = None
    if outcome is Outcome.NOT_RUN:
        # The sequence number of a call that did not run is free again, so that the
        # caller can resend the call under a new request id.
        entry.n_not_run += 1
        return
    entry.n_ordered += 1
    entry.n_turns += is_turn
    entry.history_bytes += len(content) + (len(answer) if is_turn else 0)
    content_hash = xxhash.xxh3_128_digest(open_request.content)
    is_repeat = content_hash == entry.last_content_hash
    entry.n_repeats = entry.n_repeats + 1 if is_repeat else 1
    entry.last_content_hash = content_hash
