"""Define the messages between nodes, the configuration leader and operators.

A version is in force once no node may start work under an older one.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta

from oleanderhitch.process.ids import NodeId, Term
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.membership.states import NodeState
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


@dataclass(frozen=True, slots=True)
class NodeDescription:
    """The properties of a node, sent to a new leader and after a change.

    `owned_pools` lets a new leader keep the owners that its predecessor assigned.
    """

    role: HostRole
    data_centre: DataCentreName
    address: HostPort
    is_leaving: bool
    owned_pools: tuple[PoolId, ...]


@dataclass(frozen=True, slots=True)
class NodeHeartbeat:
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


@dataclass(frozen=True, slots=True)
class NodeRow:
    """A node in the table that the leader distributes."""

    node: NodeId
    state: NodeState
    role: HostRole
    data_centre: DataCentreName
    address: HostPort


@dataclass(frozen=True, slots=True)
class PoolOwner:
    """The entry host that runs a pool's queue, or None while the pool has no owner."""

    pool: PoolId
    owner: NodeId | None


@dataclass(frozen=True, slots=True)
class TableChange:
    """The rows of the table that changed after `after_number` in the same term.

    A complete change replaces the whole table.
    """

    number: int
    after_number: int
    is_complete: bool
    nodes: tuple[NodeRow, ...]
    owners: tuple[PoolOwner, ...]


@dataclass(frozen=True, slots=True)
class LeaseGranted:
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


@dataclass(frozen=True, slots=True)
class DescriptionRequested:
    """Requests the description that the heartbeat of an unknown process omitted."""

    node: NodeId
    incarnation: str
    number: int


@dataclass(frozen=True, slots=True)
class HeartbeatRedirected:
    """Reports that the store does not lead; `leader` is None if it is unknown."""

    node: NodeId
    incarnation: str
    number: int
    leader: HostPort | None


@dataclass(frozen=True, slots=True)
class VersionPushed:
    """Sends a node the documents that changed after `after_version`."""

    version: ConfigurationVersion
    after_version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]
    removed: tuple[DocumentName, ...]


@dataclass(frozen=True, slots=True)
class GetNodeStatus:
    """Requests the version in force, the nodes and the pool owners from the leader."""


@dataclass(frozen=True, slots=True)
class NodeStatusRow:
    """The status of one node."""

    node: NodeId
    state: NodeState
    role: HostRole
    data_centre: DataCentreName
    installed_version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class NodeStatus:
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


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """Reports that this store leads the configuration group and has applied its log."""

    term: Term
    valid_until: datetime


@dataclass(frozen=True, slots=True)
class LeadershipConfirmed:
    """Reports that no other store can lead before `valid_until`."""

    term: Term
    valid_until: datetime


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """Reports that this store does not lead; `leader` is None if it is unknown."""

    leader: HostPort | None


@dataclass(frozen=True, slots=True)
class PoolsDeclared:
    """Reports the pools and data centres of the accepted configuration.

    Each of them comes with its region.
    """

    pools: tuple[tuple[PoolId, RegionName], ...]
    data_centres: tuple[tuple[DataCentreName, RegionName], ...]


@dataclass(frozen=True, slots=True)
class GetLocalNodeStatus:
    """Requests the NodeStatus of the membership task."""

    reply_address: Address


# Effects of the membership core.


@dataclass(frozen=True, slots=True)
class SendToNode:
    """Sends a message to a node over any connection that it has."""

    node: NodeId
    message: object


@dataclass(frozen=True, slots=True)
class CompileConfiguration:
    """Compiles the documents and reports their pools with PoolsDeclared."""

    version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]


@dataclass(frozen=True, slots=True)
class SendReply:
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
