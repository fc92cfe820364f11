"""Decide when a node may start work and which version it installs."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime
from functools import singledispatch

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
    ANSWER_TIMEOUT,
    HEARTBEAT,
    REDIRECT_PAUSE,
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

# Heartbeats older than this many are past their lease.
SENT_LIMIT = 64

NO_TERM = Term(0)


@dataclass(slots=True)
class NodeCoreState:
    """Hold the lease, the documents and the table of one node.

    Received documents may be newer than the installed version while the
    process compiles them.
    """

    node: NodeId
    incarnation: str
    role: HostRole
    data_centre: DataCentreName
    address: HostPort
    stores: tuple[HostPort, ...]
    store: HostPort
    number: int = 0
    sent: dict[int, datetime] = field(default_factory=dict)
    send_at: datetime | None = None
    answer_by: datetime | None = None
    is_described: bool = False
    is_leaving: bool = False
    lease_until: datetime | None = None
    installed: ConfigurationVersion = NO_VERSION
    received: ConfigurationVersion = NO_VERSION
    documents: dict[DocumentName, ConfigurationDocument] = field(default_factory=dict)
    term: Term = NO_TERM
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

    The incarnation must differ from that of every earlier process of the node.
    """
    return NodeCoreState(
        node, incarnation, role, data_centre, address, tuple(stores), stores[0]
    )


def may_start_work(state: NodeCoreState, now: datetime) -> bool:
    """Return whether new work may start now."""
    return (
        state.lease_until is not None
        and now < state.lease_until
        and state.installed > NO_VERSION
    )


def list_owned_pools(state: NodeCoreState, now: datetime) -> tuple[PoolId, ...]:
    """Return the pools that this node owns while its lease runs."""
    if state.lease_until is None or now >= state.lease_until:
        return ()
    return tuple(pool for pool, owner in state.owners.items() if owner == state.node)


@singledispatch
def decide(message: object, state: NodeCoreState, now: datetime) -> list[object]:
    """Decide on one message; the lease is known to run or to be over."""
    raise TypeError(f"node has no message {type(message).__name__}")


def handle(message: object, state: NodeCoreState, now: datetime) -> list[object]:
    """Handle a message and return the effects it calls for."""
    return [*_end_lease(state, now), *decide(message, state, now)]


@decide.register
def _(message: Tick, state: NodeCoreState, now: datetime) -> list[object]:
    if state.answer_by is not None and now >= state.answer_by:
        _choose_next_store(state)
        return [_send_heartbeat(state, now)]
    if state.send_at is None or now >= state.send_at:
        return [_send_heartbeat(state, now)]
    return []


@decide.register
def _(message: LeaseGranted, state: NodeCoreState, now: datetime) -> list[object]:
    sent_at = _find_sent(message.node, message.incarnation, message.number, state)
    if sent_at is None:
        return []
    state.answer_by = None
    state.term = max(state.term, message.term)
    until = sent_at + message.lease
    effects: list[object] = []
    if until > now and (state.lease_until is None or until > state.lease_until):
        state.lease_until = until
    if message.table is not None and may_use_table(state, now):
        effects.extend(_apply_table(message.table, message.term, state, now))
    if may_start_work(state, now) and state.lease_until is not None:
        effects.insert(0, WorkPermitted(state.lease_until))
    return effects


@decide.register
def _(message: VersionPushed, state: NodeCoreState, now: datetime) -> list[object]:
    is_newer = message.version > state.received
    if not is_newer or message.after_version > state.received:
        return []
    for name in message.removed:
        state.documents.pop(name, None)
    for document in message.documents:
        state.documents[document.name] = document
    state.received = message.version
    return [InstallVersion(message.version, tuple(state.documents.values()))]


@decide.register
def _(message: VersionInstalled, state: NodeCoreState, now: datetime) -> list[object]:
    if message.version <= state.installed:
        return []
    state.installed = message.version
    return [_send_heartbeat(state, now)]


@decide.register
def _(message: InstallFailed, state: NodeCoreState, now: datetime) -> list[object]:
    # The lease runs out by itself, because the version is never confirmed.
    return []


@decide.register
def _(
    message: DescriptionRequested, state: NodeCoreState, now: datetime
) -> list[object]:
    if message.incarnation != state.incarnation or message.number != state.number:
        return []
    state.is_described = False
    return [_send_heartbeat(state, now)]


@decide.register
def _(
    message: HeartbeatRedirected, state: NodeCoreState, now: datetime
) -> list[object]:
    if message.incarnation != state.incarnation or message.number != state.number:
        return []
    if message.leader is not None and message.leader != state.store:
        state.store = message.leader
        state.is_described = False
    else:
        _choose_next_store(state)
    state.answer_by = None
    # The pause keeps two stores that name each other from filling the network.
    state.send_at = now + REDIRECT_PAUSE
    return []


@decide.register
def _(message: StoreUnreachable, state: NodeCoreState, now: datetime) -> list[object]:
    if message.store != state.store:
        return []
    _choose_next_store(state)
    state.answer_by = None
    state.send_at = now + REDIRECT_PAUSE
    return []


@decide.register
def _(message: LeaveRequested, state: NodeCoreState, now: datetime) -> list[object]:
    state.is_leaving = True
    state.is_described = False
    return [_send_heartbeat(state, now)]


def may_use_table(state: NodeCoreState, now: datetime) -> bool:
    """Return whether the node holds a lease, without which it owns no pool."""
    return state.lease_until is not None and now < state.lease_until


def _end_lease(state: NodeCoreState, now: datetime) -> list[object]:
    if state.lease_until is None or now < state.lease_until:
        return []
    state.lease_until = None
    # Owners may be named anew from now on; the whole table comes with the
    # next lease.
    state.owners.clear()
    state.table_term = NO_TERM
    state.table_number = 0
    return [WorkStopped(), _make_view(state)]


def _find_sent(
    node: NodeId, incarnation: str, number: int, state: NodeCoreState
) -> datetime | None:
    if node != state.node or incarnation != state.incarnation:
        return None
    return state.sent.get(number)


def _send_heartbeat(state: NodeCoreState, now: datetime) -> SendToStore:
    state.number += 1
    state.sent[state.number] = now
    if len(state.sent) > SENT_LIMIT:
        del state.sent[next(iter(state.sent))]
    state.send_at = now + HEARTBEAT
    state.answer_by = now + ANSWER_TIMEOUT
    description = None if state.is_described else _describe(state, now)
    state.is_described = True
    return SendToStore(
        state.store,
        NodeHeartbeat(
            state.node,
            state.incarnation,
            state.number,
            state.installed,
            state.table_term,
            state.table_number,
            description,
        ),
    )


def _describe(state: NodeCoreState, now: datetime) -> NodeDescription:
    return NodeDescription(
        state.role,
        state.data_centre,
        state.address,
        state.is_leaving,
        list_owned_pools(state, now),
    )


def _choose_next_store(state: NodeCoreState) -> None:
    stores = state.stores
    index = stores.index(state.store) if state.store in stores else -1
    state.store = stores[(index + 1) % len(stores)]
    state.is_described = False


def _apply_table(
    change: TableChange, term: Term, state: NodeCoreState, now: datetime
) -> list[object]:
    if term < state.term:
        # A delayed table may name this node owner of a pool that a later
        # leader has named to another node.
        return []
    is_newer = (term, change.number) > (state.table_term, state.table_number)
    follows = term == state.table_term and change.after_number <= state.table_number
    if not is_newer or not (change.is_complete or follows):
        return []
    owned = list_owned_pools(state, now)
    if change.is_complete:
        state.nodes.clear()
        state.owners.clear()
    for row in change.nodes:
        _apply_row(row, state)
    for entry in change.owners:
        _apply_owner(entry, state)
    state.table_term = term
    state.table_number = change.number
    effects: list[object] = [_make_view(state)]
    if change.is_complete or owned != list_owned_pools(state, now):
        # The next owner is named once this node has confirmed the change.
        effects.append(_send_heartbeat(state, now))
    return effects


def _apply_row(row: NodeRow, state: NodeCoreState) -> None:
    if row.state is NodeState.GONE:
        state.nodes.pop(row.node, None)
    else:
        state.nodes[row.node] = row


def _apply_owner(entry: PoolOwner, state: NodeCoreState) -> None:
    if entry.owner is None:
        state.owners.pop(entry.pool, None)
    else:
        state.owners[entry.pool] = entry.owner


def _make_view(state: NodeCoreState) -> MembershipView:
    return MembershipView(
        tuple(state.nodes.values()),
        tuple(PoolOwner(pool, owner) for pool, owner in state.owners.items()),
    )
