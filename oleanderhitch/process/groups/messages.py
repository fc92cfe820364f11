"""Define the messages between clients of replicated groups and the replicas."""

from msgspec import field

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.ids import CallId, GroupId, NodeId, ReplicaId
from oleanderhitch.values import Value


class GroupCall(Value, frozen=True):
    """Requests that a group apply an encoded command or perform an encoded read."""

    call: CallId
    group: GroupId
    body: bytes
    is_read: bool
    trace: dict[str, str] = field(default_factory=dict)


class GroupAnswer(Value, frozen=True):
    """Returns the encoded result of a call.

    A committed command is synced on a majority of the replicas by then.
    """

    call: CallId
    body: bytes


class GroupRedirect(Value, frozen=True):
    """Reports that this replica did not propose the command or perform the read.

    Usually it is not the leader; `leader` is None if the leader is not known.
    """

    call: CallId
    leader: ReplicaId | None


class GroupUncertain(Value, frozen=True):
    """Reports that the command may still be committed, or that the read failed.

    The sender may send the call again.
    """

    call: CallId
    reason: str


class ReplicaEnvelope(Value, frozen=True):
    """Carries an encoded replication message from one replica of a group to another."""

    group: GroupId
    sender: ReplicaId
    receiver: ReplicaId
    body: bytes


class LocalCall(Value, frozen=True):
    """Delivers a call to this process's replica of a group."""

    group_call: GroupCall
    reply_address: Address


class GetStoreIdentity(Value, frozen=True):
    """Requests a store's replica id and the groups that it runs."""


class StoreIdentity(Value, frozen=True):
    """Reports a store's replica id, which is new for each new disk, and its groups."""

    node: NodeId
    replica: ReplicaId
    groups: tuple[GroupId, ...]


class StoresChanged(Value, frozen=True):
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
