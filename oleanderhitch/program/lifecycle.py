"""End programs, expire inactive ones and delete the records of ended ones."""

from datetime import datetime

from oleanderhitch.program.budget import return_unspent_budget
from oleanderhitch.program.entries import ProgramEntry, ShardState
from oleanderhitch.program.outcomes import end_interrupted_request, resolve_request
from oleanderhitch.program.states import EndReason

# A program with a running request is not inactive: the request's deadline ends it well
# before this multiple of the silence limit. A request stays open longer only if its
# node has failed and no caller retries it.
OPEN_REQUEST_SILENCE_FACTOR = 2


def end_program(
    state: ShardState, entry: ProgramEntry, reason: EndReason, at: datetime
) -> None:
    """End a program and, before it, its sub-agents.

    Ending it again does not change the reason. A running request keeps its node and its
    reservation until it ends.
    """
    if entry.end_reason is not None:
        return
    for child in _get_children(state, entry):
        end_program(state, child, EndReason.PARENT_ENDED, at)
    entry.end_reason = reason
    entry.ended_at = at
    return_unspent_budget(state, entry)
    open_request = entry.open_request
    if open_request is not None and open_request.is_interrupted:
        end_interrupted_request(state, entry, open_request)


def expire_programs(state: ShardState, at: datetime) -> None:
    """End inactive programs, close abandoned requests and delete old records."""
    for entry in list(state.programs.values()):
        if _is_inactive(entry, at):
            end_program(state, entry, EndReason.SILENT, at)
        if entry.end_reason is not None and _has_abandoned_request(entry, at):
            _resolve_abandoned_request(state, entry)
    # In reverse order, since children come after their parents and a parent cannot be
    # deleted before its children.
    for entry in reversed(list(state.programs.values())):
        if _is_deletable(state, entry, at):
            _delete_program(state, entry)


def is_expiry_due(state: ShardState, at: datetime) -> bool:
    """Return whether expiring programs now would change the shard."""
    return any(
        _is_inactive(entry, at)
        or (entry.end_reason is not None and _has_abandoned_request(entry, at))
        or _is_deletable(state, entry, at)
        for entry in state.programs.values()
    )


def _get_children(state: ShardState, entry: ProgramEntry) -> list[ProgramEntry]:
    return [state.programs[child] for child in entry.children]


def _is_inactive(entry: ProgramEntry, at: datetime) -> bool:
    if entry.end_reason is not None:
        return False
    open_request = entry.open_request
    if open_request is not None and not open_request.is_interrupted:
        return _has_abandoned_request(entry, at)
    return at - entry.last_active_at > entry.silence_limit


def _has_abandoned_request(entry: ProgramEntry, at: datetime) -> bool:
    if entry.open_request is None:
        return False
    return at - entry.last_active_at > OPEN_REQUEST_SILENCE_FACTOR * entry.silence_limit


def _resolve_abandoned_request(state: ShardState, entry: ProgramEntry) -> None:
    if entry.open_request is not None:
        resolve_request(state, entry, entry.open_request)


def _is_deletable(state: ShardState, entry: ProgramEntry, at: datetime) -> bool:
    if entry.ended_at is None or entry.open_request is not None:
        return False
    if entry.holders or entry.children:
        return False
    return at - entry.ended_at > state.retention


def _delete_program(state: ShardState, entry: ProgramEntry) -> None:
    del state.programs[entry.program]
    state.history.delete(entry.program)
    parent = state.find_parent(entry)
    if parent is not None:
        parent.children.pop(entry.program, None)
