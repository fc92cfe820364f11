"""Decide which membership change the leader of a group requests next.

One change is in progress at a time. The replication core continues it under the next
leader.
"""

from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.process.groups.placement import get_rendezvous_weight
from oleanderhitch.process.ids import GroupId, NodeId, ReplicaId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.repair.balance import find_move
from oleanderhitch.process.repair.effects import (
    ChangeReplica,
    MoveLeadership,
    ObserveStatus,
    ProposeCommand,
    SendToStore,
)
from oleanderhitch.process.repair.messages import (
    CompleteRetirement,
    ForgetStore,
    LeadershipObserved,
    RegisterStore,
    ReplicaRemoved,
    StatusObserved,
    StoreHello,
    StoreRecord,
    StoreRecordsChanged,
)
from oleanderhitch.process.repair.states import StoreStanding
from oleanderhitch.process.replication.messages import ReplicationStatus
from oleanderhitch.process.replication.states import ChangeKind, Role
from oleanderhitch.process.storage.identity import get_node
from oleanderhitch.values import Value
from oleanderhitch.version.ids import DataCentreName, HostName

# Stores announce themselves every 400 ms. A store that has missed three announcements
# is not registered, not used as a spare and not notified that its replica was removed.
ANNOUNCEMENT_TIMEOUT = timedelta(milliseconds=1300)
# A voter that is unreachable for this long is replaced if there is a spare store. A
# restart takes about a second and must not get the voter replaced.
VOTER_UNREACHABLE_TIMEOUT = timedelta(seconds=2)
# A change to an unreachable new replica is cancelled, since it blocks other changes.
LEARNER_TIMEOUT = timedelta(seconds=3)
# A move needs a group that has been whole for this long, so that no move follows each
# restart of a store.
BALANCE_DELAY = timedelta(seconds=3)
# Long enough for a move and for the announcement of its outcome.
BALANCE_SLOT_DURATION = timedelta(milliseconds=500)
# The record of an unreachable store is kept for this long. Until it is deleted,
# requests to retire other stores count the store as present.
STORE_RECORD_RETENTION = timedelta(seconds=8)


class BalanceSlot(Value, frozen=True):
    """The share of time in which a group may move its replicas or its leadership.

    The groups of a site take turns, so that each one decides with the outcome of the
    moves of the others.
    """

    index: int
    n_slots: int


class AnnouncedStore(Struct):
    """A store's replica, and when it was announced first and last."""

    hello: StoreHello
    first_contact_at: datetime
    last_contact_at: datetime


class RepairState(Struct):
    """The observed stores and replicas; owned by the repair task.

    Nothing is observed while another store leads the group.
    `unreachable_since` and `learner_since` are the times at which this store, while
    it leads, first observed a replica as unreachable, or as a learner.
    """

    group: GroupId
    n_target_voters: int
    balance_slot: BalanceSlot
    is_leader: bool = False
    announced_stores: dict[NodeId, AnnouncedStore] = field(default_factory=dict)
    records: dict[HostName, StoreRecord] = field(default_factory=dict)
    unreachable_since: dict[ReplicaId, datetime] = field(default_factory=dict)
    learner_since: dict[ReplicaId, datetime] = field(default_factory=dict)


@singledispatch
def handle(message: object, state: RepairState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"repair does not support message type {type(message).__name__}")


@handle.register
def _(message: Tick, state: RepairState, now: datetime) -> list[object]:
    return [ObserveStatus()]


@handle.register
def _(message: LeadershipObserved, state: RepairState, now: datetime) -> list[object]:
    if message.is_leader != state.is_leader:
        state.is_leader = message.is_leader
        # What was observed while this store led before is outdated.
        state.announced_stores.clear()
        state.unreachable_since.clear()
        state.learner_since.clear()
    return []


@handle.register
def _(message: StoreHello, state: RepairState, now: datetime) -> list[object]:
    known = state.announced_stores.get(message.node)
    is_known = (
        known is not None
        and known.hello.replica == message.replica
        and now - known.last_contact_at < ANNOUNCEMENT_TIMEOUT
    )
    first_contact_at = known.first_contact_at if known and is_known else now
    state.announced_stores[message.node] = AnnouncedStore(
        message, first_contact_at, now
    )
    return []


@handle.register
def _(message: StoreRecordsChanged, state: RepairState, now: datetime) -> list[object]:
    state.records = {record.host: record for record in message.records}
    return []


@handle.register
def _(message: StatusObserved, state: RepairState, now: datetime) -> list[object]:
    status = message.status
    if status.role is not Role.LEADER:
        state.unreachable_since.clear()
        state.learner_since.clear()
        return []
    _record_reachability(status, state, now)
    effects = _register_announced_stores(state, now)
    if status.is_change_pending:
        return effects + _remove_unreachable_learner(status, state, now)
    effects.extend(_notify_removed_stores(status, state, now))
    effects.extend(_clean_up_store_records(status, state, now))
    change = _find_change(status, state, now) or _find_move(status, state, now)
    return effects if change is None else [*effects, change]


def _record_reachability(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> None:
    reachable = {
        follower.replica for follower in status.followers if follower.is_reachable
    }
    reachable.add(status.replica)
    members = (*status.membership.voters, *status.membership.learners)
    for replica in members:
        if replica in reachable:
            state.unreachable_since.pop(replica, None)
        else:
            state.unreachable_since.setdefault(replica, now)
    for replica in list(state.unreachable_since):
        if replica not in members:
            del state.unreachable_since[replica]
    for replica in status.membership.learners:
        state.learner_since.setdefault(replica, now)
    for replica in list(state.learner_since):
        if replica not in status.membership.learners:
            del state.learner_since[replica]


def _register_announced_stores(state: RepairState, now: datetime) -> list[object]:
    effects: list[object] = []
    for store in state.announced_stores.values():
        hello = store.hello
        record = state.records.get(hello.host)
        is_registered = record is not None and record.replica == hello.replica
        if not is_registered and now - store.last_contact_at < ANNOUNCEMENT_TIMEOUT:
            command = RegisterStore(hello.host, hello.node, hello.replica)
            effects.append(ProposeCommand(command))
    return effects


def _remove_unreachable_learner(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> list[object]:
    for learner in status.membership.learners:
        since = state.learner_since.get(learner, now)
        is_unreachable = learner in state.unreachable_since
        if is_unreachable and now - since >= LEARNER_TIMEOUT:
            del state.learner_since[learner]
            reason = "new replica is silent"
            return [ChangeReplica(ChangeKind.REMOVE, learner, None, reason)]
    return []


def _notify_removed_stores(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> list[object]:
    removed = set(status.membership.removed)
    return [
        SendToStore(store.hello.node, ReplicaRemoved(store.hello.replica))
        for store in state.announced_stores.values()
        if store.hello.replica in removed
        and now - store.last_contact_at < ANNOUNCEMENT_TIMEOUT
        and _get_standing(store.hello.host, state) is StoreStanding.ACTIVE
    ]


def _clean_up_store_records(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> list[object]:
    """Complete retirements and delete the records of lost stores, except members."""
    members = {*status.membership.voters, *status.membership.learners}
    effects: list[object] = []
    for record in state.records.values():
        if record.replica in members:
            continue
        if record.standing is StoreStanding.RETIRING:
            effects.append(ProposeCommand(CompleteRetirement(record.host)))
        elif record.standing is StoreStanding.ACTIVE and _is_record_expired(
            record, state, now
        ):
            effects.append(ProposeCommand(ForgetStore(record.host, record.replica)))
    return effects


def _is_record_expired(record: StoreRecord, state: RepairState, now: datetime) -> bool:
    store = state.announced_stores.get(record.node)
    # A new leader that has no announcement yet must not treat the store as lost.
    return store is not None and now - store.last_contact_at > STORE_RECORD_RETENTION


def _find_change(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> ChangeReplica | None:
    voters = status.membership.voters
    spares = _list_spares(status, state, now)
    for voter in voters:
        for spare in spares:
            if spare.node == get_node(voter):
                reason = "the host came back with another disk"
                return ChangeReplica(ChangeKind.REPLACE, voter, spare.replica, reason)
    best_spare = _choose_spare(spares, status, state)
    for record in state.records.values():
        if record.standing is StoreStanding.RETIRING and record.replica in voters:
            return _replace_or_remove(record.replica, best_spare, "the store retires")
    if best_spare is None:
        return _find_surplus_removal(status, state, now)
    if len(voters) < state.n_target_voters:
        reason = "the group has too few voters"
        return ChangeReplica(ChangeKind.ADD, best_spare.replica, None, reason)
    for voter in voters:
        since = state.unreachable_since.get(voter)
        if since is not None and now - since >= VOTER_UNREACHABLE_TIMEOUT:
            reason = "the voter is silent"
            return ChangeReplica(ChangeKind.REPLACE, voter, best_spare.replica, reason)
    return None


def _find_surplus_removal(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> ChangeReplica | None:
    if len(status.membership.voters) <= state.n_target_voters:
        return None
    for voter in status.membership.voters:
        since = state.unreachable_since.get(voter)
        if since is not None and now - since >= VOTER_UNREACHABLE_TIMEOUT:
            reason = "the group has too many voters"
            return ChangeReplica(ChangeKind.REMOVE, voter, None, reason)
    return None


def _replace_or_remove(
    replica: ReplicaId, spare: StoreHello | None, reason: str
) -> ChangeReplica:
    if spare is None:
        return ChangeReplica(ChangeKind.REMOVE, replica, None, reason)
    return ChangeReplica(ChangeKind.REPLACE, replica, spare.replica, reason)


def _list_spares(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> list[StoreHello]:
    membership = status.membership
    taken = {*membership.voters, *membership.learners, *membership.removed}
    return [
        store.hello
        for store in state.announced_stores.values()
        if store.hello.replica not in taken
        and now - store.last_contact_at < ANNOUNCEMENT_TIMEOUT
        and _get_standing(store.hello.host, state) is StoreStanding.ACTIVE
    ]


def _get_standing(host: HostName, state: RepairState) -> StoreStanding:
    record = state.records.get(host)
    return StoreStanding.ACTIVE if record is None else record.standing


def _choose_spare(
    spares: list[StoreHello], status: ReplicationStatus, state: RepairState
) -> StoreHello | None:
    """Return a spare store, if possible in a data centre without a reachable voter."""
    covered_data_centres: set[DataCentreName] = set()
    for voter in status.membership.voters:
        store = state.announced_stores.get(get_node(voter))
        if store is not None and voter not in state.unreachable_since:
            covered_data_centres.add(store.hello.data_centre)
    return min(
        spares,
        key=lambda hello: (
            hello.data_centre in covered_data_centres,
            hello.n_replicas,
            get_rendezvous_weight(state.group, hello.node),
        ),
        default=None,
    )


def _find_move(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> ChangeReplica | MoveLeadership | None:
    """Return a move that spreads the load, if the group is whole and has its turn."""
    if not _is_slot(state.balance_slot, now):
        return None
    voters = [
        state.announced_stores[get_node(voter)]
        for voter in status.membership.voters
        if get_node(voter) in state.announced_stores
    ]
    is_whole = (
        len(voters) == len(status.membership.voters) == state.n_target_voters
        and not state.unreachable_since
        and all(_is_settled(store, state, now) for store in voters)
    )
    if not is_whole:
        return None
    spares = [
        spare
        for spare in _list_spares(status, state, now)
        if _is_settled(state.announced_stores[spare.node], state, now)
    ]
    return find_move([store.hello for store in voters], spares, status)


def _is_slot(slot: BalanceSlot, now: datetime) -> bool:
    n_slots_passed = int(now.timestamp() / BALANCE_SLOT_DURATION.total_seconds())
    return n_slots_passed % slot.n_slots == slot.index


def _is_settled(store: AnnouncedStore, state: RepairState, now: datetime) -> bool:
    return (
        now - store.last_contact_at < ANNOUNCEMENT_TIMEOUT
        and now - store.first_contact_at >= BALANCE_DELAY
        and _get_standing(store.hello.host, state) is StoreStanding.ACTIVE
    )
