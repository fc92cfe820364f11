"""Answer the calls of operators on any store."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from itertools import count
from typing import Protocol

import logbook

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.http.caller import ResponseWriter
from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse
from oleanderhitch.process.address import Address
from oleanderhitch.process.groups.client.messages import (
    GroupResult,
    GroupTimedOut,
    SubmitToGroup,
)
from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.mailbox import Mailbox, make_mailbox
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter

# An operator asks another store after a second without an answer.
CALL_TIMEOUT = timedelta(milliseconds=950)

log = logbook.Logger("operators")


@dataclass(frozen=True, slots=True)
class OperatorQuestion:
    """Hold a command or a read for the group."""

    body: object
    is_read: bool


class OperatorDialect(Protocol):
    """Translate the calls of operators and their answers."""

    def read_call(self, request: HttpRequest) -> OperatorQuestion | HttpResponse:
        """Return what a call asks of the group, or the answer to a bad call."""

    def make_answer(self, result: object) -> HttpResponse:
        """Return the answer that stands for a result of the group."""

    def make_unavailable(self, reason: str) -> HttpResponse:
        """Return the answer to a call that the group did not answer in time."""


@dataclass(slots=True)
class OperatorParts:
    """Hold what all calls of operators share."""

    dialect: OperatorDialect
    group: GroupId
    records: Address
    codec: Codec
    metrics: Metrics
    numbers: "count[int]" = field(default_factory=lambda: count(1))


def make_operator_service(
    parts: OperatorParts,
) -> Callable[[HttpRequest, ResponseWriter, Mailbox, datetime], None]:
    """Return the function that serves one call."""

    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        question = parts.dialect.read_call(request)
        if isinstance(question, HttpResponse):
            response = question
        else:
            response = _ask_group(question, parts)
        log.info(
            "operator call answered",
            method=request.method,
            target=request.target,
            status=response.status,
            detail=response.body[:200].decode("latin-1")
            if response.status >= 400
            else "",
        )
        parts.metrics.count(Counter.OPERATOR_CALLS, str(response.status))
        writer.respond(response)

    return serve


def _ask_group(question: OperatorQuestion, parts: OperatorParts) -> HttpResponse:
    reply = make_mailbox("operator call")
    tag = f"operator-{next(parts.numbers)}"
    body = parts.codec.encode(question.body)
    parts.records.send(
        SubmitToGroup(parts.group, body, question.is_read, CALL_TIMEOUT, tag, reply)
    )
    answer = reply.receive()
    if isinstance(answer, GroupResult):
        return parts.dialect.make_answer(parts.codec.decode(answer.body))
    reason = answer.reason if isinstance(answer, GroupTimedOut) else "no answer"
    return parts.dialect.make_unavailable(reason)
