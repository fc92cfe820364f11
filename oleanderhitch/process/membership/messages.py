"""Define the messages between nodes, the configuration leader and operators."""

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

# Messages that cross processes.


@dataclass(frozen=True, slots=True)
class NodeDescription:
    """Describe a node; sent to a new leader and after a change only."""

    role: HostRole
    data_centre: DataCentreName
    address: HostPort
    is_leaving: bool
    owned_pools: tuple[PoolId, ...]


@dataclass(frozen=True, slots=True)
class NodeHeartbeat:
    """Ask for a lease; say what the node has installed and which table it has.

    The incarnation tells a restarted process from the one before it.
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
    """Hold what nodes know of another node."""

    node: NodeId
    state: NodeState
    role: HostRole
    data_centre: DataCentreName
    address: HostPort


@dataclass(frozen=True, slots=True)
class PoolOwner:
    """Name the entry that queues for a pool; None while there is none."""

    pool: PoolId
    owner: NodeId | None


@dataclass(frozen=True, slots=True)
class TableChange:
    """Bring the rows that changed after another number of the same term."""

    number: int
    after_number: int
    is_complete: bool
    nodes: tuple[NodeRow, ...]
    owners: tuple[PoolOwner, ...]


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """Answer a heartbeat.

    The lease runs from when the node sent the heartbeat. It is zero while the
    node has an old version and no lease.
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
    """Answer a heartbeat of a node that the leader does not know."""

    node: NodeId
    incarnation: str
    number: int


@dataclass(frozen=True, slots=True)
class HeartbeatRedirected:
    """Answer that this store does not lead; it may know who does."""

    node: NodeId
    incarnation: str
    number: int
    leader: HostPort | None


@dataclass(frozen=True, slots=True)
class VersionPushed:
    """Bring the documents that changed after a version."""

    version: ConfigurationVersion
    after_version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]
    removed: tuple[DocumentName, ...]


@dataclass(frozen=True, slots=True)
class GetNodeStatus:
    """Ask the leader which version is in force and which nodes there are."""


@dataclass(frozen=True, slots=True)
class NodeStatusRow:
    """Tell an operator about one node."""

    node: NodeId
    state: NodeState
    role: HostRole
    data_centre: DataCentreName
    installed_version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Answer the accepted version and, separately, the one in force.

    The version in force is None while the leader cannot know it: it may have
    lost its leadership, or leases of the leader before it may still run.
    """

    is_leading: bool
    leader: HostPort | None
    accepted_version: ConfigurationVersion
    in_force_version: ConfigurationVersion | None
    nodes: tuple[NodeStatusRow, ...]
    owners: tuple[PoolOwner, ...]


# Messages within the leader's process.


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """Say that this store leads the configuration group and has applied its log."""

    term: Term
    valid_until: datetime


@dataclass(frozen=True, slots=True)
class LeadershipConfirmed:
    """Say until when no other store can lead."""

    term: Term
    valid_until: datetime


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """Say that this store no longer leads and which one does, if it is known."""

    leader: HostPort | None


@dataclass(frozen=True, slots=True)
class PoolsDeclared:
    """Bring the pools and data centres of the accepted configuration."""

    pools: tuple[tuple[PoolId, RegionName], ...]
    data_centres: tuple[tuple[DataCentreName, RegionName], ...]


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """Ask the membership task for its status."""

    reply: Address


# Effects of the leader's decisions.


@dataclass(frozen=True, slots=True)
class SendToNode:
    """Send a message to a node over whichever connection it has."""

    node: NodeId
    message: object


@dataclass(frozen=True, slots=True)
class CompilePools:
    """Find the pools that the documents declare; PoolsDeclared brings them."""

    version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]


@dataclass(frozen=True, slots=True)
class ReplyStatus:
    """Answer a status query."""

    reply: Address
    status: NodeStatus


MESSAGES: tuple[type, ...] = (
    NodeHeartbeat,
    LeaseGranted,
    DescriptionRequested,
    HeartbeatRedirected,
    VersionPushed,
    GetNodeStatus,
    NodeStatus,
)
