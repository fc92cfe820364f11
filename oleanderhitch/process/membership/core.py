"""Decide which leases the configuration leader gives and what is in force."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.process.configuration.core import list_changes
from oleanderhitch.process.configuration.messages import ConfigurationAccepted
from oleanderhitch.process.ids import Term
from oleanderhitch.process.membership.messages import (
    CompilePools,
    DescriptionRequested,
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
    ReplyStatus,
    SendToNode,
    StatusQuery,
    TableChange,
    VersionPushed,
)
from oleanderhitch.process.membership.owners import assign_owners, claim_pools
from oleanderhitch.process.membership.table import (
    NodeRecord,
    Table,
    find_state,
    find_table_change,
    forget_gone,
    lasts,
    refresh_row,
)
from oleanderhitch.process.membership.timing import (
    LEASE_DURATION,
    LEASE_MARGIN,
    NODE_LEASE,
    REPUSH,
)
from oleanderhitch.process.messages import Tick
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


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Hold when this store learnt that a version is accepted."""

    version: ConfigurationVersion
    at: datetime


@dataclass(slots=True)
class MembershipState:
    """Hold the soft state of the configuration leader.

    A store that does not lead keeps the accepted documents and no table.
    """

    term: Term | None = None
    leads_since: datetime | None = None
    leads_until: datetime | None = None
    leader: HostPort | None = None
    version: ConfigurationVersion = NO_VERSION
    documents: dict[DocumentName, ConfigurationDocument] = field(default_factory=dict)
    removals: dict[DocumentName, ConfigurationVersion] = field(default_factory=dict)
    acceptances: list[Acceptance] = field(default_factory=list)
    pools: dict[PoolId, RegionName] = field(default_factory=dict)
    data_centres: dict[DataCentreName, RegionName] = field(default_factory=dict)
    table: Table = field(default_factory=Table)


def make_membership_state() -> MembershipState:
    """Return the state of a store that does not lead."""
    return MembershipState()


def is_leading(state: MembershipState, now: datetime) -> bool:
    """Return whether no other store can lead."""
    return state.leads_until is not None and now < state.leads_until


def find_in_force(state: MembershipState, now: datetime) -> ConfigurationVersion | None:
    """Return the lowest version that work may start under, if it can be known.

    A new leader does not know the leases of the leader before it, and waits
    until they have run out.
    """
    if not is_leading(state, now) or not _knows_all_leases(state, now):
        return None
    leased = [
        record.leased_version
        for record in state.table.nodes.values()
        if record.has_lease(now)
    ]
    return min([state.version, *leased])


@singledispatch
def handle(message: object, state: MembershipState, now: datetime) -> list[object]:
    """Handle a message and return the effects it calls for."""
    raise TypeError(f"membership has no message {type(message).__name__}")


@handle.register
def _(message: LeadershipGained, state: MembershipState, now: datetime) -> list[object]:
    state.term = message.term
    state.leads_since = now
    state.leads_until = message.valid_until
    state.leader = None
    state.table = Table()
    # Nodes may still hold leases under older versions from the leader before.
    state.acceptances = [Acceptance(state.version, now)]
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
    state.table = Table()
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
    state.acceptances.append(Acceptance(state.version, now))
    _drop_old_acceptances(state, now)
    effects: list[object] = []
    if is_leading(state, now):
        for record in state.table.nodes.values():
            effects.extend(_push(record, state, now))
    return [*effects, CompilePools(message.version, message.documents)]


@handle.register
def _(message: PoolsDeclared, state: MembershipState, now: datetime) -> list[object]:
    state.pools = dict(message.pools)
    state.data_centres = dict(message.data_centres)
    return []


@handle.register
def _(message: NodeHeartbeat, state: MembershipState, now: datetime) -> list[object]:
    if not is_leading(state, now):
        return [_make_redirect(message, state)]
    record = _find_record(message, state, now)
    if record is None:
        return [
            SendToNode(
                message.node,
                DescriptionRequested(message.node, message.incarnation, message.number),
            )
        ]
    if message.number <= record.number:
        return []
    _note_heartbeat(record, message, state, now)
    lease = _give_lease(record, state, now)
    refresh_row(state.table, record, now)
    granted = LeaseGranted(
        message.node,
        message.incarnation,
        message.number,
        state.term or Term(0),
        lease,
        state.version,
        # A node without a lease owns no pool and is not to act on the table.
        None if lease == NO_LEASE else _find_table_change(message, state, now),
    )
    return [SendToNode(message.node, granted), *_push(record, state, now)]


@handle.register
def _(message: Tick, state: MembershipState, now: datetime) -> list[object]:
    if not is_leading(state, now):
        return []
    for record in state.table.nodes.values():
        refresh_row(state.table, record, now)
    forget_gone(state.table, now)
    if _knows_all_leases(state, now):
        assign_owners(state.table, state.pools, state.data_centres, now)
    return []


@handle.register
def _(message: StatusQuery, state: MembershipState, now: datetime) -> list[object]:
    return [ReplyStatus(message.reply, make_status(state, now))]


def make_status(state: MembershipState, now: datetime) -> NodeStatus:
    """Return what operators may know."""
    leading = is_leading(state, now)
    records = state.table.nodes.values() if leading else ()
    return NodeStatus(
        leading,
        state.leader,
        state.version,
        find_in_force(state, now),
        tuple(
            NodeStatusRow(
                record.node,
                find_state(record, now),
                record.description.role,
                record.description.data_centre,
                record.installed,
            )
            for record in records
        ),
        tuple(
            PoolOwner(pool, owner.owner) for pool, owner in state.table.owners.items()
        ),
    )


def _knows_all_leases(state: MembershipState, now: datetime) -> bool:
    return state.leads_since is not None and now >= state.leads_since + LEASE_DURATION


def _make_redirect(message: NodeHeartbeat, state: MembershipState) -> SendToNode:
    return SendToNode(
        message.node,
        HeartbeatRedirected(
            message.node, message.incarnation, message.number, state.leader
        ),
    )


def _find_record(
    message: NodeHeartbeat, state: MembershipState, now: datetime
) -> NodeRecord | None:
    """Return the record of the sender, or None if it has yet to describe itself."""
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
        record.number = -1
        record.pushed_version = NO_VERSION
    if description is not None and message.number > record.number:
        record.description = description
        if not _knows_all_leases(state, now):
            claim_pools(state.table, message)
    return record


def _note_heartbeat(
    record: NodeRecord, message: NodeHeartbeat, state: MembershipState, now: datetime
) -> None:
    record.number = message.number
    record.heard_at = now
    record.installed = message.installed_version
    is_this_term = message.table_term == state.term
    record.table_number = message.table_number if is_this_term else 0


def _give_lease(record: NodeRecord, state: MembershipState, now: datetime) -> timedelta:
    lease = _choose_lease(record, state, now)
    if lease == NO_LEASE:
        return lease
    until = now + lease + LEASE_MARGIN
    version = record.installed
    if record.lease_until is not None and record.has_lease(now):
        until = max(until, record.lease_until)
        if record.lease_incarnation != record.incarnation:
            # The process before this one may still run under its own version.
            version = min(version, record.leased_version)
    record.lease_until = until
    record.leased_version = version
    record.lease_incarnation = record.incarnation
    return lease


def _choose_lease(
    record: NodeRecord, state: MembershipState, now: datetime
) -> timedelta:
    """Return a whole lease, or what an old version may still be used for.

    A node that holds a lease may go on under its old version until a whole
    lease after the next version was accepted, so that each version is in force
    by then. A node without a lease needs the accepted version first: it might
    otherwise start work under a version older than the one in force.
    """
    if record.installed >= state.version:
        return NODE_LEASE
    is_holder = record.has_lease(now) and record.lease_incarnation == record.incarnation
    next_one = next(
        (entry for entry in state.acceptances if entry.version > record.installed), None
    )
    if not is_holder or next_one is None or record.installed == NO_VERSION:
        return NO_LEASE
    return min(NODE_LEASE, lasts(next_one.at + NODE_LEASE, now))


def _drop_old_acceptances(state: MembershipState, now: datetime) -> None:
    # An acceptance is needed until the version after it is a lease old.
    entries = state.acceptances
    while len(entries) > 1 and entries[0].at + LEASE_DURATION < now:
        del entries[0]


def _find_table_change(
    message: NodeHeartbeat, state: MembershipState, now: datetime
) -> TableChange | None:
    if not _knows_all_leases(state, now):
        # The owners are not known yet; nodes go on with the table they have.
        return None
    known = message.table_number if message.table_term == state.term else None
    return find_table_change(state.table, known)


def _push(
    record: NodeRecord, state: MembershipState, now: datetime
) -> Iterator[SendToNode]:
    if record.installed >= state.version:
        return
    is_repeat = record.pushed_version >= state.version
    if is_repeat and record.pushed_at is not None and now - record.pushed_at < REPUSH:
        return
    documents, removed = list_changes(state.documents, state.removals, record.installed)
    record.pushed_version = state.version
    record.pushed_at = now
    yield SendToNode(
        record.node, VersionPushed(state.version, record.installed, documents, removed)
    )
