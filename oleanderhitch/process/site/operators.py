"""The HTTP service for operators, which every store offers."""

from collections.abc import Callable
from datetime import datetime, timedelta
from functools import singledispatch
from itertools import count
from typing import Protocol

import logbook
from msgspec import Struct, field

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
from oleanderhitch.process.repair.messages import (
    GetRetirement,
    RetireStore,
    StoreStandingFound,
    TooFewStores,
)
from oleanderhitch.process.repair.states import StoreStanding
from oleanderhitch.process.site.group import SITE_GROUP, SITE_GROUPS
from oleanderhitch.process.site.messages import CommandRefused
from oleanderhitch.values import Value

# Operators' clients try another store after 1 s without a response.
CALL_TIMEOUT = timedelta(milliseconds=950)

log = logbook.Logger("operators")


class OperatorRequest(Value, frozen=True):
    """The command or read of the group that an operator's call requests."""

    body: object
    is_read: bool


class OperatorDialect(Protocol):
    """Conversion between operators' HTTP calls and commands or reads of the group."""

    def read_call(self, request: HttpRequest) -> OperatorRequest | HttpResponse:
        """Return the command or read of a call, or the response to an invalid call."""

    def make_response(self, result: object) -> HttpResponse:
        """Return the response for a result of the group."""

    def make_unavailable_response(self, reason: str) -> HttpResponse:
        """Return the response to a call that got no result in time."""


class OperatorDependencies(Struct):
    """Collaborators that all operators' calls share."""

    dialect: OperatorDialect
    group_client: Address
    codec: Codec
    metrics: Metrics
    call_numbers: "count[int]" = field(default_factory=lambda: count(1))


def make_operator_service(
    dependencies: OperatorDependencies,
) -> Callable[[HttpRequest, ResponseWriter, Mailbox, datetime], None]:
    """Return the function that serves one operator's call."""

    def serve(
        request: HttpRequest, writer: ResponseWriter, mailbox: Mailbox, now: datetime
    ) -> None:
        operator_request = dependencies.dialect.read_call(request)
        if isinstance(operator_request, HttpResponse):
            response = operator_request
        else:
            response = _submit_to_groups(operator_request, dependencies)
        log.info(
            "operator call answered",
            method=request.method,
            target=request.target,
            status=response.status,
            detail=response.body[:200].decode("latin-1")
            if response.status >= 400
            else "",
        )
        dependencies.metrics.count(Counter.OPERATOR_CALLS, str(response.status))
        writer.respond(response)

    return serve


def _submit_to_groups(
    operator_request: OperatorRequest, dependencies: OperatorDependencies
) -> HttpResponse:
    reply_mailbox = make_mailbox("operator call")
    tag = f"operator-{next(dependencies.call_numbers)}"
    body = dependencies.codec.encode(operator_request.body)
    groups = list_concerned_groups(operator_request.body)
    for group in groups:
        dependencies.group_client.send(
            SubmitToGroup(
                group, body, operator_request.is_read, CALL_TIMEOUT, tag, reply_mailbox
            )
        )
    results: list[object] = []
    for _ in groups:
        reply = reply_mailbox.receive()
        if not isinstance(reply, GroupResult):
            reason = reply.reason if isinstance(reply, GroupTimedOut) else "no answer"
            return dependencies.dialect.make_unavailable_response(reason)
        results.append(dependencies.codec.decode(reply.body))
    return dependencies.dialect.make_response(combine_results(results))


@singledispatch
def list_concerned_groups(body: object) -> tuple[GroupId, ...]:
    """Return the groups that a command or read goes to."""
    return (SITE_GROUP,)


@list_concerned_groups.register(RetireStore)
@list_concerned_groups.register(GetRetirement)
def _(body: RetireStore | GetRetirement) -> tuple[GroupId, ...]:
    return SITE_GROUPS


def combine_results(results: list[object]) -> object:
    """Return the result of an operator's call for those of all groups.

    A store is retired once it is in all groups. It is unknown only if no group knows
    it: a new store registers with one group after the other.
    """
    refusal = next((r for r in results if isinstance(r, TooFewStores)), None)
    if len(results) == 1 or refusal is not None:
        return refusal or results[0]
    standings = [r.standing for r in results if isinstance(r, StoreStandingFound)]
    if not standings:
        return results[0]
    if len(standings) == len(results) and set(standings) == {StoreStanding.RETIRED}:
        return StoreStandingFound(StoreStanding.RETIRED)
    if len(standings) < len(results):
        return CommandRefused("the store is not registered with all groups yet")
    return StoreStandingFound(StoreStanding.RETIRING)
