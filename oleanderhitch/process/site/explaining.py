"""Explain what an entry host of a site would do with a caller's request now.

The host's own code reads the request, judges its arrival and makes the messages to
quotas and placement, which explain what they would answer. Nothing is sent or recorded.
"""

from copy import deepcopy
from datetime import datetime, timedelta
from functools import partial

from msgspec.structs import replace

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.server import PeerServer
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.explaining.messages import (
    ExplainRequest,
    Explanation,
    Fact,
    SchedulingExplanation,
    make_fact,
)
from oleanderhitch.process.explaining.service import (
    ask_task,
    make_explain_server,
    make_explain_service,
)
from oleanderhitch.process.explaining.states import (
    ExplainVerdict,
    FactKind,
    Unchecked,
)
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.placement.messages import ExplainPlacement
from oleanderhitch.process.quotas.messages import CreditExplained, ExplainCredit
from oleanderhitch.process.site.settings import SiteSettings
from oleanderhitch.process.site.subscription.installed_state import InstalledState
from oleanderhitch.program.ids import AccountId
from oleanderhitch.request.forwarding.attempts import request_endpoint
from oleanderhitch.request.forwarding.crediting import request_credit
from oleanderhitch.request.forwarding.identity import Admission, judge_arrival
from oleanderhitch.request.forwarding.messages import (
    ForwardRequest,
    RequestCredit,
    RequestEndpoint,
)
from oleanderhitch.request.forwarding.state import ForwardState
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.forwarding.task import (
    ARRIVAL_FAULTS,
    STOPPING_FAULT,
    ForwardDependencies,
    make_acquire,
    make_acquire_credit,
    make_admitted_state,
    outlasts_host,
)
from oleanderhitch.version.routes.configuration import RouteTable

# Requests of callers have numbers from 1 on.
EXPLAINED_NUMBER = 0
ARRIVAL_VERDICTS = {
    Verdict.NOT_CURRENT: ExplainVerdict.NOT_CURRENT,
    Verdict.NO_ROUTE: ExplainVerdict.UNKNOWN_ROUTE,
    Verdict.UNAUTHORIZED: ExplainVerdict.UNKNOWN_KEY,
}


def make_site_explain_server(
    settings: SiteSettings, dependencies: ForwardDependencies
) -> PeerServer:
    """Return the server that explains what a host does with callers' requests.

    It listens, once it is started, at the address that the host's node id is.
    """
    node = settings.node
    answer = partial(explain_request, host=node, dependencies=dependencies)
    service = make_explain_service(node, answer, dependencies.metrics)
    identity = Identity(node, settings.peer_key)
    return make_explain_server(HostAddress(node), identity, service)


def explain_request(
    call: ExplainRequest, host: NodeId, dependencies: ForwardDependencies
) -> Explanation:
    """Return what would happen to a request that arrives now.

    Raise UnavailableError if a task of the host does not answer in time.
    """
    now = dependencies.clock.now()
    installed = dependencies.installed_state
    table = installed.table
    if table is None:
        return Explanation(
            call.number,
            host,
            ExplainVerdict.NOT_CURRENT,
            ARRIVAL_FAULTS[Verdict.NOT_READY],
        )
    facts = _list_facts(installed)
    explain = partial(Explanation, call.number, host, version=table.version)
    try:
        request = dependencies.dialect.read_request(call.request)
    except InvalidInputError as error:
        return explain(ExplainVerdict.MALFORMED, str(error), facts=facts)
    if call.account is not None:
        keyed = _use_account(request, call.account, table)
        if keyed is None:
            detail = f"version {table.version} has no account {call.account} with a key"
            return explain(ExplainVerdict.UNKNOWN_ID, detail, facts=facts)
        request = keyed
    admission = judge_arrival(request, table, installed.lease_state)
    if isinstance(admission, Verdict):
        detail = ARRIVAL_FAULTS[admission].format(version=table.version)
        return explain(ARRIVAL_VERDICTS[admission], detail, facts=facts)
    fraction = deepcopy(dependencies.random_source).random()
    state = make_admitted_state(
        request, admission, fraction, EXPLAINED_NUMBER, now, dependencies
    )
    explain = partial(explain, route=admission.route.name, service=state.service)
    if outlasts_host(state, dependencies):
        return explain(ExplainVerdict.STOPPING, STOPPING_FAULT, facts=facts)
    return _explain_admitted(explain, facts, state, admission, dependencies)


def _use_account(
    request: ForwardRequest, name: AccountId, table: RouteTable
) -> ForwardRequest | None:
    """Return the request as if it came with a key of an account, None without one."""
    for account in table.configuration.accounts or ():
        if account.account == name and account.keys:
            return replace(request, key=account.keys[0])
    return None


def _explain_admitted(
    explain: partial[Explanation],
    host_facts: tuple[Fact, ...],
    state: ForwardState,
    admission: Admission,
    dependencies: ForwardDependencies,
) -> Explanation:
    now = state.started_at
    credit = _explain_credit(state, now, dependencies)
    placed = _explain_placement(state, now, dependencies)
    unchecked = []
    if state.request.turn is not None:
        unchecked.append(Unchecked.RECORD)
    if credit is not None and not credit.is_held:
        unchecked.append(Unchecked.CREDIT)
    if placed.verdict is ExplainVerdict.ASKS_LEADER:
        unchecked.append(Unchecked.PERMIT)
    facts = [*host_facts, *placed.facts]
    account = admission.identity.account
    share = replace(
        placed.share,
        requests_per_s=None if account is None else account.requests_per_s,
    )
    verdict, detail, wait = placed.verdict, placed.detail, placed.expected_wait
    if credit is not None:
        facts.append(make_fact(FactKind.CREDITS, credit.asked_at, now))
        share = replace(share, n_credits=credit.n_held)
        if not credit.is_held:
            wait = credit.wait or None
            detail = f"for a credit of the account; with one: {verdict.value} {detail}"
            verdict, detail = ExplainVerdict.ASKS_LEADER, detail.rstrip()
        elif credit.wait > timedelta(0):
            detail = f"until its credit can be used; then: {verdict.value} {detail}"
            verdict, detail = ExplainVerdict.QUEUED, detail.rstrip()
            wait = credit.wait + (wait or timedelta(0))
    return explain(
        verdict,
        detail,
        expected_wait=wait,
        n_ahead=placed.n_ahead,
        share=share,
        unchecked=tuple(unchecked),
        facts=tuple(facts),
        endpoints=placed.endpoints,
        n_omitted=placed.n_omitted,
    )


def _explain_credit(
    state: ForwardState, now: datetime, dependencies: ForwardDependencies
) -> CreditExplained | None:
    """Return what quotas would answer, None where no credit is needed."""
    if not state.needs_credit or dependencies.quotas is None:
        return None
    (effect,) = request_credit(state, now)
    assert isinstance(effect, RequestCredit)
    mailbox = make_mailbox("explained credit")
    acquire = make_acquire_credit(effect, state, mailbox)
    return ask_task(
        dependencies.quotas, ExplainCredit(acquire), mailbox, CreditExplained
    )


def _explain_placement(
    state: ForwardState, now: datetime, dependencies: ForwardDependencies
) -> SchedulingExplanation:
    (effect,) = request_endpoint(state, now)
    assert isinstance(effect, RequestEndpoint)
    mailbox = make_mailbox("explained placement")
    question = ExplainPlacement(make_acquire(effect, state, mailbox), mailbox)
    return ask_task(dependencies.placement, question, mailbox, SchedulingExplanation)


def _list_facts(installed: InstalledState) -> tuple[Fact, ...]:
    now = installed.boot_clock.now()
    facts = [make_fact(FactKind.CONFIGURATION, installed.installed_at, now)]
    if installed.terms is not None:
        lease = installed.lease
        began_at = None if lease is None else lease.began_at
        facts.append(make_fact(FactKind.LEASE, began_at, now))
    return tuple(facts)
