"""The leader's table of nodes and pool owners, and the changes that a node lacks."""

from datetime import datetime, timedelta

from msgspec import Struct, field

from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.membership.messages import (
    NodeDescription,
    NodeRow,
    PoolOwner,
    TableChange,
)
from oleanderhitch.process.membership.states import NodeState
from oleanderhitch.process.membership.timing import (
    GONE_NODE_RETENTION,
    SUSPICION_TIMEOUT,
)
from oleanderhitch.version.ids import NO_VERSION, ConfigurationVersion, PoolId


class NodeRecord(Struct):
    """The leader's record of one node.

    `heartbeat_number` is the number of the latest heartbeat. `leased_version` is the
    oldest version that the node may start work under until `lease_until`, and
    `lease_incarnation` the process that got the latest lease. `confirmed_table_number`
    is the last change of this term's table that the node has applied, and
    `row_change_number` the change that set `row`.
    """

    node: NodeId
    incarnation: str
    description: NodeDescription
    last_contact_at: datetime
    heartbeat_number: int = -1
    installed_version: ConfigurationVersion = NO_VERSION
    lease_until: datetime | None = None
    leased_version: ConfigurationVersion = NO_VERSION
    lease_incarnation: str = ""
    confirmed_table_number: int = 0
    pushed_version: ConfigurationVersion = NO_VERSION
    pushed_at: datetime | None = None
    row: NodeRow | None = None
    row_change_number: int = 0

    def has_lease(self, now: datetime) -> bool:
        """Return whether the node may still start work."""
        return self.lease_until is not None and now < self.lease_until


class OwnerRecord(Struct):
    """The owner of a pool, or the nodes that may still act as its owner.

    While there is no owner, `previous_owner` is the node that must confirm that it
    released the pool, or lose its lease, before the next owner is assigned. If
    `needs_all_confirmations` is set, the previous leader may have assigned an owner
    that this leader has no record of, so that this holds for every node.

    `change_number` is the table's last change of this record. `claim` is the term and
    number of the table that the owner had when it claimed the pool.
    """

    owner: NodeId | None
    change_number: int
    previous_owner: NodeId | None = None
    needs_all_confirmations: bool = False
    claim: tuple[int, int] = (0, 0)


class MembershipTable(Struct):
    """The nodes and pool owners, each with the number of its last change.

    `number` is the number of the latest change, and `deleted_change_number` the highest
    change number of the rows that have been deleted.
    """

    nodes: dict[NodeId, NodeRecord] = field(default_factory=dict)
    owners: dict[PoolId, OwnerRecord] = field(default_factory=dict)
    number: int = 0
    deleted_change_number: int = 0

    def next_number(self) -> int:
        """Increment and return the number of the latest change."""
        self.number += 1
        return self.number


def find_node_state(record: NodeRecord, now: datetime) -> NodeState:
    """Return the state of a node, derived from its lease and last contact."""
    if not record.has_lease(now):
        return NodeState.GONE
    if record.description.is_leaving:
        return NodeState.LEAVING
    if now - record.last_contact_at > SUSPICION_TIMEOUT:
        return NodeState.SUSPECTED
    return NodeState.ALIVE


def refresh_row(table: MembershipTable, record: NodeRecord, now: datetime) -> None:
    """Update the row of a node if it has changed."""
    state = find_node_state(record, now)
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
        record.row_change_number = table.next_number()


def delete_gone_nodes(table: MembershipTable, now: datetime) -> None:
    """Delete nodes without a lease and without contact for GONE_NODE_RETENTION."""
    for node, record in list(table.nodes.items()):
        is_unreachable = now - record.last_contact_at > GONE_NODE_RETENTION
        if is_unreachable and not record.has_lease(now):
            table.deleted_change_number = max(
                table.deleted_change_number, record.row_change_number
            )
            del table.nodes[node]


def find_table_change(
    table: MembershipTable, reported_number: int | None
) -> TableChange | None:
    """Return the changes after `reported_number`, or None if there are none.

    The change is complete if the node has no table of this term, or if a row that it
    may still have was deleted.
    """
    if reported_number is not None and reported_number >= table.number:
        return None
    is_complete = (
        reported_number is None or reported_number < table.deleted_change_number
    )
    after_number = 0 if is_complete or reported_number is None else reported_number
    nodes = tuple(
        record.row
        for record in table.nodes.values()
        if record.row is not None and record.row_change_number > after_number
    )
    if is_complete:
        nodes = tuple(row for row in nodes if row.state is not NodeState.GONE)
    owners = tuple(
        PoolOwner(pool, record.owner)
        for pool, record in table.owners.items()
        if record.change_number > after_number
    )
    return TableChange(table.number, after_number, is_complete, nodes, owners)


def compute_time_left(until: datetime | None, now: datetime) -> timedelta:
    """Return the time left until a deadline; zero if it has passed or is None."""
    return timedelta(0) if until is None else max(timedelta(0), until - now)
