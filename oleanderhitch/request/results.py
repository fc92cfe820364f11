"""Turn a shard's results into the messages of a request."""

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
    BeginAnswered,
    CloseAnswered,
    FinishRecorded,
    FinishRefused,
    ShardUnreachable,
)
from oleanderhitch.request.states import Reason


class ShardReplies:
    """Decode the answer to one command and pass it to the request's task."""

    def __init__(self, command: object, task: Address, codec: Codec) -> None:
        self._command = command
        self._task = task
        self._codec = codec

    def send(self, message: object) -> None:
        """Pass an answer of the group client on."""
        if isinstance(message, GroupTimedOut):
            unreachable = make_unreachable(self._command, message.reason)
            if unreachable is not None:
                self._task.send(unreachable)
        elif isinstance(message, GroupResult):
            result = self._codec.decode(message.body)
            answer = make_answer(self._command, result)
            if answer is not None:
                self._task.send(answer)


@singledispatch
def make_unreachable(command: object, reason: str) -> ShardUnreachable | None:
    """Return what the request learns when its shard did not answer in time."""
    return ShardUnreachable(reason)


@make_unreachable.register
def _(command: FailAttempt, reason: str) -> ShardUnreachable | None:
    # The outcome settles what became of an attempt, so nothing waits for this.
    return None


@singledispatch
def make_answer(command: object, result: object) -> object | None:
    """Return what the request learns from the result of its command."""
    raise TypeError(f"no answer to {type(command).__name__}")


@make_answer.register
def _(command: BeginRequest, result: object) -> object | None:
    assert isinstance(result, Begun | RequestRecord | Refused)
    return BeginAnswered(result)


@make_answer.register
def _(command: RecordAttempt, result: object) -> object | None:
    if isinstance(result, Refused):
        reason = Reason(result.reason.value)
        return AttemptRefused(command.attempt, reason, result.detail)
    return AttemptRecorded(command.attempt)


@make_answer.register
def _(command: FailAttempt, result: object) -> object | None:
    return None


@make_answer.register
def _(command: FinishRequest, result: object) -> object | None:
    if isinstance(result, Refused):
        return FinishRefused(
            result.detail, result.reason is RefusalReason.ATTEMPT_RECORDED
        )
    return FinishRecorded()


@make_answer.register
def _(command: CloseRequest, result: object) -> object | None:
    return CloseAnswered()
