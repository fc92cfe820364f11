"""Effects that the repair core of a group returns to its task."""

from dataclasses import dataclass

from oleanderhitch.process.ids import NodeId, ReplicaId
from oleanderhitch.process.replication.states import ChangeKind


@dataclass(frozen=True, slots=True)
class ObserveStatus:
    """Requests the status of the group from this store's replica."""


@dataclass(frozen=True, slots=True)
class ChangeReplica:
    """Requests a membership change of the group."""

    kind: ChangeKind
    replica: ReplicaId
    replacement: ReplicaId | None
    reason: str


@dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Proposes a command on the registered stores to the group."""

    command: object


@dataclass(frozen=True, slots=True)
class SendToStore:
    """Sends a message to a store."""

    node: NodeId
    message: object


@dataclass(frozen=True, slots=True)
class MoveLeadership:
    """Requests that a voter of the group take over the leadership."""

    target: ReplicaId
