"""Record the attempts of a request and decide which of them may run."""

from oleanderhitch.program.budget import reserve, settle
from oleanderhitch.program.entries import (
    FIRST_ATTEMPT,
    AttemptEntry,
    ProgramEntry,
    RequestEntry,
    ShardState,
    record_activity,
)
from oleanderhitch.program.ids import RunId
from oleanderhitch.program.messages import Done, FailAttempt, RecordAttempt, Refused
from oleanderhitch.program.outcomes import refuse_unknown_request
from oleanderhitch.program.releases import add_holder, reopen_releases
from oleanderhitch.program.states import AttemptState, RefusalReason
from oleanderhitch.request.ids import RequestId

# Bounds the size of one request's record; the pool's retry budget runs out far earlier.
N_ATTEMPTS_LIMIT = 64


def record_attempt(
    state: ShardState, entry: ProgramEntry, command: RecordAttempt
) -> object:
    """Record an attempt that is about to be sent, or refuse it."""
    open_request = _find_open_request(state, entry, command.request, command.run)
    if isinstance(open_request, Refused):
        _record_holder(entry, command)
        return open_request
    attempt = open_request.find_attempt(command.attempt)
    if attempt is not None:
        return _handle_duplicate_attempt(entry, attempt, command)
    _record_holder(entry, command)
    refusal = _find_attempt_refusal(entry, open_request) or _reserve_attempt(
        state, entry, open_request, command
    )
    if refusal is not None:
        return refusal
    open_request.n_attempts += 1
    open_request.endpoints[command.endpoint] = None
    record_activity(state, entry, command.at)
    return Done()


def fail_attempt(
    state: ShardState, entry: ProgramEntry, command: FailAttempt
) -> object:
    """Record that an attempt got no response and settle its reservation."""
    open_request = _find_open_request(state, entry, command.request, command.run)
    if isinstance(open_request, Refused):
        if command.was_sent:
            reopen_releases(entry)
        return open_request
    attempt = open_request.find_attempt(command.attempt)
    if attempt is None:
        # Makes a RecordAttempt that arrives after this command a refused duplicate.
        attempt = AttemptEntry(command.attempt, None, 0, AttemptState.RUNNING)
        open_request.attempts.append(attempt)
    target_state = AttemptState.LOST if command.was_sent else AttemptState.NOT_SENT
    if attempt.state is target_state:
        return Done()
    if attempt.state is not AttemptState.RUNNING:
        return Refused(
            RefusalReason.REPEAT_NOT_ALLOWED,
            f"attempt {command.attempt} is recorded as {attempt.state.value}",
        )
    if command.was_sent:
        settle(state, entry, attempt.reserved_tokens, command.spent_tokens)
    else:
        open_request.spare_tokens += attempt.reserved_tokens
    attempt.reserved_tokens = 0
    attempt.state = target_state
    record_activity(state, entry, command.at)
    return Done()


def _find_open_request(
    state: ShardState, entry: ProgramEntry, request: RequestId, run: RunId
) -> RequestEntry | Refused:
    open_request = entry.open_request
    if open_request is None or open_request.request != request:
        if state.history.find(entry.program, request) is None:
            return refuse_unknown_request(request)
        return Refused(RefusalReason.REQUEST_CLOSED, f"request {request} has ended")
    if open_request.is_interrupted or open_request.run != run:
        return Refused(
            RefusalReason.SUPERSEDED,
            f"request {request} was closed while this node ran it",
        )
    return open_request


def _record_holder(entry: ProgramEntry, command: RecordAttempt) -> None:
    """Record the engine as a cache holder, even if the attempt is refused.

    An idempotent call is sent in parallel with the record of its attempt, so the engine
    may already have cached its prompt.
    """
    if command.holds_cache:
        add_holder(entry, command.endpoint)


def _handle_duplicate_attempt(
    entry: ProgramEntry, attempt: AttemptEntry, command: RecordAttempt
) -> object:
    is_same_endpoint = attempt.endpoint == command.endpoint
    if is_same_endpoint and attempt.state is AttemptState.RUNNING:
        return Done()
    _record_holder(entry, command)
    return Refused(
        RefusalReason.REPEAT_NOT_ALLOWED,
        f"attempt {command.attempt} is recorded for endpoint {attempt.endpoint} "
        f"as {attempt.state.value}",
    )


def _find_attempt_refusal(
    entry: ProgramEntry, open_request: RequestEntry
) -> Refused | None:
    if open_request.may_have_run and not open_request.is_idempotent:
        return Refused(
            RefusalReason.REPEAT_NOT_ALLOWED,
            f"request {open_request.request} is not idempotent and has an attempt",
        )
    if entry.end_reason is not None and (
        open_request.attempts or not open_request.is_idempotent
    ):
        return Refused(
            RefusalReason.PROGRAM_ENDED, f"program {entry.program} has ended"
        )
    if len(open_request.attempts) >= N_ATTEMPTS_LIMIT:
        return Refused(
            RefusalReason.REPEAT_NOT_ALLOWED,
            f"request {open_request.request} has {N_ATTEMPTS_LIMIT} attempts, "
            "the limit",
        )
    return None


def _reserve_attempt(
    state: ShardState,
    entry: ProgramEntry,
    open_request: RequestEntry,
    command: RecordAttempt,
) -> Refused | None:
    """Reserve the attempt's tokens, using the request's spare reservation first.

    The tokens reserved by BeginRequest are kept for the first attempt, which may be
    sent before its record arrives.
    """
    may_use_spare = command.attempt == FIRST_ATTEMPT or open_request.has_first_attempt
    spare_tokens = open_request.spare_tokens if may_use_spare else 0
    additional_tokens = max(0, command.reserved_tokens - spare_tokens)
    refusal = reserve(state, entry, additional_tokens)
    if refusal is None:
        open_request.spare_tokens -= spare_tokens
        open_request.attempts.append(
            AttemptEntry(
                command.attempt,
                command.endpoint,
                spare_tokens + additional_tokens,
                AttemptState.RUNNING,
            )
        )
    return refusal
