"""Decide which calls an entry host admits."""

from collections.abc import Sequence
from datetime import UTC, datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field
from msgspec.structs import replace

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.intake.limits import make_admission_rules
from oleanderhitch.process.intake.messages import (
    BeginDrain,
    CheckRequestOwner,
    Drained,
    GetProgramLimits,
    GetReadiness,
    IncomingCall,
    ProgramLimits,
    PropagateConfiguration,
    Readiness,
    RequestEnded,
    SendReply,
    StartRequest,
    SubmitCall,
    UpdateRouter,
)
from oleanderhitch.process.intake.work import (
    get_max_turn_tokens,
    get_served_name,
    is_idempotent,
)
from oleanderhitch.process.membership.node.messages import (
    ConfigurationCompiled,
    MembershipView,
    VersionInstalled,
    WorkPermitted,
    WorkStopped,
)
from oleanderhitch.process.membership.timing import LEASE_DURATION
from oleanderhitch.process.routing.messages import (
    NodesGone,
    OwnersChanged,
    PoolsChanged,
)
from oleanderhitch.process.scheduling.messages import EndpointOffer
from oleanderhitch.program.ids import AccountId
from oleanderhitch.request import admission
from oleanderhitch.request.admission import (
    AdmissionRejected,
    AdmissionRules,
    AdmissionState,
    AdmitRequest,
    make_admission_state,
)
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.messages import (
    Call,
    OwnerChecked,
    RespondToCaller,
    Work,
)
from oleanderhitch.request.states import Outcome, Reason
from oleanderhitch.version.configuration import AccountRules, Configuration, Pool
from oleanderhitch.version.exceptions import UndeclaredNameError
from oleanderhitch.version.ids import (
    NO_VERSION,
    DataCentreName,
    PoolId,
)
from oleanderhitch.version.states import HostRole

RETRY_AFTER = timedelta(seconds=1)
# The end of the lease while this host holds none.
NEVER = datetime.min.replace(tzinfo=UTC)


class IntakeState(Struct):
    """State from which an entry host admits calls.

    `first_view_at` is when the first node table arrived, `viewed_at` when the last one
    did; `absent_since` is when a node
    disappeared from it.
    """

    node: NodeId
    data_centre: DataCentreName
    configuration: Configuration | None = None
    configured_at: datetime | None = None
    viewed_at: datetime | None = None
    lease_until: datetime = NEVER
    live_nodes: frozenset[NodeId] = frozenset()
    absent_since: dict[NodeId, datetime] = field(default_factory=dict)
    first_view_at: datetime | None = None
    requests: set[RequestId] = field(default_factory=set)
    owners: dict[PoolId, NodeId] = field(default_factory=dict)
    admission: AdmissionState = field(
        default_factory=lambda: make_admission_state(AdmissionRules())
    )
    drain_reply_address: Address | None = None


def make_intake_state(node: NodeId, data_centre: DataCentreName) -> IntakeState:
    """Return the state of an intake without a configuration and without a lease."""
    return IntakeState(node, data_centre)


@singledispatch
def handle(message: object, state: IntakeState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"intake does not support message type {type(message).__name__}")


@handle.register
def _(message: SubmitCall, state: IntakeState, now: datetime) -> list[object]:
    result = admit(message.call, state, now)
    if isinstance(result, RespondToCaller):
        return [SendReply(message.reply_address, result)]
    state.requests.add(result.request)
    return [StartRequest(result, message.reply_address)]


@handle.register
def _(message: GetProgramLimits, state: IntakeState, now: datetime) -> list[object]:
    refusal = _check_readiness(state, now)
    rules = refusal or _get_account_rules(state, message.account)
    if isinstance(rules, RespondToCaller):
        return [SendReply(message.reply_address, rules)]
    budget = rules.budget_tokens
    if message.budget_tokens is not None:
        budget = min(budget, message.budget_tokens)
    limits = ProgramLimits(budget, rules.n_turns_limit, rules.silence_limit)
    return [SendReply(message.reply_address, limits)]


@handle.register
def _(message: CheckRequestOwner, state: IntakeState, now: datetime) -> list[object]:
    return [
        SendReply(
            message.reply_address, OwnerChecked(_is_node_lost(message, state, now))
        )
    ]


@handle.register
def _(
    message: ConfigurationCompiled, state: IntakeState, now: datetime
) -> list[object]:
    # VersionInstalled confirms to the leader that this host admits every further call
    # under the new version.
    state.configuration, state.configured_at = message.configuration, now
    installed = VersionInstalled(message.configuration.version)
    return [
        SendReply(message.reply_address, installed),
        *_apply_configuration(state, now),
    ]


@handle.register
def _(message: WorkPermitted, state: IntakeState, now: datetime) -> list[object]:
    state.lease_until = message.until
    return []


@handle.register
def _(message: WorkStopped, state: IntakeState, now: datetime) -> list[object]:
    state.lease_until = NEVER
    return []


@handle.register
def _(message: MembershipView, state: IntakeState, now: datetime) -> list[object]:
    addresses = {
        row.node: HostAddress(str(row.address))
        for row in message.nodes
        if row.role is HostRole.ENTRY
    }
    gone_nodes = tuple(node for node in state.live_nodes if node not in addresses)
    state.live_nodes = frozenset(addresses)
    state.first_view_at, state.viewed_at = state.first_view_at or now, now
    state.absent_since.update(dict.fromkeys(gone_nodes, now))
    for node in addresses:
        state.absent_since.pop(node, None)
    state.owners = {
        row.pool: row.owner for row in message.owners if row.owner is not None
    }
    effects: list[object] = [UpdateRouter(OwnersChanged(state.owners, addresses))]
    if gone_nodes:
        effects.append(UpdateRouter(NodesGone(gone_nodes)))
    if state.configuration is not None:
        effects += _apply_configuration(state, now)
    return effects


@handle.register
def _(message: RequestEnded, state: IntakeState, now: datetime) -> list[object]:
    state.requests.discard(message.request)
    admission.handle(admission.EndAdmission(message.request), state.admission, now)
    return _report_drained(state)


@handle.register
def _(message: BeginDrain, state: IntakeState, now: datetime) -> list[object]:
    state.drain_reply_address = message.reply_address
    return _report_drained(state)


@handle.register
def _(message: GetReadiness, state: IntakeState, now: datetime) -> list[object]:
    refusal = _check_readiness(state, now)
    detail = "accepting calls" if refusal is None else refusal.detail
    version = NO_VERSION
    if state.configuration is not None:
        version = state.configuration.version
    readiness = Readiness(refusal is None, detail, len(state.requests), version)
    return [SendReply(message.reply_address, readiness)]


def _is_node_lost(
    message: CheckRequestOwner, state: IntakeState, now: datetime
) -> bool:
    if message.node == state.node:
        # A request that still runs on this host is not admitted a second time, so the
        # record was left by a task that has ended.
        return True
    if message.node in state.live_nodes or state.first_view_at is None:
        return False
    # The node table of a new leader lacks nodes that have not contacted it yet.
    absent_since = state.absent_since.get(message.node, state.first_view_at)
    return now - absent_since >= LEASE_DURATION


def _apply_configuration(state: IntakeState, now: datetime) -> list[object]:
    """Apply this host's share of the limits and pass the configuration on."""
    configuration = state.configuration
    assert configuration is not None
    rules = make_admission_rules(configuration, max(1, len(state.live_nodes)))
    admission.handle(admission.AdmissionRulesChanged(rules), state.admission, now)
    return [
        UpdateRouter(_make_pools_changed(state)),
        PropagateConfiguration(configuration, state.owners),
    ]


def _make_pools_changed(state: IntakeState) -> PoolsChanged:
    assert state.configuration is not None
    offers = {
        pool.id: tuple(
            EndpointOffer(
                endpoint.id,
                endpoint.n_slots,
                endpoint.cache_tokens,
                endpoint.is_leaving,
            )
            for endpoint in pool.endpoints
        )
        for pool in state.configuration.pools.values()
    }
    return PoolsChanged(offers, max(1, len(state.live_nodes)))


def _report_drained(state: IntakeState) -> list[object]:
    if state.drain_reply_address is None or state.requests:
        return []
    return [SendReply(state.drain_reply_address, Drained())]


def admit(
    call: IncomingCall, state: IntakeState, now: datetime
) -> Call | RespondToCaller:
    """Return the call to start, counted against the limits, or why it is refused."""
    refusal = _check_readiness(state, now)
    if refusal is not None:
        return _allow_for_earlier_delivery(refusal, call)
    if call.request in state.requests:
        return RespondToCaller(
            Outcome.UNKNOWN,
            b"",
            Reason.REQUEST_IN_PROGRESS,
            "this request is in progress; ask for its outcome later",
            RETRY_AFTER,
        )
    rules = _get_account_rules(state, call.account)
    if isinstance(rules, RespondToCaller):
        return rules
    pool = _find_pool(state, call.work, rules)
    if isinstance(pool, RespondToCaller):
        return pool
    limit_refusal = _check_limits(call, pool, state, now)
    if limit_refusal is not None:
        return _allow_for_earlier_delivery(limit_refusal, call)
    return _make_call(call, pool, rules, state, now)


def _allow_for_earlier_delivery(
    refusal: RespondToCaller, call: IncomingCall
) -> RespondToCaller:
    """Change the outcome "not run" to "unknown" if the call may be a repeat.

    A call with an idempotency key may be a repeat whose first delivery ran on another
    host. Its record was not looked up, so "not run" could be wrong.
    """
    if not call.has_idempotency_key:
        return refusal
    return replace(
        refusal,
        outcome=Outcome.UNKNOWN,
        detail=f"{refusal.detail}; send it again with the same key",
    )


def _check_limits(
    call: IncomingCall, pool: Pool, state: IntakeState, now: datetime
) -> RespondToCaller | None:
    admit_request = AdmitRequest(
        call.request,
        call.account,
        call.program,
        pool.id,
        pool.region,
        state.data_centre,
    )
    for effect in admission.handle(admit_request, state.admission, now):
        if isinstance(effect, AdmissionRejected):
            return _refuse(Reason.LIMIT_EXCEEDED, effect.detail, effect.retry_after)
    return None


def _make_call(
    call: IncomingCall,
    pool: Pool,
    rules: AccountRules,
    state: IntakeState,
    now: datetime,
) -> Call:
    assert state.configuration is not None
    excluded = tuple(
        endpoint.id
        for endpoint in pool.endpoints
        if not rules.may_run_in(endpoint.data_centre)
    )
    return Call(
        call.request,
        call.account,
        call.program,
        call.sequence,
        pool.id,
        call.work,
        is_idempotent(call.work, state.configuration),
        get_max_turn_tokens(call.work),
        call.digest,
        now + call.caller_timeout,
        state.configuration.endpoints,
        excluded,
        call.has_idempotency_key,
        call.trace,
    )


def _check_readiness(state: IntakeState, now: datetime) -> RespondToCaller | None:
    """Return the refusal for all new work, or None if this host accepts work."""
    if state.drain_reply_address is not None:
        return _refuse(Reason.SHUTTING_DOWN, "this host is shutting down")
    if state.configuration is None:
        return _refuse(Reason.NO_LEASE, "this host has no configuration yet")
    if now >= state.lease_until:
        # Without a lease this host may have missed a change of the rules.
        return _refuse(
            Reason.NO_LEASE, "this host has lost touch with the configuration group"
        )
    return None


def _refuse(
    reason: Reason, detail: str, retry_after: timedelta | None = RETRY_AFTER
) -> RespondToCaller:
    return RespondToCaller(Outcome.NOT_RUN, b"", reason, detail, retry_after)


def _get_account_rules(
    state: IntakeState, account: AccountId
) -> AccountRules | RespondToCaller:
    assert state.configuration is not None
    try:
        return state.configuration.get_account_rules(account)
    except UndeclaredNameError as error:
        return _refuse(Reason.PLACEMENT_NOT_ALLOWED, str(error), None)


def _find_pool(
    state: IntakeState, work: Work, rules: AccountRules
) -> Pool | RespondToCaller:
    configuration = state.configuration
    assert configuration is not None
    name, unknown_reason = get_served_name(work)
    pools = _order_pools(configuration.list_pools(name), state)
    if not pools:
        return _refuse(unknown_reason, f"no endpoint serves {name!r}", None)
    for pool in pools:
        if any(rules.may_run_in(endpoint.data_centre) for endpoint in pool.endpoints):
            return pool
    return _refuse(
        Reason.PLACEMENT_NOT_ALLOWED,
        f"work of account {rules.account} may not run where {name!r} is served",
        None,
    )


def _order_pools(pools: Sequence[Pool], state: IntakeState) -> list[Pool]:
    """Return the pools sorted with those of this host's region first."""
    assert state.configuration is not None
    region = state.configuration.data_centres.get(state.data_centre)
    return sorted(pools, key=lambda pool: pool.region != region)
