"""Define the observations of stores and the commands on registered stores."""

from oleanderhitch.process.ids import NodeId, ReplicaId
from oleanderhitch.process.repair.states import StoreStanding
from oleanderhitch.process.replication.messages import ReplicationStatus
from oleanderhitch.values import Value
from oleanderhitch.version.ids import DataCentreName, HostName


class StoreHello(Value, frozen=True):
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


class ReplicaRemoved(Value, frozen=True):
    """Notifies a store that a replica was removed, so that its data is obsolete."""

    replica: ReplicaId


class StatusObserved(Value, frozen=True):
    """Forwards the group status that this store's replica reported."""

    status: ReplicationStatus


class LeadershipObserved(Value, frozen=True):
    """Reports whether this store's replica leads its group from now on."""

    is_leader: bool


class StoreRecordsChanged(Value, frozen=True):
    """Reports all registered stores after a change."""

    records: "tuple[StoreRecord, ...]"


class StoreRecord(Value, frozen=True):
    """A registered store."""

    host: HostName
    node: NodeId
    replica: ReplicaId
    standing: StoreStanding


class RegisterStore(Value, frozen=True):
    """Registers a store, or updates its node and replica id; a replicated command."""

    host: HostName
    node: NodeId
    replica: ReplicaId


class RetireStore(Value, frozen=True):
    """Starts moving all replicas off a store; a replicated command.

    It is refused if fewer than `n_stores_min` active stores would be left.
    """

    host: HostName
    n_stores_min: int


class CompleteRetirement(Value, frozen=True):
    """Marks a retiring store as retired; a replicated command.

    The leader proposes it once the store's replica is not a member of the group.
    """

    host: HostName


class ForgetStore(Value, frozen=True):
    """Deletes the record of a lost store; a replicated command.

    It has no effect if the store has been registered with another replica id.
    """

    host: HostName
    replica: ReplicaId


class GetRetirement(Value, frozen=True):
    """Requests the standing of a store, to follow its retirement; a read."""

    host: HostName


class StoreNoted(Value, frozen=True):
    """Reports that a command was applied."""


class StoreStandingFound(Value, frozen=True):
    """Reports the standing of a store."""

    standing: StoreStanding


class StoreUnknown(Value, frozen=True):
    """Reports that the store is not registered."""


class TooFewStores(Value, frozen=True):
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
