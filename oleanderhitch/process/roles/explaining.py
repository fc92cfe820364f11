"""Explain what an entry host of the product would do with a caller's call now.

The host's own code parses the call, and its intake, the shard of the program and the
queue of the pool say what they would answer. Nothing is begun, queued or sent.
"""

from collections.abc import Callable
from datetime import timedelta
from functools import partial

from bottle import WSGIHeaderDict
from msgspec.structs import replace

from oleanderhitch.connection.caller.exceptions import CallRefusedError
from oleanderhitch.connection.caller.parsing import parse_call
from oleanderhitch.connection.caller.wsgi import make_environment
from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.http.messages import HttpRequest
from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.explaining.messages import (
    AccountShare,
    ExplainRequest,
    Explanation,
    SchedulingExplanation,
)
from oleanderhitch.process.explaining.service import (
    ExplainService,
    ask_task,
    make_explain_service,
)
from oleanderhitch.process.explaining.states import ExplainVerdict, Unchecked
from oleanderhitch.process.groups.client.messages import GroupResult, SubmitToGroup
from oleanderhitch.process.ids import GroupId, NodeId
from oleanderhitch.process.intake.messages import (
    CallExplained,
    ExplainCall,
    IncomingCall,
)
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.routing.messages import ExplainEnqueue, OwnerElsewhere
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.program.messages import Begun, GetContext, Refused
from oleanderhitch.request.attempts import enqueue_call
from oleanderhitch.request.messages import Call, EnqueueCall
from oleanderhitch.request.state import make_request_state
from oleanderhitch.request.states import Reason
from oleanderhitch.request.task import make_enqueue
from oleanderhitch.values import Value

SHARD_TIMEOUT = timedelta(milliseconds=1500)
ACCOUNT_HEADER = "x-account"
VERDICTS = {
    Reason.BAD_REQUEST: ExplainVerdict.MALFORMED,
    Reason.BODY_TOO_LARGE: ExplainVerdict.MALFORMED,
    Reason.NOT_FOUND: ExplainVerdict.UNKNOWN_ROUTE,
    Reason.UNKNOWN_MODEL: ExplainVerdict.UNKNOWN_ROUTE,
    Reason.UNKNOWN_SERVICE: ExplainVerdict.UNKNOWN_ROUTE,
    Reason.UNKNOWN_PROGRAM: ExplainVerdict.UNKNOWN_ID,
    Reason.NO_LEASE: ExplainVerdict.NOT_CURRENT,
    Reason.SHUTTING_DOWN: ExplainVerdict.STOPPING,
    Reason.LIMIT_EXCEEDED: ExplainVerdict.OVER_LIMIT,
    Reason.REQUEST_IN_PROGRESS: ExplainVerdict.IN_PROGRESS,
}


class EntryExplainDependencies(Value, frozen=True):
    """The tasks of an entry host that decide on a call."""

    node: NodeId
    clock: Clock
    codec: Codec
    group_client: Address
    intake: Address
    router: Address
    get_group: Callable[[ProgramId], GroupId]


def make_entry_explain_service(
    dependencies: EntryExplainDependencies, metrics: Metrics
) -> ExplainService:
    """Return the service that explains what the host does with callers' calls."""
    answer = partial(explain_call, dependencies=dependencies)
    return make_explain_service(dependencies.node, answer, metrics)


def explain_call(
    request: ExplainRequest, dependencies: EntryExplainDependencies
) -> Explanation:
    """Return what would happen to a call that arrives now.

    Raise UnavailableError if a task of the host or the shard does not answer in time.
    """
    explain = partial(Explanation, request.number, dependencies.node)
    try:
        incoming = read_call(request.request, request.account)
    except CallRefusedError as error:
        return explain(_find_verdict(error.reason), error.detail)
    mailbox = make_mailbox("explained call")
    question = ExplainCall(incoming, mailbox)
    admitted = ask_task(dependencies.intake, question, mailbox, CallExplained)
    explain = partial(explain, version=admitted.version, facts=admitted.facts)
    call = admitted.result
    if not isinstance(call, Call):
        verdict = _find_verdict(call.reason)
        if verdict is ExplainVerdict.NOT_ALLOWED and not admitted.is_account_known:
            verdict = ExplainVerdict.UNKNOWN_ID
        return explain(verdict, call.detail, expected_wait=call.retry_after)
    context = _read_context(incoming, dependencies)
    if isinstance(context, Refused):
        return explain(ExplainVerdict.UNKNOWN_ID, context.detail)
    explain = partial(
        explain,
        route=request.request.path,
        service=call.pool,
        unchecked=(Unchecked.RECORD,),
    )
    return _explain_queue(explain, call, context, dependencies)


def read_call(request: HttpRequest, account: AccountId | None) -> IncomingCall:
    """Return the call of a request, as that of an account if one is given.

    Raise CallRefusedError.
    """
    headers = request.headers
    if account is not None:
        others = (item for item in headers if item[0] != ACCOUNT_HEADER)
        headers = (*others, (ACCOUNT_HEADER, account))
    environment = make_environment(replace(request, headers=headers))
    return parse_call(
        request.method,
        environment["PATH_INFO"],
        WSGIHeaderDict(environment),
        request.body,
    )


def _find_verdict(reason: Reason) -> ExplainVerdict:
    return VERDICTS.get(reason, ExplainVerdict.NOT_ALLOWED)


def _read_context(
    call: IncomingCall, dependencies: EntryExplainDependencies
) -> Begun | Refused:
    """Return the usage and history of the call's program, as its shard has them."""
    mailbox = make_mailbox("explained program")
    query = GetContext(call.program, call.account)
    dependencies.group_client.send(
        SubmitToGroup(
            dependencies.get_group(call.program),
            dependencies.codec.encode(query),
            True,
            SHARD_TIMEOUT,
            "explain",
            mailbox,
        )
    )
    reply = mailbox.receive(SHARD_TIMEOUT * 2)
    result = None
    if isinstance(reply, GroupResult):
        result = dependencies.codec.decode(reply.body)
    if not isinstance(result, Begun | Refused):
        raise UnavailableError("the program's shard does not answer")
    return result


def _explain_queue(
    explain: partial[Explanation],
    call: Call,
    context: Begun,
    dependencies: EntryExplainDependencies,
) -> Explanation:
    state = make_request_state(call)
    state.begun = context
    (effect,) = enqueue_call(state)
    assert isinstance(effect, EnqueueCall)
    now = dependencies.clock.now()
    enqueue = make_enqueue(effect, call, dependencies.node, now)
    mailbox = make_mailbox("explained slot")
    question = ExplainEnqueue(enqueue, mailbox)
    answer = ask_task(dependencies.router, question, mailbox, object)
    if isinstance(answer, OwnerElsewhere):
        at = "" if answer.address is None else f" at {answer.address}"
        detail = f"{answer.node}{at} owns the pool; ask that host"
        return explain(
            ExplainVerdict.ASKS_OWNER,
            detail,
            share=AccountShare(call.account),
            unchecked=(Unchecked.RECORD, Unchecked.QUEUE_OF_OWNER),
        )
    assert isinstance(answer, SchedulingExplanation)
    return explain(
        answer.verdict,
        answer.detail,
        expected_wait=answer.expected_wait,
        n_ahead=answer.n_ahead,
        share=answer.share,
        endpoints=tuple(
            replace(item, data_centre=call.endpoints[item.endpoint].data_centre)
            if item.endpoint in call.endpoints
            else item
            for item in answer.endpoints
        ),
        n_omitted=answer.n_omitted,
    )
