"""Decide which attempts of a request may run."""

from oleanderhitch.program.budget import reserve, settle
from oleanderhitch.program.entries import (
    FIRST_ATTEMPT,
    AttemptEntry,
    ProgramEntry,
    RequestEntry,
    ShardState,
    touch,
)
from oleanderhitch.program.ids import RunId
from oleanderhitch.program.messages import Done, FailAttempt, RecordAttempt, Refused
from oleanderhitch.program.outcomes import refuse_unknown_request
from oleanderhitch.program.releases import add_holder, reopen_releases
from oleanderhitch.program.states import AttemptState, Refusal
from oleanderhitch.request.ids import RequestId

# Bounds the record of one request; the retry budget ends far earlier.
N_ATTEMPTS_LIMIT = 64


def record_attempt(
    state: ShardState, entry: ProgramEntry, command: RecordAttempt
) -> object:
    """Record an attempt before it is sent, or refuse it."""
    known = _find_run(state, entry, command.request, command.run)
    if isinstance(known, Refused):
        _note_holder(entry, command)
        return known
    attempt = known.find_attempt(command.attempt)
    if attempt is not None:
        return _repeat_attempt(entry, attempt, command)
    _note_holder(entry, command)
    refusal = _find_attempt_refusal(entry, known) or _reserve_attempt(
        state, entry, known, command
    )
    if refusal is not None:
        return refusal
    known.n_attempts += 1
    known.endpoints[command.endpoint] = None
    touch(state, entry, command.at)
    return Done()


def fail_attempt(
    state: ShardState, entry: ProgramEntry, command: FailAttempt
) -> object:
    """Record that an attempt gave no answer and settle its reservation."""
    known = _find_run(state, entry, command.request, command.run)
    if isinstance(known, Refused):
        if command.was_sent:
            reopen_releases(entry)
        return known
    attempt = known.find_attempt(command.attempt)
    if attempt is None:
        # Blocks the attempt's own record when that arrives later.
        attempt = AttemptEntry(command.attempt, None, 0, AttemptState.RUNNING)
        known.attempts.append(attempt)
    target = AttemptState.LOST if command.was_sent else AttemptState.NOT_SENT
    if attempt.state is target:
        return Done()
    if attempt.state is not AttemptState.RUNNING:
        return Refused(
            Refusal.REPEAT_NOT_ALLOWED,
            f"attempt {command.attempt} is recorded as {attempt.state.value}",
        )
    if command.was_sent:
        settle(state, entry, attempt.reserved_tokens, command.spent_tokens)
    else:
        known.spare_tokens += attempt.reserved_tokens
    attempt.reserved_tokens = 0
    attempt.state = target
    touch(state, entry, command.at)
    return Done()


def _find_run(
    state: ShardState, entry: ProgramEntry, request: RequestId, run: RunId
) -> RequestEntry | Refused:
    known = entry.open_request
    if known is None or known.request != request:
        if state.history.find(entry.program, request) is None:
            return refuse_unknown_request(request)
        return Refused(Refusal.REQUEST_CLOSED, f"request {request} has ended")
    if known.is_interrupted or known.run != run:
        return Refused(
            Refusal.SUPERSEDED, f"request {request} was closed while this node ran it"
        )
    return known


def _note_holder(entry: ProgramEntry, command: RecordAttempt) -> None:
    """List the engine even when the attempt is refused.

    An idempotent call is sent in parallel with the record of its attempt, so
    the engine may hold memory for it already.
    """
    if command.holds_cache:
        add_holder(entry, command.endpoint)


def _repeat_attempt(
    entry: ProgramEntry, attempt: AttemptEntry, command: RecordAttempt
) -> object:
    is_same = attempt.endpoint == command.endpoint
    if is_same and attempt.state is AttemptState.RUNNING:
        return Done()
    _note_holder(entry, command)
    return Refused(
        Refusal.REPEAT_NOT_ALLOWED,
        f"attempt {command.attempt} is recorded for endpoint {attempt.endpoint} "
        f"as {attempt.state.value}",
    )


def _find_attempt_refusal(entry: ProgramEntry, known: RequestEntry) -> Refused | None:
    if known.may_have_run and not known.is_idempotent:
        return Refused(
            Refusal.REPEAT_NOT_ALLOWED,
            f"request {known.request} is not idempotent and has an attempt",
        )
    if entry.end_reason is not None and (known.attempts or not known.is_idempotent):
        return Refused(Refusal.PROGRAM_ENDED, f"program {entry.program} has ended")
    if len(known.attempts) >= N_ATTEMPTS_LIMIT:
        return Refused(
            Refusal.REPEAT_NOT_ALLOWED,
            f"request {known.request} has {N_ATTEMPTS_LIMIT} attempts, the limit",
        )
    return None


def _reserve_attempt(
    state: ShardState,
    entry: ProgramEntry,
    known: RequestEntry,
    command: RecordAttempt,
) -> Refused | None:
    """Give the attempt the request's spare reservation and reserve the rest.

    The reservation of the begin belongs to the first attempt, which may be sent
    before its record arrives.
    """
    is_spare = command.attempt == FIRST_ATTEMPT or known.has_first_attempt
    spare = known.spare_tokens if is_spare else 0
    missing = max(0, command.reserved_tokens - spare)
    refusal = reserve(state, entry, missing)
    if refusal is None:
        known.spare_tokens -= spare
        known.attempts.append(
            AttemptEntry(
                command.attempt,
                command.endpoint,
                spare + missing,
                AttemptState.RUNNING,
            )
        )
    return refusal
