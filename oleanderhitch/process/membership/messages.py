"""Define the messages between nodes, the configuration leader and operators.

A version is in force once no node may start work under an older one.
"""

from datetime import datetime, timedelta

from oleanderhitch.process.ids import NodeId, Term
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.membership.states import NodeState
from oleanderhitch.values import Value
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.documents import ConfigurationDocument
from oleanderhitch.version.ids import (
    ConfigurationVersion,
    DataCentreName,
    DocumentName,
    PoolId,
    RegionName,
)
from oleanderhitch.version.states import HostRole

# Messages between processes.


class NodeDescription(Value, frozen=True):
    """The properties of a node, sent to a new leader and after a change.

    `owned_pools` lets a new leader keep the owners that its predecessor assigned.
    """

    role: HostRole
    data_centre: DataCentreName
    address: HostPort
    is_leaving: bool
    owned_pools: tuple[PoolId, ...]


class NodeHeartbeat(Value, frozen=True):
    """Requests a lease for a node, with its installed version and table position.

    `incarnation` distinguishes a restarted process from the previous one. `table_term`
    and `table_number` identify the last table change that the node applied.
    `description` is None if it was already sent to the store.
    """

    node: NodeId
    incarnation: str
    number: int
    installed_version: ConfigurationVersion
    table_term: Term
    table_number: int
    description: NodeDescription | None


class NodeRow(Value, frozen=True):
    """A node in the table that the leader distributes."""

    node: NodeId
    state: NodeState
    role: HostRole
    data_centre: DataCentreName
    address: HostPort


class PoolOwner(Value, frozen=True):
    """The entry host that runs a pool's queue, or None while the pool has no owner."""

    pool: PoolId
    owner: NodeId | None


class TableChange(Value, frozen=True):
    """The rows of the table that changed after `after_number` in the same term.

    A complete change replaces the whole table.
    """

    number: int
    after_number: int
    is_complete: bool
    nodes: tuple[NodeRow, ...]
    owners: tuple[PoolOwner, ...]


class LeaseGranted(Value, frozen=True):
    """Replies to a heartbeat with a lease.

    The lease starts when the node sent the heartbeat. It is zero while the node has an
    old version and no lease.
    """

    node: NodeId
    incarnation: str
    number: int
    term: Term
    lease: timedelta
    accepted_version: ConfigurationVersion
    table: TableChange | None


class DescriptionRequested(Value, frozen=True):
    """Requests the description that the heartbeat of an unknown process omitted."""

    node: NodeId
    incarnation: str
    number: int


class HeartbeatRedirected(Value, frozen=True):
    """Reports that the store does not lead; `leader` is None if it is unknown."""

    node: NodeId
    incarnation: str
    number: int
    leader: HostPort | None


class VersionPushed(Value, frozen=True):
    """Sends a node the documents that changed after `after_version`."""

    version: ConfigurationVersion
    after_version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]
    removed: tuple[DocumentName, ...]


class GetNodeStatus(Value, frozen=True):
    """Requests the version in force, the nodes and the pool owners from the leader."""


class NodeStatusRow(Value, frozen=True):
    """The status of one node."""

    node: NodeId
    state: NodeState
    role: HostRole
    data_centre: DataCentreName
    installed_version: ConfigurationVersion


class NodeStatus(Value, frozen=True):
    """Reports the accepted version, the one in force, the nodes and the pool owners.

    The version in force is None while the store cannot determine it: it may have lost
    its leadership, or leases granted by the previous leader may still run.
    """

    is_leading: bool
    leader: HostPort | None
    accepted_version: ConfigurationVersion
    in_force_version: ConfigurationVersion | None
    nodes: tuple[NodeStatusRow, ...]
    owners: tuple[PoolOwner, ...]


# Messages within a store's process.


class LeadershipGained(Value, frozen=True):
    """Reports that this store leads the configuration group and has applied its log."""

    term: Term
    valid_until: datetime


class LeadershipConfirmed(Value, frozen=True):
    """Reports that no other store can lead before `valid_until`."""

    term: Term
    valid_until: datetime


class LeadershipLost(Value, frozen=True):
    """Reports that this store does not lead; `leader` is None if it is unknown."""

    leader: HostPort | None


class PoolsDeclared(Value, frozen=True):
    """Reports the pools and data centres of the accepted configuration.

    Each of them comes with its region.
    """

    pools: tuple[tuple[PoolId, RegionName], ...]
    data_centres: tuple[tuple[DataCentreName, RegionName], ...]


class GetLocalNodeStatus(Value, frozen=True):
    """Requests the NodeStatus of the membership task."""

    reply_address: Address


# Effects of the membership core.


class SendToNode(Value, frozen=True):
    """Sends a message to a node over any connection that it has."""

    node: NodeId
    message: object


class CompileConfiguration(Value, frozen=True):
    """Compiles the documents and reports their pools with PoolsDeclared."""

    version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]


class SendReply(Value, frozen=True):
    """Sends a message to a reply address."""

    reply_address: Address
    message: NodeStatus


MESSAGES: tuple[type, ...] = (
    NodeHeartbeat,
    LeaseGranted,
    DescriptionRequested,
    HeartbeatRedirected,
    VersionPushed,
    GetNodeStatus,
    NodeStatus,
)
