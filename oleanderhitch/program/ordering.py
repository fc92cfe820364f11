"""Decide which call of a program may begin."""

import xxhash

from oleanderhitch.program.budget import reserve
from oleanderhitch.program.entries import (
    ProgramEntry,
    RequestEntry,
    ShardState,
    touch,
)
from oleanderhitch.program.history import make_ended_record
from oleanderhitch.program.ids import SequenceNumber
from oleanderhitch.program.lifecycle import end_program
from oleanderhitch.program.messages import NO_RUN, BeginRequest, Begun, Refused
from oleanderhitch.program.outcomes import end_interrupted, make_open_record
from oleanderhitch.program.states import EndReason, Refusal

# The answer to a begin carries the history and must fit in one 8 MiB frame.
HISTORY_LIMIT_BYTES = 4 * 1024 * 1024
# Bounds the record of a program whose caller never stops retrying.
N_NOT_RUN_LIMIT = 1000


def begin_request(
    state: ShardState, entry: ProgramEntry, command: BeginRequest
) -> object:
    """Record a call in order, or return what is recorded of its request id."""
    if command.account not in (None, entry.account):
        return Refused(
            Refusal.UNKNOWN_PROGRAM,
            f"account {command.account} has no program {command.program}",
        )
    known = entry.open_request
    if known is not None and known.request == command.request:
        return _repeat_open(state, entry, known, command)
    ended = state.history.find(entry.program, command.request)
    if ended is not None:
        if ended.digest != command.digest:
            return _refuse_reused(command)
        return make_ended_record(ended)
    refusal = (
        _find_size_refusal(entry, command)
        or _find_order_refusal(entry, command)
        or _end_when_due(state, entry, command)
        or reserve(state, entry, _get_reserved_tokens(entry, command))
    )
    if refusal is not None:
        return refusal
    if known is not None:
        end_interrupted(state, entry, known)
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
    touch(state, entry, command.at)
    return _make_begun(state, entry, command)


def _get_reserved_tokens(entry: ProgramEntry, command: BeginRequest) -> int:
    history = entry.context_tokens if command.uses_history else 0
    return history + command.reserved_tokens


def _repeat_open(
    state: ShardState,
    entry: ProgramEntry,
    known: RequestEntry,
    command: BeginRequest,
) -> object:
    if known.digest != command.digest:
        return _refuse_reused(command)
    is_new_run = command.run == NO_RUN or command.run not in known.past_runs
    if known.is_interrupted and is_new_run:
        return _run_again(state, entry, known, command)
    is_resent = command.run == known.run != NO_RUN
    if is_resent and not known.is_interrupted:
        return _make_begun(state, entry, command)
    return make_open_record(entry, known)


def _run_again(
    state: ShardState,
    entry: ProgramEntry,
    known: RequestEntry,
    command: BeginRequest,
) -> object:
    reserved = _get_reserved_tokens(entry, command)
    refusal = reserve(state, entry, reserved)
    if refusal is not None:
        return refusal
    known.node = command.node
    known.run = command.run
    known.spare_tokens = reserved
    known.is_interrupted = False
    touch(state, entry, command.at)
    return _make_begun(state, entry, command)


def _make_begun(state: ShardState, entry: ProgramEntry, command: BeginRequest) -> Begun:
    is_read = state.is_result_read
    history = state.history.read_turns(entry.program) if is_read else ()
    reserved = _get_reserved_tokens(entry, command)
    return Begun(history, entry.spent_tokens, tuple(entry.holders), reserved)


def _refuse_reused(command: BeginRequest) -> Refused:
    return Refused(
        Refusal.REQUEST_ID_REUSED,
        f"request {command.request} was sent before with another body",
    )


def _find_size_refusal(entry: ProgramEntry, command: BeginRequest) -> Refused | None:
    if command.reserved_tokens < 0:
        return Refused(
            Refusal.INVALID_COMMAND,
            f"reservation is {command.reserved_tokens} tokens; it must not be negative",
        )
    if entry.history_bytes + len(command.content) > HISTORY_LIMIT_BYTES:
        return Refused(
            Refusal.HISTORY_FULL,
            f"the history has {entry.history_bytes} bytes and the call adds "
            f"{len(command.content)}; at most {HISTORY_LIMIT_BYTES} are kept",
        )
    return None


def _find_order_refusal(entry: ProgramEntry, command: BeginRequest) -> Refused | None:
    if entry.end_reason is not None:
        return Refused(
            Refusal.PROGRAM_ENDED,
            f"program {command.program} has ended: {entry.end_reason.value}",
        )
    known = entry.open_request
    if known is not None and command.sequence == known.sequence:
        return _refuse_open(known)
    if command.sequence != entry.next_sequence:
        expected = known.sequence if known is not None else entry.next_sequence
        return Refused(
            Refusal.SEQUENCE_OUT_OF_ORDER,
            f"expected sequence number {expected}, got {command.sequence}",
        )
    if known is not None and not known.is_interrupted:
        return _refuse_open(known)
    return None


def _refuse_open(known: RequestEntry) -> Refused:
    following = SequenceNumber(known.sequence + 1)
    advice = "wait for its end"
    if known.is_interrupted:
        advice = f"send it again under its request id or go on with {following}"
    return Refused(
        Refusal.PREVIOUS_CALL_OPEN,
        f"call {known.sequence}, request {known.request}, has not ended; {advice}",
    )


def _end_when_due(
    state: ShardState, entry: ProgramEntry, command: BeginRequest
) -> Refused | None:
    """End a program whose next call shows that it runs on without progress."""
    reason = _find_end_reason(entry, command)
    if reason is None:
        return None
    end_program(state, entry, reason, command.at)
    return Refused(
        Refusal.PROGRAM_ENDED, f"program {command.program} has ended: {reason.value}"
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
