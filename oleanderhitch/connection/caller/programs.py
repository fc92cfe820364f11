"""Handlers of callers' requests about programs and request outcomes."""

import uuid
from collections.abc import Callable, Mapping
from datetime import timedelta
from functools import singledispatch

from oleanderhitch.connection.caller.exceptions import CallRefusedError
from oleanderhitch.connection.caller.parsing import (
    get_header,
    get_integer,
    parse_json_object,
    parse_request_id,
)
from oleanderhitch.connection.codec import Codec
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.client.messages import GroupResult, SubmitToGroup
from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.intake.messages import GetProgramLimits, ProgramLimits
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Latency
from oleanderhitch.program.checks import find_program_id_fault
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.program.messages import (
    Done,
    EndProgram,
    GetOutcome,
    GetProgram,
    ProgramSummary,
    Refused,
    RequestRecord,
    StartProgram,
)
from oleanderhitch.program.states import EndReason
from oleanderhitch.request.messages import RespondToCaller
from oleanderhitch.request.states import Outcome, Reason

SHARD_TIMEOUT = timedelta(seconds=5)
BUDGET_LIMIT_TOKENS = 1_000_000_000
END_REASONS = {reason.value: reason for reason in EndReason}

Headers = Mapping[str, str]
GetGroup = Callable[[ProgramId], GroupId]


class ProgramApi:
    """Serves requests about programs; each blocks the greenlet of its connection."""

    def __init__(
        self,
        group_client: Address,
        intake: Address,
        codec: Codec,
        get_group: GetGroup,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._group_client = group_client
        self._intake = intake
        self._codec = codec
        self._get_group = get_group
        self._clock = clock
        self._metrics = metrics

    def start_program(self, headers: Headers, body: bytes) -> ProgramSummary:
        """Start a program and return its summary; raise CallRefusedError."""
        account = AccountId(get_header(headers, "X-Account"))
        document = parse_json_object(body)
        parent = _parse_program_id(document.get("parent"))
        program = _parse_program_id(document.get("program")) or _make_program_id(parent)
        budget = None
        if "budget_tokens" in document:
            budget = get_integer(document, "budget_tokens", 0, 1, BUDGET_LIMIT_TOKENS)
        limits = self._get_limits(account, budget)
        command = StartProgram(
            program,
            account,
            parent,
            limits.budget_tokens,
            limits.n_turns_limit,
            limits.silence_limit,
            self._clock.now(),
        )
        _check_result(self._submit(program, command, False))
        return self._get_summary(account, program)

    def get_program(self, headers: Headers, program_id: str) -> ProgramSummary:
        """Return a program's summary; raise CallRefusedError."""
        return self._get_summary(
            AccountId(get_header(headers, "X-Account")), program_id
        )

    def end_program(self, headers: Headers, program_id: str) -> ProgramSummary:
        """End a program and return its summary; raise CallRefusedError."""
        account = AccountId(get_header(headers, "X-Account"))
        summary = self._get_summary(account, program_id)
        text = headers.get("X-End-Reason", EndReason.FINISHED.value)
        reason = END_REASONS.get(text)
        if reason not in (EndReason.FINISHED, EndReason.GIVEN_UP):
            raise CallRefusedError(
                Reason.BAD_REQUEST,
                f"header X-End-Reason must be finished or given_up, got {text!r}",
            )
        command = EndProgram(summary.program, reason, self._clock.now())
        _check_result(self._submit(summary.program, command, False))
        if summary.end_reason is None and summary.started_at is not None:
            duration = self._clock.now() - summary.started_at
            self._metrics.record(Latency.PROGRAM, duration)
        return self._get_summary(account, program_id)

    def get_outcome(self, headers: Headers, request: str) -> RequestRecord:
        """Return the record of a request; raise CallRefusedError."""
        account = AccountId(get_header(headers, "X-Account"))
        program = ProgramId(get_header(headers, "X-Program"))
        # Raises CallRefusedError unless the program belongs to the account.
        self._get_summary(account, program)
        query = GetOutcome(program, parse_request_id(program, request))
        result = self._submit(program, query, True)
        if isinstance(result, RequestRecord):
            return result
        _check_result(result)
        raise CallRefusedError(Reason.STATE_UNAVAILABLE, "unexpected answer")

    def _get_summary(self, account: AccountId, program_id: str) -> ProgramSummary:
        program = _parse_program_id(program_id)
        assert program is not None
        result = self._submit(program, GetProgram(program), True)
        if isinstance(result, ProgramSummary) and result.account == account:
            return result
        if not isinstance(result, ProgramSummary):
            _check_result(result)
        raise CallRefusedError(
            Reason.UNKNOWN_PROGRAM, f"account {account} has no program {program}"
        )

    def _get_limits(self, account: AccountId, budget: int | None) -> ProgramLimits:
        mailbox = make_mailbox("terms")
        self._intake.send(GetProgramLimits(account, budget, mailbox))
        reply = mailbox.receive(SHARD_TIMEOUT)
        if isinstance(reply, ProgramLimits):
            return reply
        if isinstance(reply, RespondToCaller):
            raise CallRefusedError(
                reply.reason, reply.detail, reply.outcome, reply.retry_after
            )
        raise CallRefusedError(Reason.STATE_UNAVAILABLE, "intake does not answer")

    def _submit(self, program: ProgramId, command: object, is_read: bool) -> object:
        mailbox = make_mailbox("program")
        self._group_client.send(
            SubmitToGroup(
                self._get_group(program),
                self._codec.encode(command),
                is_read,
                SHARD_TIMEOUT,
                "program",
                mailbox,
            )
        )
        # The group client replies with GroupTimedOut after SHARD_TIMEOUT; this wait is
        # longer.
        result = mailbox.receive(SHARD_TIMEOUT * 2)
        if isinstance(result, GroupResult):
            return self._codec.decode(result.body)
        raise CallRefusedError(
            Reason.STATE_UNAVAILABLE,
            "the program's shard does not answer; repeat the request",
            Outcome.UNKNOWN,
            timedelta(seconds=1),
        )


def _make_program_id(parent: ProgramId | None) -> ProgramId:
    name = uuid.uuid4().hex
    return ProgramId(name if parent is None else f"{parent}/{name}")


def _parse_program_id(value: object) -> ProgramId | None:
    if value is None:
        return None
    if not isinstance(value, str):
        raise CallRefusedError(
            Reason.BAD_REQUEST, f"program must be a text, got {type(value).__name__}"
        )
    fault = find_program_id_fault(value)
    if fault is not None:
        raise CallRefusedError(Reason.BAD_REQUEST, f"program id {value[:80]!r} {fault}")
    return ProgramId(value)


@singledispatch
def _check_result(result: object) -> None:
    raise CallRefusedError(
        Reason.STATE_UNAVAILABLE, f"unexpected answer {type(result).__name__}"
    )


@_check_result.register
def _(result: Done) -> None:
    return None


@_check_result.register
def _(result: Refused) -> None:
    raise CallRefusedError(Reason(result.reason.value), result.detail)
