"""Define the observations of stores and the commands on registered stores."""

from dataclasses import dataclass

from oleanderhitch.process.ids import NodeId, ReplicaId
from oleanderhitch.process.repair.states import StoreStanding
from oleanderhitch.process.replication.messages import ReplicationStatus
from oleanderhitch.version.ids import DataCentreName, HostName


@dataclass(frozen=True, slots=True)
class StoreHello:
    """Reports a store's replica of one group, and how many groups the store serves.

    The replica id changes when the replica starts anew. `n_replicas` counts the groups
    that the store leads or follows, `n_led` those that it leads.
    """

    host: HostName
    node: NodeId
    replica: ReplicaId
    data_centre: DataCentreName
    n_replicas: int = 0
    n_led: int = 0


@dataclass(frozen=True, slots=True)
class ReplicaRemoved:
    """Notifies a store that a replica was removed, so that its data is obsolete."""

    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class StatusObserved:
    """Forwards the group status that this store's replica reported."""

    status: ReplicationStatus


@dataclass(frozen=True, slots=True)
class LeadershipObserved:
    """Reports whether this store's replica leads its group from now on."""

    is_leader: bool


@dataclass(frozen=True, slots=True)
class StoreRecordsChanged:
    """Reports all registered stores after a change."""

    records: "tuple[StoreRecord, ...]"


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """A registered store."""

    host: HostName
    node: NodeId
    replica: ReplicaId
    standing: StoreStanding


@dataclass(frozen=True, slots=True)
class RegisterStore:
    """Registers a store, or updates its node and replica id; a replicated command."""

    host: HostName
    node: NodeId
    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class RetireStore:
    """Starts moving all replicas off a store; a replicated command.

    It is refused if fewer than `n_stores_min` active stores would be left.
    """

    host: HostName
    n_stores_min: int


@dataclass(frozen=True, slots=True)
class CompleteRetirement:
    """Marks a retiring store as retired; a replicated command.

    The leader proposes it once the store's replica is not a member of the group.
    """

    host: HostName


@dataclass(frozen=True, slots=True)
class ForgetStore:
    """Deletes the record of a lost store; a replicated command.

    It has no effect if the store has been registered with another replica id.
    """

    host: HostName
    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class GetRetirement:
    """Requests the standing of a store, to follow its retirement; a read."""

    host: HostName


@dataclass(frozen=True, slots=True)
class StoreNoted:
    """Reports that a command was applied."""


@dataclass(frozen=True, slots=True)
class StoreStandingFound:
    """Reports the standing of a store."""

    standing: StoreStanding


@dataclass(frozen=True, slots=True)
class StoreUnknown:
    """Reports that the store is not registered."""


@dataclass(frozen=True, slots=True)
class TooFewStores:
    """Refuses a retirement that would leave too few active stores."""

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
MESSAGES: tuple[type, ...] = (ReplicaRemoved,)
