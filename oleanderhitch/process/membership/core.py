"""Decide which leases the configuration leader grants and which version is in force."""

from collections.abc import Iterator
from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.process.configuration.core import list_changes
from oleanderhitch.process.configuration.messages import ConfigurationAccepted
from oleanderhitch.process.ids import Term
from oleanderhitch.process.membership.messages import (
    CompileConfiguration,
    DescriptionRequested,
    GetLocalNodeStatus,
    HeartbeatRedirected,
    LeadershipConfirmed,
    LeadershipGained,
    LeadershipLost,
    LeaseGranted,
    NodeHeartbeat,
    NodeStatus,
    NodeStatusRow,
    PoolOwner,
    PoolsDeclared,
    SendReply,
    SendToNode,
    TableChange,
    VersionPushed,
)
from oleanderhitch.process.membership.owners import assign_owners, record_owner_claims
from oleanderhitch.process.membership.table import (
    MembershipTable,
    NodeRecord,
    compute_time_left,
    delete_gone_nodes,
    find_node_state,
    find_table_change,
    refresh_row,
)
from oleanderhitch.process.membership.timing import (
    LEASE_DURATION,
    LEASE_MARGIN,
    NODE_LEASE_DURATION,
    PUSH_RETRY_INTERVAL,
)
from oleanderhitch.process.messages import Tick
from oleanderhitch.values import Value
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.documents import ConfigurationDocument
from oleanderhitch.version.ids import (
    NO_VERSION,
    ConfigurationVersion,
    DataCentreName,
    DocumentName,
    PoolId,
    RegionName,
)

NO_LEASE = timedelta(0)


class VersionAcceptance(Value, frozen=True):
    """The time at which this store recorded that a version was accepted."""

    version: ConfigurationVersion
    recorded_at: datetime


class MembershipState(Struct):
    """The state of a store's membership task, none of which is persisted.

    `version` is the accepted version. A store that does not lead keeps the accepted
    documents but no table. No other store can lead before `leads_until`; `leader` is
    the store that leads, if known.
    """

    term: Term | None = None
    leads_since: datetime | None = None
    leads_until: datetime | None = None
    leader: HostPort | None = None
    version: ConfigurationVersion = NO_VERSION
    documents: dict[DocumentName, ConfigurationDocument] = field(default_factory=dict)
    removals: dict[DocumentName, ConfigurationVersion] = field(default_factory=dict)
    acceptances: list[VersionAcceptance] = field(default_factory=list)
    pools: dict[PoolId, RegionName] = field(default_factory=dict)
    data_centres: dict[DataCentreName, RegionName] = field(default_factory=dict)
    table: MembershipTable = field(default_factory=MembershipTable)


def make_membership_state() -> MembershipState:
    """Return the state of a store that does not lead."""
    return MembershipState()


def is_leading(state: MembershipState, now: datetime) -> bool:
    """Return whether this store leads, so that no other store can."""
    return state.leads_until is not None and now < state.leads_until


def find_version_in_force(
    state: MembershipState, now: datetime
) -> ConfigurationVersion | None:
    """Return the oldest version that work may start under, or None if unknown.

    A new leader has no record of the leases that its predecessor granted and waits
    until they have expired.
    """
    if not is_leading(state, now) or not _have_earlier_leases_expired(state, now):
        return None
    leased = [
        record.leased_version
        for record in state.table.nodes.values()
        if record.has_lease(now)
    ]
    return min([state.version, *leased])


@singledispatch
def handle(message: object, state: MembershipState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(
        f"membership does not support message type {type(message).__name__}"
    )


@handle.register
def _(message: LeadershipGained, state: MembershipState, now: datetime) -> list[object]:
    state.term = message.term
    state.leads_since = now
    state.leads_until = message.valid_until
    state.leader = None
    state.table = MembershipTable()
    # Leases granted by the previous leader may still run under older versions.
    state.acceptances = [VersionAcceptance(state.version, now)]
    return []


@handle.register
def _(
    message: LeadershipConfirmed, state: MembershipState, now: datetime
) -> list[object]:
    if message.term == state.term and state.leads_until is not None:
        state.leads_until = max(state.leads_until, message.valid_until)
    return []


@handle.register
def _(message: LeadershipLost, state: MembershipState, now: datetime) -> list[object]:
    state.leads_since = None
    state.leads_until = None
    state.leader = message.leader
    state.table = MembershipTable()
    return []


@handle.register
def _(
    message: ConfigurationAccepted, state: MembershipState, now: datetime
) -> list[object]:
    if message.version <= state.version:
        return []
    state.version = message.version
    state.documents = {document.name: document for document in message.documents}
    state.removals = dict(message.removals)
    state.acceptances.append(VersionAcceptance(state.version, now))
    _drop_old_acceptances(state, now)
    effects: list[object] = []
    if is_leading(state, now):
        for record in state.table.nodes.values():
            effects.extend(_push_version(record, state, now))
    return [*effects, CompileConfiguration(message.version, message.documents)]


@handle.register
def _(message: PoolsDeclared, state: MembershipState, now: datetime) -> list[object]:
    state.pools = dict(message.pools)
    state.data_centres = dict(message.data_centres)
    return []


@handle.register
def _(message: NodeHeartbeat, state: MembershipState, now: datetime) -> list[object]:
    if not is_leading(state, now):
        return [_make_redirect(message, state)]
    record = _find_or_create_record(message, state, now)
    if record is None:
        return [
            SendToNode(
                message.node,
                DescriptionRequested(message.node, message.incarnation, message.number),
            )
        ]
    if message.number <= record.heartbeat_number:
        return []
    _record_heartbeat(record, message, state, now)
    lease = _grant_lease(record, state, now)
    refresh_row(state.table, record, now)
    granted = LeaseGranted(
        message.node,
        message.incarnation,
        message.number,
        state.term or Term(0),
        lease,
        state.version,
        # A node without a lease owns no pool and must not act on the table.
        None if lease == NO_LEASE else _find_table_change(message, state, now),
    )
    return [SendToNode(message.node, granted), *_push_version(record, state, now)]


@handle.register
def _(message: Tick, state: MembershipState, now: datetime) -> list[object]:
    if not is_leading(state, now):
        return []
    for record in state.table.nodes.values():
        refresh_row(state.table, record, now)
    delete_gone_nodes(state.table, now)
    if _have_earlier_leases_expired(state, now):
        assign_owners(state.table, state.pools, state.data_centres, now)
    return []


@handle.register
def _(
    message: GetLocalNodeStatus, state: MembershipState, now: datetime
) -> list[object]:
    return [SendReply(message.reply_address, make_status(state, now))]


def make_status(state: MembershipState, now: datetime) -> NodeStatus:
    """Return the status for operators."""
    leading = is_leading(state, now)
    records = state.table.nodes.values() if leading else ()
    return NodeStatus(
        leading,
        state.leader,
        state.version,
        find_version_in_force(state, now),
        tuple(
            NodeStatusRow(
                record.node,
                find_node_state(record, now),
                record.description.role,
                record.description.data_centre,
                record.installed_version,
            )
            for record in records
        ),
        tuple(
            PoolOwner(pool, owner.owner) for pool, owner in state.table.owners.items()
        ),
    )


def _have_earlier_leases_expired(state: MembershipState, now: datetime) -> bool:
    return state.leads_since is not None and now >= state.leads_since + LEASE_DURATION


def _make_redirect(message: NodeHeartbeat, state: MembershipState) -> SendToNode:
    return SendToNode(
        message.node,
        HeartbeatRedirected(
            message.node, message.incarnation, message.number, state.leader
        ),
    )


def _find_or_create_record(
    message: NodeHeartbeat, state: MembershipState, now: datetime
) -> NodeRecord | None:
    """Return the sender's record, created or updated from its description.

    Return None if a new process of the node omitted its description. While leases of an
    earlier leader may still run, also record the pools that the description claims.
    """
    record = state.table.nodes.get(message.node)
    description = message.description
    if record is None:
        if description is None:
            return None
        record = NodeRecord(message.node, message.incarnation, description, now)
        state.table.nodes[message.node] = record
    elif record.incarnation != message.incarnation:
        if description is None:
            return None
        record.incarnation = message.incarnation
        record.heartbeat_number = -1
        record.pushed_version = NO_VERSION
    if description is not None and message.number > record.heartbeat_number:
        record.description = description
        if not _have_earlier_leases_expired(state, now):
            record_owner_claims(state.table, message)
    return record


def _record_heartbeat(
    record: NodeRecord, message: NodeHeartbeat, state: MembershipState, now: datetime
) -> None:
    record.heartbeat_number = message.number
    record.last_contact_at = now
    record.installed_version = message.installed_version
    is_this_term = message.table_term == state.term
    record.confirmed_table_number = message.table_number if is_this_term else 0


def _grant_lease(
    record: NodeRecord, state: MembershipState, now: datetime
) -> timedelta:
    lease = _choose_lease_duration(record, state, now)
    if lease == NO_LEASE:
        return lease
    until = now + lease + LEASE_MARGIN
    version = record.installed_version
    if record.lease_until is not None and record.has_lease(now):
        until = max(until, record.lease_until)
        if record.lease_incarnation != record.incarnation:
            # The node's previous process may still run under its own version.
            version = min(version, record.leased_version)
    record.lease_until = until
    record.leased_version = version
    record.lease_incarnation = record.incarnation
    return lease


def _choose_lease_duration(
    record: NodeRecord, state: MembershipState, now: datetime
) -> timedelta:
    """Return a full lease, or the time for which an old version may still be used.

    A node with a lease may continue under its old version until one lease duration
    after the next version was accepted, so that each version is in force by then. A
    node without a lease needs the accepted version first, because it could otherwise
    start work under a version older than the one in force.
    """
    if record.installed_version >= state.version:
        return NODE_LEASE_DURATION
    is_holder = record.has_lease(now) and record.lease_incarnation == record.incarnation
    next_acceptance = next(
        (
            acceptance
            for acceptance in state.acceptances
            if acceptance.version > record.installed_version
        ),
        None,
    )
    if (
        not is_holder
        or next_acceptance is None
        or record.installed_version == NO_VERSION
    ):
        return NO_LEASE
    return min(
        NODE_LEASE_DURATION,
        compute_time_left(next_acceptance.recorded_at + NODE_LEASE_DURATION, now),
    )


def _drop_old_acceptances(state: MembershipState, now: datetime) -> None:
    # An acceptance limits the leases under older versions, which have all expired one
    # lease duration later.
    acceptances = state.acceptances
    while len(acceptances) > 1 and acceptances[0].recorded_at + LEASE_DURATION < now:
        del acceptances[0]


def _find_table_change(
    message: NodeHeartbeat, state: MembershipState, now: datetime
) -> TableChange | None:
    if not _have_earlier_leases_expired(state, now):
        # The owners are not determined yet; nodes keep the table that they have.
        return None
    reported_number = message.table_number if message.table_term == state.term else None
    return find_table_change(state.table, reported_number)


def _push_version(
    record: NodeRecord, state: MembershipState, now: datetime
) -> Iterator[SendToNode]:
    if record.installed_version >= state.version:
        return
    is_pushed = record.pushed_version >= state.version
    if (
        is_pushed
        and record.pushed_at is not None
        and now - record.pushed_at < PUSH_RETRY_INTERVAL
    ):
        return
    documents, removed = list_changes(
        state.documents, state.removals, record.installed_version
    )
    record.pushed_version = state.version
    record.pushed_at = now
    yield SendToNode(
        record.node,
        VersionPushed(state.version, record.installed_version, documents, removed),
    )
