"""Define the messages between callers of a replicated group and its replicas."""

from dataclasses import dataclass, field

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import CallId, GroupId, NodeId, ReplicaId


@dataclass(frozen=True, slots=True)
class GroupCall:
    """Ask a group to apply an encoded command or to answer an encoded read."""

    call: CallId
    group: GroupId
    body: bytes
    is_read: bool
    trace: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class GroupAnswer:
    """Bring the encoded result of a call that a majority has synced."""

    call: CallId
    body: bytes


@dataclass(frozen=True, slots=True)
class GroupRedirect:
    """Say that this replica is not the leader and has proposed nothing."""

    call: CallId
    leader: ReplicaId | None


@dataclass(frozen=True, slots=True)
class GroupUncertain:
    """Say that the command may still take effect; the sender may send it again."""

    call: CallId
    reason: str


@dataclass(frozen=True, slots=True)
class ReplicaEnvelope:
    """Carry an encoded replication message between two replicas of a group."""

    group: GroupId
    sender: ReplicaId
    receiver: ReplicaId
    body: bytes


@dataclass(frozen=True, slots=True)
class LocalCall:
    """Hand a call to a group's task together with the address for its answer."""

    call: GroupCall
    reply: Address


@dataclass(frozen=True, slots=True)
class GetStoreIdentity:
    """Ask a store for its replica id and the groups that it runs."""


@dataclass(frozen=True, slots=True)
class StoreIdentity:
    """Answer a store's replica id, which changes with its disk, and its groups."""

    node: NodeId
    replica: ReplicaId
    groups: tuple[GroupId, ...]


@dataclass(frozen=True, slots=True)
class StoresChanged:
    """Replace the addresses of the disk hosts."""

    stores: dict[NodeId, HostAddress]


MESSAGES: tuple[type, ...] = (
    GroupCall,
    GroupAnswer,
    GroupRedirect,
    GroupUncertain,
    ReplicaEnvelope,
    GetStoreIdentity,
    StoreIdentity,
)
