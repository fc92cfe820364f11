"""Task that serves one request."""

import uuid
from collections.abc import Callable
from datetime import datetime, timedelta
from functools import singledispatch
from typing import Protocol

import gevent
from msgspec import Struct, field

from oleanderhitch.connection.codec import Codec
from oleanderhitch.process.address import Address, MailboxFullError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.client.messages import SubmitToGroup
from oleanderhitch.process.ids import GroupId, NodeId
from oleanderhitch.process.intake.messages import CheckRequestOwner, RequestEnded
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.routing.messages import (
    RouteEnqueue,
    RouteRelease,
    RouteWithdraw,
)
from oleanderhitch.process.scheduling.messages import EnqueueRequest, ReleaseSlot
from oleanderhitch.process.task import Task, make_task
from oleanderhitch.process.tracing.tracer import Tracer
from oleanderhitch.program.ids import ProgramId, RunId
from oleanderhitch.program.messages import (
    BeginRequest,
    CloseRequest,
    FailAttempt,
    FinishRequest,
    RecordAttempt,
)
from oleanderhitch.request.core import handle
from oleanderhitch.request.ids import AttemptNumber
from oleanderhitch.request.messages import (
    Call,
    CancelAttempt,
    CheckOwner,
    Dispatch,
    EndTask,
    EnqueueCall,
    LookUpCall,
    ModelWork,
    RelayChunk,
    ReleasePermit,
    RespondToCaller,
    Start,
    SubmitAttempt,
    SubmitBegin,
    SubmitClose,
    SubmitFailedAttempt,
    SubmitFinish,
    WithdrawCall,
)
from oleanderhitch.request.observer import RequestObserver, make_observer, observe
from oleanderhitch.request.prompt import make_prompt
from oleanderhitch.request.results import ShardReplyHandler
from oleanderhitch.request.state import RequestState, find_next_tick, make_request_state
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId

SHARD_COMMAND_TIMEOUT = timedelta(seconds=5)
# Sending the final response to a caller whose mailbox is full is retried for 2 minutes.
N_RESPONSE_RETRIES_LIMIT = 1200
RESPONSE_RETRY_DELAY = timedelta(milliseconds=100)
MAILBOX_CAPACITY_MESSAGES = 2000
# Average for text. The pool's owner uses the estimated prompt length to choose
# endpoints, set priorities and decide on hedges.
BYTES_PER_TOKEN = 4


class EndpointClient(Protocol):
    """Sends attempts to endpoints and looks up their results."""

    def start(
        self,
        call: Call,
        attempt: AttemptNumber,
        endpoint: EndpointId,
        prompt: tuple[dict[str, str], ...],
        partial_answer: bytes,
        priority: int,
        trace: dict[str, str],
        reply_address: Address,
    ) -> Address:
        """Start an attempt and return the address that accepts CancelAttempt."""

    def look_up(self, call: Call, endpoint: EndpointId, reply_address: Address) -> None:
        """Look up a call by its idempotency key; the reply is LookupCompleted."""


class RequestDependencies(Value, frozen=True):
    """Collaborators that all requests of a process share."""

    node: NodeId
    clock: Clock
    codec: Codec
    group_client: Address
    intake: Address
    router: Address
    endpoint_client: EndpointClient
    get_group: Callable[[ProgramId], GroupId]
    metrics: Metrics
    tracer: Tracer


class RequestResources(Struct):
    """Resources that belong to the task of one request."""

    call: Call
    caller: Address
    dependencies: RequestDependencies
    run: RunId
    observer: RequestObserver
    # No chunk is relayed after one was dropped.
    has_dropped_chunk: bool = False
    streams: dict[AttemptNumber, Address] = field(default_factory=dict)
    task: Task[RequestState] | None = None

    def get_task(self) -> Task[RequestState]:
        """Return the task that owns these resources."""
        assert self.task is not None
        return self.task


def make_request_task(
    call: Call, caller: Address, dependencies: RequestDependencies
) -> Task[RequestState]:
    """Return the task of a request, which waits for Start."""
    observer = make_observer(
        call, dependencies.metrics, dependencies.tracer, dependencies.clock.now()
    )
    run = RunId(uuid.uuid4().hex)
    resources = RequestResources(call, caller, dependencies, run, observer)

    def decide(message: object, state: RequestState, now: datetime) -> list[object]:
        observe(message, observer, now)
        effects = handle(message, state, now)
        for effect in effects:
            observe(effect, observer, now)
        return effects

    def perform(effect: object) -> None:
        perform_effect(effect, resources)

    task = make_task(
        f"request {call.request}",
        make_request_state(call),
        decide,
        perform,
        dependencies.clock,
        capacity_messages=MAILBOX_CAPACITY_MESSAGES,
        find_next_tick=find_next_tick,
    )
    resources.task = task
    return task


def start_request(
    call: Call, caller: Address, dependencies: RequestDependencies
) -> None:
    """Start a task that serves a call."""
    task = make_request_task(call, caller, dependencies)
    task.start()
    task.send(Start())


@singledispatch
def perform_effect(effect: object, resources: RequestResources) -> None:
    """Perform an effect of the request."""
    raise TypeError(f"request does not support effect type {type(effect).__name__}")


@perform_effect.register
def _(effect: SubmitBegin, resources: RequestResources) -> None:
    call = resources.call
    command = BeginRequest(
        call.program,
        call.request,
        call.sequence,
        resources.dependencies.node,
        call.is_idempotent,
        call.reserved_tokens,
        resources.dependencies.codec.encode(call.work),
        call.digest,
        resources.dependencies.clock.now(),
        resources.run,
        call.account,
        isinstance(call.work, ModelWork),
    )
    _submit_to_shard(command, resources)


@perform_effect.register
def _(effect: SubmitAttempt, resources: RequestResources) -> None:
    call = resources.call
    command = RecordAttempt(
        call.program,
        call.request,
        effect.attempt,
        effect.endpoint,
        effect.reserved_tokens,
        isinstance(call.work, ModelWork),
        resources.dependencies.clock.now(),
        resources.run,
    )
    _submit_to_shard(command, resources)


@perform_effect.register
def _(effect: SubmitFailedAttempt, resources: RequestResources) -> None:
    call = resources.call
    command = FailAttempt(
        call.program,
        call.request,
        effect.attempt,
        effect.was_sent,
        effect.spent_tokens,
        resources.dependencies.clock.now(),
        resources.run,
    )
    _submit_to_shard(command, resources)


@perform_effect.register
def _(effect: SubmitFinish, resources: RequestResources) -> None:
    call = resources.call
    command = FinishRequest(
        call.program,
        call.request,
        effect.outcome,
        effect.answer,
        effect.spent_tokens,
        resources.dependencies.clock.now(),
        resources.run,
        effect.attempt,
        effect.context_tokens,
    )
    _submit_to_shard(command, resources)


@perform_effect.register
def _(effect: SubmitClose, resources: RequestResources) -> None:
    call = resources.call
    now = resources.dependencies.clock.now()
    _submit_to_shard(
        CloseRequest(call.program, call.request, now, effect.run), resources
    )


@perform_effect.register
def _(effect: CheckOwner, resources: RequestResources) -> None:
    check = CheckRequestOwner(resources.call.request, effect.node, resources.get_task())
    resources.dependencies.intake.send(check)


@perform_effect.register
def _(effect: EnqueueCall, resources: RequestResources) -> None:
    dependencies = resources.dependencies
    now = dependencies.clock.now()
    enqueue = make_enqueue(effect, resources.call, dependencies.node, now)
    dependencies.router.send(RouteEnqueue(enqueue, resources.get_task()))


def make_enqueue(
    effect: EnqueueCall, call: Call, node: NodeId, now: datetime
) -> EnqueueRequest:
    """Return the message to the pool's queue for a call."""
    return EnqueueRequest(
        call.pool,
        call.request,
        call.program,
        call.account,
        node,
        call.is_idempotent,
        effect.n_turns,
        effect.attained_tokens,
        effect.history_bytes // BYTES_PER_TOKEN + call.reserved_tokens // 2,
        call.reserved_tokens,
        effect.holders,
        effect.excluded,
        call.deadline - now,
        timedelta(0),
    )


@perform_effect.register
def _(effect: WithdrawCall, resources: RequestResources) -> None:
    call = resources.call
    resources.dependencies.router.send(RouteWithdraw(call.pool, call.request))


@perform_effect.register
def _(effect: ReleasePermit, resources: RequestResources) -> None:
    release = ReleaseSlot(
        resources.call.pool,
        effect.permit,
        effect.endpoint,
        effect.is_success,
        effect.n_output_tokens,
        effect.n_computed_prompt_tokens,
        effect.time_to_first_token,
        effect.duration,
    )
    resources.dependencies.router.send(RouteRelease(release))


@perform_effect.register
def _(effect: Dispatch, resources: RequestResources) -> None:
    dependencies = resources.dependencies
    prompt: tuple[dict[str, str], ...] = ()
    if isinstance(resources.call.work, ModelWork):
        prompt = make_prompt(effect.history, dependencies.codec.decode)
    resources.streams[effect.attempt] = dependencies.endpoint_client.start(
        resources.call,
        effect.attempt,
        effect.endpoint,
        prompt,
        effect.partial_answer,
        effect.priority,
        resources.observer.entry_span.trace,
        resources.get_task(),
    )


@perform_effect.register
def _(effect: CancelAttempt, resources: RequestResources) -> None:
    stream = resources.streams.pop(effect.attempt, None)
    if stream is not None:
        stream.send(CancelAttempt(effect.attempt))


@perform_effect.register
def _(effect: LookUpCall, resources: RequestResources) -> None:
    resources.dependencies.endpoint_client.look_up(
        resources.call, effect.endpoint, resources.get_task()
    )


@perform_effect.register
def _(effect: RelayChunk, resources: RequestResources) -> None:
    if resources.has_dropped_chunk:
        return
    try:
        resources.caller.send(effect)
    except MailboxFullError:
        # A later chunk would leave an undetected gap in the stream. RespondToCaller
        # contains the whole answer, including what was not relayed.
        resources.has_dropped_chunk = True


@perform_effect.register
def _(effect: RespondToCaller, resources: RequestResources) -> None:
    _send_response(resources.caller, effect, N_RESPONSE_RETRIES_LIMIT)


def _send_response(
    caller: Address, response: RespondToCaller, n_retries_left: int
) -> None:
    try:
        caller.send(response)
    except MailboxFullError:
        if n_retries_left > 0:
            delay_s = RESPONSE_RETRY_DELAY.total_seconds()
            gevent.spawn_later(
                delay_s, _send_response, caller, response, n_retries_left - 1
            )


@perform_effect.register
def _(effect: EndTask, resources: RequestResources) -> None:
    resources.dependencies.intake.send(RequestEnded(resources.call.request))
    resources.get_task().stop()


def _submit_to_shard(command: object, resources: RequestResources) -> None:
    dependencies = resources.dependencies
    dependencies.group_client.send(
        SubmitToGroup(
            dependencies.get_group(resources.call.program),
            dependencies.codec.encode(command),
            False,
            SHARD_COMMAND_TIMEOUT,
            "command",
            ShardReplyHandler(command, resources.get_task(), dependencies.codec),
            resources.observer.entry_span.trace,
        )
    )
