"""Decide which call of a program may begin, by sequence number and limits."""

import xxhash

from oleanderhitch.program.budget import reserve
from oleanderhitch.program.entries import (
    ProgramEntry,
    RequestEntry,
    ShardState,
    record_activity,
)
from oleanderhitch.program.history import make_ended_request_record
from oleanderhitch.program.ids import AccountId, ProgramId, SequenceNumber
from oleanderhitch.program.lifecycle import end_program
from oleanderhitch.program.messages import NO_RUN, BeginRequest, Begun, Refused
from oleanderhitch.program.outcomes import (
    end_interrupted_request,
    make_open_request_record,
)
from oleanderhitch.program.states import EndReason, RefusalReason

# The result of BeginRequest contains the history and must fit in one 8 MiB frame.
HISTORY_LIMIT_BYTES = 4 * 1024 * 1024
# Bounds the records of calls that did not run, which a caller may retry without end.
N_NOT_RUN_LIMIT = 1000


def begin_request(
    state: ShardState, entry: ProgramEntry, command: BeginRequest
) -> object:
    """Record a new call of a program and return the history before it.

    If the request id is recorded already, a resent command gets the same result, an
    interrupted request is restarted by a new run, and any other command gets the record
    of the request.
    """
    if command.account not in (None, entry.account):
        return refuse_other_account(command.program, command.account)
    open_request = entry.open_request
    if open_request is not None and open_request.request == command.request:
        return _handle_duplicate_begin(state, entry, open_request, command)
    ended = state.history.find(entry.program, command.request)
    if ended is not None:
        if ended.digest != command.digest:
            return _refuse_reused_id(command)
        return make_ended_request_record(ended)
    refusal = (
        _find_size_refusal(entry, command)
        or _find_order_refusal(entry, command)
        or _end_if_limit_reached(state, entry, command)
        or reserve(state, entry, _get_reserved_tokens(entry, command))
    )
    if refusal is not None:
        return refusal
    if open_request is not None:
        end_interrupted_request(state, entry, open_request)
    entry.open_request = RequestEntry(
        command.request,
        command.sequence,
        command.node,
        command.run,
        command.is_idempotent,
        command.digest,
        command.content,
        _get_reserved_tokens(entry, command),
    )
    record_activity(state, entry, command.at)
    return make_begun(state, entry, _get_reserved_tokens(entry, command))


def refuse_other_account(program: ProgramId, account: AccountId | None) -> Refused:
    """Return the refusal for a program of another account."""
    return Refused(
        RefusalReason.UNKNOWN_PROGRAM, f"account {account} has no program {program}"
    )


def _get_reserved_tokens(entry: ProgramEntry, command: BeginRequest) -> int:
    history_tokens = entry.context_tokens if command.uses_history else 0
    return history_tokens + command.reserved_tokens


def _handle_duplicate_begin(
    state: ShardState,
    entry: ProgramEntry,
    open_request: RequestEntry,
    command: BeginRequest,
) -> object:
    if open_request.digest != command.digest:
        return _refuse_reused_id(command)
    is_new_run = command.run == NO_RUN or command.run not in open_request.past_runs
    if open_request.is_interrupted and is_new_run:
        return _restart_request(state, entry, open_request, command)
    is_resent = command.run == open_request.run != NO_RUN
    if is_resent and not open_request.is_interrupted:
        return make_begun(state, entry, _get_reserved_tokens(entry, command))
    return make_open_request_record(entry, open_request)


def _restart_request(
    state: ShardState,
    entry: ProgramEntry,
    open_request: RequestEntry,
    command: BeginRequest,
) -> object:
    reserved_tokens = _get_reserved_tokens(entry, command)
    refusal = reserve(state, entry, reserved_tokens)
    if refusal is not None:
        return refusal
    open_request.node = command.node
    open_request.run = command.run
    open_request.spare_tokens = reserved_tokens
    open_request.is_interrupted = False
    record_activity(state, entry, command.at)
    return make_begun(state, entry, reserved_tokens)


def make_begun(state: ShardState, entry: ProgramEntry, reserved_tokens: int) -> Begun:
    """Return the history of a program, its usage and what may cache its prompt."""
    include_history = state.include_history
    history = state.history.read_turns(entry.program) if include_history else ()
    return Begun(history, entry.spent_tokens, tuple(entry.holders), reserved_tokens)


def _refuse_reused_id(command: BeginRequest) -> Refused:
    return Refused(
        RefusalReason.REQUEST_ID_REUSED,
        f"request {command.request} was sent before with another body",
    )


def _find_size_refusal(entry: ProgramEntry, command: BeginRequest) -> Refused | None:
    if command.reserved_tokens < 0:
        return Refused(
            RefusalReason.INVALID_COMMAND,
            f"reservation is {command.reserved_tokens} tokens; it must not be negative",
        )
    if entry.history_bytes + len(command.content) > HISTORY_LIMIT_BYTES:
        return Refused(
            RefusalReason.HISTORY_FULL,
            f"the history has {entry.history_bytes} bytes and the call adds "
            f"{len(command.content)}; at most {HISTORY_LIMIT_BYTES} are kept",
        )
    return None


def _find_order_refusal(entry: ProgramEntry, command: BeginRequest) -> Refused | None:
    if entry.end_reason is not None:
        return Refused(
            RefusalReason.PROGRAM_ENDED,
            f"program {command.program} has ended: {entry.end_reason.value}",
        )
    open_request = entry.open_request
    if open_request is not None and command.sequence == open_request.sequence:
        return _refuse_previous_open(open_request)
    if command.sequence != entry.next_sequence:
        expected = (
            open_request.sequence if open_request is not None else entry.next_sequence
        )
        return Refused(
            RefusalReason.SEQUENCE_OUT_OF_ORDER,
            f"expected sequence number {expected}, got {command.sequence}",
        )
    if open_request is not None and not open_request.is_interrupted:
        return _refuse_previous_open(open_request)
    return None


def _refuse_previous_open(open_request: RequestEntry) -> Refused:
    next_sequence = SequenceNumber(open_request.sequence + 1)
    advice = "wait for its end"
    if open_request.is_interrupted:
        advice = f"send it again under its request id or go on with {next_sequence}"
    return Refused(
        RefusalReason.PREVIOUS_CALL_OPEN,
        f"call {open_request.sequence}, request {open_request.request}, "
        f"has not ended; {advice}",
    )


def _end_if_limit_reached(
    state: ShardState, entry: ProgramEntry, command: BeginRequest
) -> Refused | None:
    """End a program at its turn, not-run or repeat limit and refuse the call."""
    reason = _find_end_reason(entry, command)
    if reason is None:
        return None
    end_program(state, entry, reason, command.at)
    return Refused(
        RefusalReason.PROGRAM_ENDED,
        f"program {command.program} has ended: {reason.value}",
    )


def _find_end_reason(entry: ProgramEntry, command: BeginRequest) -> EndReason | None:
    n_calls = entry.next_sequence - 1
    if n_calls >= entry.n_turns_limit or entry.n_not_run >= N_NOT_RUN_LIMIT:
        return EndReason.TURN_LIMIT
    content_hash = xxhash.xxh3_128_digest(command.content)
    is_repeat = content_hash == entry.last_content_hash
    if is_repeat and entry.n_repeats >= entry.n_repeats_limit:
        return EndReason.LOOPING
    return None
