"""Keep the leader's table of nodes and say which rows a node lacks."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.membership.messages import (
    NodeDescription,
    NodeRow,
    PoolOwner,
    TableChange,
)
from oleanderhitch.process.membership.states import NodeState
from oleanderhitch.process.membership.timing import GONE_KEPT, SUSPECT_AFTER
from oleanderhitch.version.ids import NO_VERSION, ConfigurationVersion, PoolId


@dataclass(slots=True)
class NodeRecord:
    """Hold what the leader knows of one node.

    The leased version is the one installed when the running lease was given;
    the table number is the one that the node has confirmed in this term.
    """

    node: NodeId
    incarnation: str
    description: NodeDescription
    heard_at: datetime
    number: int = -1
    installed: ConfigurationVersion = NO_VERSION
    lease_until: datetime | None = None
    leased_version: ConfigurationVersion = NO_VERSION
    lease_incarnation: str = ""
    table_number: int = 0
    pushed_version: ConfigurationVersion = NO_VERSION
    pushed_at: datetime | None = None
    row: NodeRow | None = None
    row_number: int = 0

    def has_lease(self, now: datetime) -> bool:
        """Return whether the node may still be starting work."""
        return self.lease_until is not None and now < self.lease_until


@dataclass(slots=True)
class OwnerRecord:
    """Hold the owner of a pool, or which nodes have yet to let go of it.

    A pool without a known owner may have one that was named by the leader
    before this one, so that every node has to confirm that it is not the owner.
    """

    owner: NodeId | None
    number: int
    previous: NodeId | None = None
    waits_for_all: bool = False
    claim: tuple[int, int] = (0, 0)


@dataclass(slots=True)
class Table:
    """Hold nodes and owners with the number at which each last changed."""

    nodes: dict[NodeId, NodeRecord] = field(default_factory=dict)
    owners: dict[PoolId, OwnerRecord] = field(default_factory=dict)
    number: int = 0
    forgotten_number: int = 0

    def next_number(self) -> int:
        """Return a number higher than that of every earlier change."""
        self.number += 1
        return self.number


def find_state(record: NodeRecord, now: datetime) -> NodeState:
    """Return the state of a node."""
    if not record.has_lease(now):
        return NodeState.GONE
    if record.description.is_leaving:
        return NodeState.LEAVING
    if now - record.heard_at > SUSPECT_AFTER:
        return NodeState.SUSPECTED
    return NodeState.ALIVE


def refresh_row(table: Table, record: NodeRecord, now: datetime) -> None:
    """Replace the row of a node under a new number if it has changed."""
    state = find_state(record, now)
    if record.row is None and state is NodeState.GONE:
        return
    description = record.description
    row = NodeRow(
        record.node,
        state,
        description.role,
        description.data_centre,
        description.address,
    )
    if row != record.row:
        record.row = row
        record.row_number = table.next_number()


def forget_gone(table: Table, now: datetime) -> None:
    """Drop the nodes that have been silent and without a lease for long."""
    for node, record in list(table.nodes.items()):
        is_silent = now - record.heard_at > GONE_KEPT
        if is_silent and not record.has_lease(now):
            table.forgotten_number = max(table.forgotten_number, record.row_number)
            del table.nodes[node]


def find_table_change(table: Table, known: int | None) -> TableChange | None:
    """Return what a node lacks that has a table number of this term, or None."""
    if known is not None and known >= table.number:
        return None
    is_complete = known is None or known < table.forgotten_number
    after = 0 if is_complete or known is None else known
    nodes = tuple(
        record.row
        for record in table.nodes.values()
        if record.row is not None and record.row_number > after
    )
    if is_complete:
        nodes = tuple(row for row in nodes if row.state is not NodeState.GONE)
    owners = tuple(
        PoolOwner(pool, record.owner)
        for pool, record in table.owners.items()
        if record.number > after
    )
    return TableChange(table.number, after, is_complete, nodes, owners)


def lasts(until: datetime | None, now: datetime) -> timedelta:
    """Return how long something lasts from now; zero if it is over."""
    return timedelta(0) if until is None else max(timedelta(0), until - now)
