"""Define how stores announce themselves and what repair asks for."""

from dataclasses import dataclass

from oleanderhitch.process.ids import NodeId, ReplicaId
from oleanderhitch.process.repair.states import StoreStanding
from oleanderhitch.process.replication.messages import ReplicationStatus
from oleanderhitch.version.ids import DataCentreName, HostName


@dataclass(frozen=True, slots=True)
class StoreHello:
    """Announce a store, its disk's replica id and the stores that it knows."""

    host: HostName
    node: NodeId
    replica: ReplicaId
    data_centre: DataCentreName
    known: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class ReplicaRemoved:
    """Tell a store that its replica was replaced, so that its disk is of no use."""

    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class StatusObserved:
    """Bring what this store's replica knows of its group."""

    status: ReplicationStatus


@dataclass(frozen=True, slots=True)
class StoreRecordsChanged:
    """Bring the registered stores after a change."""

    records: "tuple[StoreRecord, ...]"


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """Hold what is registered of a store."""

    host: HostName
    node: NodeId
    replica: ReplicaId
    standing: StoreStanding


@dataclass(frozen=True, slots=True)
class RegisterStore:
    """Ask the group to remember a store; a replicated command."""

    host: HostName
    node: NodeId
    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class RetireStore:
    """Ask for a store to be emptied; a replicated command.

    It is refused when fewer stores than the minimum would be left.
    """

    host: HostName
    n_stores_min: int


@dataclass(frozen=True, slots=True)
class CompleteRetirement:
    """Say that a store holds nothing that is needed; a replicated command."""

    host: HostName


@dataclass(frozen=True, slots=True)
class ForgetStore:
    """Forget a store that is gone; a replicated command."""

    host: HostName
    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class GetRetirement:
    """Ask how far the emptying of a store is; a read."""

    host: HostName


@dataclass(frozen=True, slots=True)
class StoreNoted:
    """Say that a command on the registered stores is applied."""


@dataclass(frozen=True, slots=True)
class StoreStandingFound:
    """Bring the standing of a store."""

    standing: StoreStanding


@dataclass(frozen=True, slots=True)
class StoreUnknown:
    """Say that no such store is registered."""


@dataclass(frozen=True, slots=True)
class TooFewStores:
    """Say that too few stores would be left."""

    n_left: int


COMMANDS: tuple[type, ...] = (
    RegisterStore,
    RetireStore,
    CompleteRetirement,
    ForgetStore,
)
READS: tuple[type, ...] = (GetRetirement,)
RESULTS: tuple[type, ...] = (
    StoreNoted,
    StoreStandingFound,
    StoreUnknown,
    TooFewStores,
)
MESSAGES: tuple[type, ...] = (StoreHello, ReplicaRemoved)
