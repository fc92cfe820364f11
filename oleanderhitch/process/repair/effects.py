"""Effects that the repair core of a group returns to its task."""

from oleanderhitch.process.ids import NodeId, ReplicaId
from oleanderhitch.process.replication.states import ChangeKind
from oleanderhitch.values import Value


class ObserveStatus(Value, frozen=True):
    """Requests the status of the group from this store's replica."""


class ChangeReplica(Value, frozen=True):
    """Requests a membership change of the group."""

    kind: ChangeKind
    replica: ReplicaId
    replacement: ReplicaId | None
    reason: str


class ProposeCommand(Value, frozen=True):
    """Proposes a command on the registered stores to the group."""

    command: object


class SendToStore(Value, frozen=True):
    """Sends a message to a store."""

    node: NodeId
    message: object


class MoveLeadership(Value, frozen=True):
    """Requests that a voter of the group take over the leadership."""

    target: ReplicaId
