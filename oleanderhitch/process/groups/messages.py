"""Define the messages between clients of replicated groups and the replicas."""

from dataclasses import dataclass, field

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import CallId, GroupId, NodeId, ReplicaId


@dataclass(frozen=True, slots=True)
class GroupCall:
    """Requests that a group apply an encoded command or perform an encoded read."""

    call: CallId
    group: GroupId
    body: bytes
    is_read: bool
    trace: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class GroupAnswer:
    """Returns the encoded result of a call.

    A committed command is synced on a majority of the replicas by then.
    """

    call: CallId
    body: bytes


@dataclass(frozen=True, slots=True)
class GroupRedirect:
    """Reports that this replica did not propose the command or perform the read.

    Usually it is not the leader; `leader` is None if the leader is not known.
    """

    call: CallId
    leader: ReplicaId | None


@dataclass(frozen=True, slots=True)
class GroupUncertain:
    """Reports that the command may still be committed, or that the read failed.

    The sender may send the call again.
    """

    call: CallId
    reason: str


@dataclass(frozen=True, slots=True)
class ReplicaEnvelope:
    """Carries an encoded replication message from one replica of a group to another."""

    group: GroupId
    sender: ReplicaId
    receiver: ReplicaId
    body: bytes


@dataclass(frozen=True, slots=True)
class LocalCall:
    """Delivers a call to this process's replica of a group."""

    group_call: GroupCall
    reply_address: Address


@dataclass(frozen=True, slots=True)
class GetStoreIdentity:
    """Requests a store's replica id and the groups that it runs."""


@dataclass(frozen=True, slots=True)
class StoreIdentity:
    """Reports a store's replica id, which is new for each new disk, and its groups."""

    node: NodeId
    replica: ReplicaId
    groups: tuple[GroupId, ...]


@dataclass(frozen=True, slots=True)
class StoresChanged:
    """Replaces the addresses of the stores."""

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
