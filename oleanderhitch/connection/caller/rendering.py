"""Render responses as the JSON documents and server-sent events for callers."""

import json
from datetime import timedelta
from functools import singledispatch
from typing import Any

from oleanderhitch.process.intake.messages import IncomingCall
from oleanderhitch.program.messages import ProgramSummary, RequestRecord
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.messages import ModelWork, RespondToCaller, ServiceWork
from oleanderhitch.request.states import Outcome, Reason

HTTP_STATUS = {
    Reason.OK: 200,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.NOT_FOUND: 404,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_PROGRAM: 404,
    Reason.UNKNOWN_REQUEST: 404,
    Reason.PROGRAM_EXISTS: 409,
    Reason.PROGRAM_ENDED: 409,
    Reason.SEQUENCE_OUT_OF_ORDER: 409,
    Reason.PREVIOUS_CALL_OPEN: 409,
    Reason.REQUEST_ID_REUSED: 409,
    Reason.REQUEST_IN_PROGRESS: 409,
    Reason.REPEAT_NOT_ALLOWED: 409,
    Reason.REQUEST_CLOSED: 409,
    Reason.BUDGET_EXCEEDED: 402,
    Reason.ATTEMPT_RECORDED: 409,
    Reason.SUPERSEDED: 409,
    Reason.HISTORY_FULL: 413,
    Reason.PROGRAM_RUNNING: 409,
    Reason.INVALID_COMMAND: 400,
    Reason.LIMIT_EXCEEDED: 429,
    Reason.PLACEMENT_NOT_ALLOWED: 403,
    Reason.POOL_REFUSED: 503,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.STATE_UNAVAILABLE: 503,
    Reason.NO_LEASE: 503,
    Reason.SHUTTING_DOWN: 503,
    Reason.ENDPOINT_FAILED: 502,
    Reason.ENDPOINT_REFUSED: 502,
    Reason.ANSWER_LOST: 502,
}


_REPLAY_DETAIL = {
    Outcome.COMPLETED: "this request id has completed",
    Outcome.FAILED: "this request id has failed; send the next call",
    # The outcome of a request id never changes, because a duplicate of the call may
    # still be in transit to another host.
    Outcome.NOT_RUN: (
        "this request id ended as not run; send the call again with the same "
        "sequence number under a new Idempotency-Key"
    ),
    Outcome.UNKNOWN: (
        "the call of this request id may have run; check before sending it again"
    ),
}


def get_http_status(response: RespondToCaller) -> int:
    """Return the HTTP status of a response."""
    if response.outcome is Outcome.COMPLETED:
        return 200
    if response.is_replay:
        return HTTP_STATUS[Reason.REQUEST_CLOSED]
    return HTTP_STATUS[response.reason]


def render_error(
    reason: Reason,
    detail: str,
    outcome: Outcome,
    retry_after: timedelta | None = None,
    request: RequestId | None = None,
) -> dict[str, Any]:
    """Return an error as the documented JSON object."""
    retry_after_ms = None
    if retry_after is not None:
        retry_after_ms = round(retry_after.total_seconds() * 1000)
    return {
        "error": {
            "code": reason.value,
            "message": detail,
            "outcome": outcome.value,
            "retry_after_ms": retry_after_ms,
            "request": request,
        }
    }


def render_failure(call: IncomingCall, response: RespondToCaller) -> dict[str, Any]:
    """Return a response whose outcome isn't COMPLETED as a JSON object."""
    reason = response.reason
    detail = response.detail
    if response.is_replay:
        reason = Reason.REQUEST_CLOSED
        detail = _REPLAY_DETAIL[response.outcome]
    document = render_error(
        reason, detail, response.outcome, response.retry_after, call.request
    )
    if response.answer:
        document["partial"] = response.answer.decode(errors="replace")
    return document


@singledispatch
def render_completed_response(
    work: object, call: IncomingCall, response: RespondToCaller
) -> bytes:
    """Return the body of the response to a completed call."""
    raise TypeError(
        f"completed response does not support work type {type(work).__name__}"
    )


@render_completed_response.register
def _(work: ModelWork, call: IncomingCall, response: RespondToCaller) -> bytes:
    content = response.answer.decode(errors="replace")
    document = {
        "id": call.request,
        "object": "chat.completion",
        "model": work.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "finish_reason": "stop",
            }
        ],
        "outcome": response.outcome.value,
        "is_replay": response.is_replay,
    }
    return json.dumps(document).encode()


@render_completed_response.register
def _(work: ServiceWork, call: IncomingCall, response: RespondToCaller) -> bytes:
    return response.answer


def render_chunk(call: IncomingCall, model: str, text: str) -> bytes:
    """Return the event for a chunk of a streamed answer."""
    return render_event(
        {
            "id": call.request,
            "object": "chat.completion.chunk",
            "model": model,
            "choices": [{"index": 0, "delta": {"content": text}}],
        }
    )


def render_event(document: dict[str, Any]) -> bytes:
    """Return a JSON object as a server-sent event."""
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def render_program(summary: ProgramSummary) -> dict[str, Any]:
    """Return a program's summary as a JSON object."""
    return {
        "program": summary.program,
        "account": summary.account,
        "parent": summary.parent,
        "next_sequence": summary.next_sequence,
        "n_turns": summary.n_turns,
        "budget_tokens": summary.budget_tokens,
        "reserved_tokens": summary.reserved_tokens,
        "spent_tokens": summary.spent_tokens,
        "end_reason": None if summary.end_reason is None else summary.end_reason.value,
    }


def render_record(record: RequestRecord) -> dict[str, Any]:
    """Return a request's record as a JSON object."""
    return {
        "request": record.request,
        "program": record.program,
        "sequence": record.sequence,
        "progress": record.progress.value,
        "outcome": None if record.outcome is None else record.outcome.value,
        "n_attempts": record.n_attempts,
        "answer": record.answer.decode(errors="replace"),
    }
