"""Handle the messages of a plain service stand-in.

It runs duplicate calls again and counts them, so that tests can detect them.
"""

from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatch

import xxhash

from standins.process.faults import Fault, FaultPlan, set_fault, take_fault
from standins.request.ids import IdempotencyKey, OperationName
from standins.request.messages import (
    GetCounts,
    GetResponseByKey,
    Response,
    RunOperation,
    SendMessage,
    SetFault,
)
from standins.request.states import FaultKind

# Operations that always fail, so that tests can check how client errors (422) and
# server errors (500) reach the caller.
REJECT_OPERATION = OperationName("reject")
CRASH_OPERATION = OperationName("crash")


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings from the command line."""

    service: str = "service"
    operation_time: timedelta = timedelta(milliseconds=20)
    answers_by_key: bool = True


@dataclass(frozen=True, slots=True)
class OperationCompleted:
    """Reports an operation's result, which the connection sends after its duration.

    The connection also injects the fault, except SLOW, which changes the duration.
    """

    response: Response
    duration: timedelta
    fault: Fault


@dataclass(slots=True)
class ServiceState:
    """State owned by the service's task.

    `responses` has the first response to each idempotency key.
    """

    settings: ServiceSettings
    faults: FaultPlan = field(default_factory=FaultPlan)
    operation_counts: Counter[OperationName] = field(default_factory=Counter)
    key_counts: Counter[IdempotencyKey] = field(default_factory=Counter)
    responses: dict[IdempotencyKey, Response] = field(default_factory=dict)


def make_service_state(settings: ServiceSettings) -> ServiceState:
    """Return the initial state of a service."""
    return ServiceState(settings)


@singledispatch
def handle(message: object, state: ServiceState, now: datetime) -> list[SendMessage]:
    """Handle a message and return the messages to send."""
    raise TypeError(f"service does not support message type {type(message).__name__}")


@handle.register
def _(message: SetFault, state: ServiceState, now: datetime) -> list[SendMessage]:
    set_fault(state.faults, message)
    return []


@handle.register
def _(message: RunOperation, state: ServiceState, now: datetime) -> list[SendMessage]:
    fault = take_fault(state.faults)
    state.operation_counts[message.operation] += 1
    state.key_counts[message.key] += 1
    response = _make_response(message, state)
    state.responses.setdefault(message.key, response)
    is_slow = fault.kind is FaultKind.SLOW
    factor = fault.factor if is_slow else 1.0
    return [
        SendMessage(
            message.reply_address,
            OperationCompleted(response, state.settings.operation_time * factor, fault),
        )
    ]


@handle.register
def _(
    message: GetResponseByKey, state: ServiceState, now: datetime
) -> list[SendMessage]:
    stored = state.responses.get(message.key)
    if not state.settings.answers_by_key:
        error = "this service does not answer by key"
        return [SendMessage(message.reply_address, Response(501, {"error": error}))]
    if stored is None:
        error = f"key {message.key} never ran"
        return [SendMessage(message.reply_address, Response(404, {"error": error}))]
    return [SendMessage(message.reply_address, stored)]


@handle.register
def _(message: GetCounts, state: ServiceState, now: datetime) -> list[SendMessage]:
    body: dict[str, object] = {
        "operations": dict(state.operation_counts),
        "keys": dict(state.key_counts),
    }
    return [SendMessage(message.reply_address, Response(200, body))]


def _make_response(message: RunOperation, state: ServiceState) -> Response:
    body: dict[str, object] = {
        "service": state.settings.service,
        "operation": message.operation,
        "key": message.key,
        "digest": xxhash.xxh64_hexdigest(message.body),
    }
    if message.operation == REJECT_OPERATION:
        return Response(422, {**body, "error": "the operation rejects its input"})
    if message.operation == CRASH_OPERATION:
        return Response(500, {**body, "error": "the operation crashed"})
    return Response(200, body)
