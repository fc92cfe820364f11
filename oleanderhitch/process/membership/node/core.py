"""Decide when a node may start work and which version it installs."""

from collections.abc import Sequence
from datetime import datetime
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.process.ids import NodeId, Term
from oleanderhitch.process.membership.messages import (
    DescriptionRequested,
    HeartbeatRedirected,
    LeaseGranted,
    NodeDescription,
    NodeHeartbeat,
    NodeRow,
    PoolOwner,
    TableChange,
    VersionPushed,
)
from oleanderhitch.process.membership.node.messages import (
    InstallFailed,
    InstallVersion,
    LeaveRequested,
    MembershipView,
    SendToStore,
    StoreUnreachable,
    VersionInstalled,
    WorkPermitted,
    WorkStopped,
)
from oleanderhitch.process.membership.states import NodeState
from oleanderhitch.process.membership.timing import (
    HEARTBEAT_INTERVAL,
    REDIRECT_DELAY,
    REPLY_TIMEOUT,
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
)
from oleanderhitch.version.states import HostRole

# Replies to older heartbeats are ignored, since their leases have expired.
N_SENT_HEARTBEATS_LIMIT = 64

NO_TERM = Term(0)


class NodeCoreState(Struct):
    """The lease, the documents and the membership table of one node.

    `received_version` is the version of `documents`, which is newer than
    `installed_version` until the process has installed it. `latest_term` is the highest
    term of a leader that has granted a lease, and `table_term` the term of the leader
    whose table the node has. `is_description_sent` is set once `current_store` was sent
    the description.
    """

    node: NodeId
    incarnation: str
    role: HostRole
    data_centre: DataCentreName
    address: HostPort
    stores: tuple[HostPort, ...]
    current_store: HostPort
    heartbeat_number: int = 0
    heartbeats_sent_at: dict[int, datetime] = field(default_factory=dict)
    next_heartbeat_at: datetime | None = None
    reply_deadline: datetime | None = None
    is_description_sent: bool = False
    is_leaving: bool = False
    lease_until: datetime | None = None
    installed_version: ConfigurationVersion = NO_VERSION
    received_version: ConfigurationVersion = NO_VERSION
    documents: dict[DocumentName, ConfigurationDocument] = field(default_factory=dict)
    latest_term: Term = NO_TERM
    table_term: Term = NO_TERM
    table_number: int = 0
    nodes: dict[NodeId, NodeRow] = field(default_factory=dict)
    owners: dict[PoolId, NodeId] = field(default_factory=dict)


def make_node_state(
    node: NodeId,
    incarnation: str,
    role: HostRole,
    data_centre: DataCentreName,
    address: HostPort,
    stores: Sequence[HostPort],
) -> NodeCoreState:
    """Return the state of a node that has just started.

    `incarnation` must differ from that of every earlier process of the node.
    """
    return NodeCoreState(
        node, incarnation, role, data_centre, address, tuple(stores), stores[0]
    )


def may_start_work(state: NodeCoreState, now: datetime) -> bool:
    """Return whether new work may start now."""
    return (
        state.lease_until is not None
        and now < state.lease_until
        and state.installed_version > NO_VERSION
    )


def list_owned_pools(state: NodeCoreState, now: datetime) -> tuple[PoolId, ...]:
    """Return the pools that this node owns; a node without a lease owns none."""
    if state.lease_until is None or now >= state.lease_until:
        return ()
    return tuple(pool for pool, owner in state.owners.items() if owner == state.node)


@singledispatch
def decide(message: object, state: NodeCoreState, now: datetime) -> list[object]:
    """Handle one message after an expired lease has been cleared."""
    raise TypeError(f"node does not support message type {type(message).__name__}")


def handle(message: object, state: NodeCoreState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    return [*_expire_lease(state, now), *decide(message, state, now)]


@decide.register
def _(message: Tick, state: NodeCoreState, now: datetime) -> list[object]:
    if state.reply_deadline is not None and now >= state.reply_deadline:
        _switch_to_next_store(state)
        return [_send_heartbeat(state, now)]
    if state.next_heartbeat_at is None or now >= state.next_heartbeat_at:
        return [_send_heartbeat(state, now)]
    return []


@decide.register
def _(message: LeaseGranted, state: NodeCoreState, now: datetime) -> list[object]:
    sent_at = _find_sent_at(message.node, message.incarnation, message.number, state)
    if sent_at is None:
        return []
    state.reply_deadline = None
    state.latest_term = max(state.latest_term, message.term)
    until = sent_at + message.lease
    effects: list[object] = []
    if until > now and (state.lease_until is None or until > state.lease_until):
        state.lease_until = until
    if message.table is not None and has_lease(state, now):
        effects.extend(_apply_table(message.table, message.term, state, now))
    if may_start_work(state, now) and state.lease_until is not None:
        effects.insert(0, WorkPermitted(state.lease_until))
    return effects


@decide.register
def _(message: VersionPushed, state: NodeCoreState, now: datetime) -> list[object]:
    is_newer = message.version > state.received_version
    if not is_newer or message.after_version > state.received_version:
        return []
    for name in message.removed:
        state.documents.pop(name, None)
    for document in message.documents:
        state.documents[document.name] = document
    state.received_version = message.version
    return [InstallVersion(message.version, tuple(state.documents.values()))]


@decide.register
def _(message: VersionInstalled, state: NodeCoreState, now: datetime) -> list[object]:
    if message.version <= state.installed_version:
        return []
    state.installed_version = message.version
    return [_send_heartbeat(state, now)]


@decide.register
def _(message: InstallFailed, state: NodeCoreState, now: datetime) -> list[object]:
    # The lease expires by itself, because the version is never confirmed.
    return []


@decide.register
def _(
    message: DescriptionRequested, state: NodeCoreState, now: datetime
) -> list[object]:
    if (
        message.incarnation != state.incarnation
        or message.number != state.heartbeat_number
    ):
        return []
    state.is_description_sent = False
    return [_send_heartbeat(state, now)]


@decide.register
def _(
    message: HeartbeatRedirected, state: NodeCoreState, now: datetime
) -> list[object]:
    if (
        message.incarnation != state.incarnation
        or message.number != state.heartbeat_number
    ):
        return []
    if message.leader is not None and message.leader != state.current_store:
        state.current_store = message.leader
        state.is_description_sent = False
    else:
        _switch_to_next_store(state)
    state.reply_deadline = None
    # Without the delay, two stores that redirect to each other cause a message storm.
    state.next_heartbeat_at = now + REDIRECT_DELAY
    return []


@decide.register
def _(message: StoreUnreachable, state: NodeCoreState, now: datetime) -> list[object]:
    if message.store != state.current_store:
        return []
    _switch_to_next_store(state)
    state.reply_deadline = None
    state.next_heartbeat_at = now + REDIRECT_DELAY
    return []


@decide.register
def _(message: LeaveRequested, state: NodeCoreState, now: datetime) -> list[object]:
    state.is_leaving = True
    state.is_description_sent = False
    return [_send_heartbeat(state, now)]


def has_lease(state: NodeCoreState, now: datetime) -> bool:
    """Return whether the node has a lease, without which it owns no pool."""
    return state.lease_until is not None and now < state.lease_until


def _expire_lease(state: NodeCoreState, now: datetime) -> list[object]:
    if state.lease_until is None or now < state.lease_until:
        return []
    state.lease_until = None
    # The leader may now assign the pools to other owners. The complete table comes with
    # the next lease.
    state.owners.clear()
    state.table_term = NO_TERM
    state.table_number = 0
    return [WorkStopped(), _make_view(state)]


def _find_sent_at(
    node: NodeId, incarnation: str, number: int, state: NodeCoreState
) -> datetime | None:
    if node != state.node or incarnation != state.incarnation:
        return None
    return state.heartbeats_sent_at.get(number)


def _send_heartbeat(state: NodeCoreState, now: datetime) -> SendToStore:
    state.heartbeat_number += 1
    state.heartbeats_sent_at[state.heartbeat_number] = now
    if len(state.heartbeats_sent_at) > N_SENT_HEARTBEATS_LIMIT:
        del state.heartbeats_sent_at[next(iter(state.heartbeats_sent_at))]
    state.next_heartbeat_at = now + HEARTBEAT_INTERVAL
    state.reply_deadline = now + REPLY_TIMEOUT
    description = None if state.is_description_sent else _make_description(state, now)
    state.is_description_sent = True
    return SendToStore(
        state.current_store,
        NodeHeartbeat(
            state.node,
            state.incarnation,
            state.heartbeat_number,
            state.installed_version,
            state.table_term,
            state.table_number,
            description,
        ),
    )


def _make_description(state: NodeCoreState, now: datetime) -> NodeDescription:
    return NodeDescription(
        state.role,
        state.data_centre,
        state.address,
        state.is_leaving,
        list_owned_pools(state, now),
    )


def _switch_to_next_store(state: NodeCoreState) -> None:
    stores = state.stores
    index = stores.index(state.current_store) if state.current_store in stores else -1
    state.current_store = stores[(index + 1) % len(stores)]
    state.is_description_sent = False


def _apply_table(
    change: TableChange, term: Term, state: NodeCoreState, now: datetime
) -> list[object]:
    if term < state.latest_term:
        # A delayed table may assign a pool to this node that a later leader has
        # assigned to another node.
        return []
    is_newer = (term, change.number) > (state.table_term, state.table_number)
    is_consecutive = (
        term == state.table_term and change.after_number <= state.table_number
    )
    if not is_newer or not (change.is_complete or is_consecutive):
        return []
    previously_owned = list_owned_pools(state, now)
    if change.is_complete:
        state.nodes.clear()
        state.owners.clear()
    for row in change.nodes:
        _apply_row(row, state)
    for assignment in change.owners:
        _apply_owner(assignment, state)
    state.table_term = term
    state.table_number = change.number
    effects: list[object] = [_make_view(state)]
    if change.is_complete or previously_owned != list_owned_pools(state, now):
        # The leader assigns the next owner once this node has confirmed the change.
        effects.append(_send_heartbeat(state, now))
    return effects


def _apply_row(row: NodeRow, state: NodeCoreState) -> None:
    if row.state is NodeState.GONE:
        state.nodes.pop(row.node, None)
    else:
        state.nodes[row.node] = row


def _apply_owner(assignment: PoolOwner, state: NodeCoreState) -> None:
    if assignment.owner is None:
        state.owners.pop(assignment.pool, None)
    else:
        state.owners[assignment.pool] = assignment.owner


def _make_view(state: NodeCoreState) -> MembershipView:
    return MembershipView(
        tuple(state.nodes.values()),
        tuple(PoolOwner(pool, owner) for pool, owner in state.owners.items()),
    )
