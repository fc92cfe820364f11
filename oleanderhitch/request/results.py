"""Translate replies of a program's shard into messages of a request task."""

from functools import singledispatch

from oleanderhitch.connection.codec import Codec
from oleanderhitch.process.address import Address
from oleanderhitch.process.groups.client.messages import GroupResult, GroupTimedOut
from oleanderhitch.program.messages import (
    BeginRequest,
    Begun,
    CloseRequest,
    FailAttempt,
    FinishRequest,
    RecordAttempt,
    Refused,
    RequestRecord,
)
from oleanderhitch.program.states import RefusalReason
from oleanderhitch.request.messages import (
    AttemptRecorded,
    AttemptRefused,
    BeginReplyReceived,
    CloseReplyReceived,
    FinishRecorded,
    FinishRefused,
    ShardUnreachable,
)
from oleanderhitch.request.states import Reason


class ShardReplyHandler:
    """Address that translates the reply to one command for the request's task."""

    def __init__(self, command: object, task: Address, codec: Codec) -> None:
        self._command = command
        self._task = task
        self._codec = codec

    def send(self, message: object) -> None:
        """Translate a reply of the group client and send it to the task."""
        if isinstance(message, GroupTimedOut):
            failure = translate_timeout(self._command, message.reason)
            if failure is not None:
                self._task.send(failure)
        elif isinstance(message, GroupResult):
            result = self._codec.decode(message.body)
            reply_message = translate_result(self._command, result)
            if reply_message is not None:
                self._task.send(reply_message)


@singledispatch
def translate_timeout(command: object, reason: str) -> ShardUnreachable | None:
    """Return the message for a command that got no reply from the shard in time."""
    return ShardUnreachable(reason)


@translate_timeout.register
def _(command: FailAttempt, reason: str) -> ShardUnreachable | None:
    # Recording the outcome also settles the attempt, so nothing waits for this.
    return None


@singledispatch
def translate_result(command: object, result: object) -> object | None:
    """Return the message for the result of a command, None if the task needs none."""
    raise TypeError(f"request does not support command type {type(command).__name__}")


@translate_result.register
def _(command: BeginRequest, result: object) -> object | None:
    assert isinstance(result, Begun | RequestRecord | Refused)
    return BeginReplyReceived(result)


@translate_result.register
def _(command: RecordAttempt, result: object) -> object | None:
    if isinstance(result, Refused):
        reason = Reason(result.reason.value)
        return AttemptRefused(command.attempt, reason, result.detail)
    return AttemptRecorded(command.attempt)


@translate_result.register
def _(command: FailAttempt, result: object) -> object | None:
    return None


@translate_result.register
def _(command: FinishRequest, result: object) -> object | None:
    if isinstance(result, Refused):
        return FinishRefused(
            result.detail, result.reason is RefusalReason.ATTEMPT_RECORDED
        )
    return FinishRecorded()


@translate_result.register
def _(command: CloseRequest, result: object) -> object | None:
    return CloseReplyReceived()
