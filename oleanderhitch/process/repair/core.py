"""Decide which membership change the leader of a group asks for next.

One change is under way at a time. The replication core carries it on under
whichever replica leads next.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.process.ids import NodeId, ReplicaId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.repair.messages import (
    CompleteRetirement,
    ForgetStore,
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
from oleanderhitch.version.ids import DataCentreName, HostName

# Stores announce themselves every 300 ms; one that missed four is not used.
HEARD_LIMIT = timedelta(milliseconds=1300)
# A voter that is silent for longer is replaced if another store can take over.
# A restart takes about a second and must not cost the voter its place.
UNREACHABLE_LIMIT = timedelta(seconds=2)
# A new replica that makes no progress must not block other changes.
LEARNER_LIMIT = timedelta(seconds=3)
# A store that is gone counts as present until then for requests to retire others.
FORGET_LIMIT = timedelta(seconds=8)


@dataclass(frozen=True, slots=True)
class ObserveStatus:
    """Ask this store's replica what it knows of the group."""


@dataclass(frozen=True, slots=True)
class ChangeReplica:
    """Ask the group for a membership change."""

    kind: ChangeKind
    replica: ReplicaId
    replacement: ReplicaId | None
    reason: str


@dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Ask the group to apply a command on the registered stores."""

    command: object


@dataclass(frozen=True, slots=True)
class TellStore:
    """Send a message to a store."""

    node: NodeId
    message: object


@dataclass(slots=True)
class HeardStore:
    """Hold a store's last announcement."""

    hello: StoreHello
    heard_at: datetime


@dataclass(slots=True)
class RepairState:
    """Hold what a store knows of all stores; the repair task owns it."""

    n_voters_wanted: int
    heard: dict[NodeId, HeardStore] = field(default_factory=dict)
    records: dict[HostName, StoreRecord] = field(default_factory=dict)
    silent_since: dict[ReplicaId, datetime] = field(default_factory=dict)
    learner_since: dict[ReplicaId, datetime] = field(default_factory=dict)


@singledispatch
def handle(message: object, state: RepairState, now: datetime) -> list[object]:
    """Return the effects of a message."""
    raise TypeError(f"repair has no message {type(message).__name__}")


@handle.register
def _(message: Tick, state: RepairState, now: datetime) -> list[object]:
    return [ObserveStatus()]


@handle.register
def _(message: StoreHello, state: RepairState, now: datetime) -> list[object]:
    state.heard[message.node] = HeardStore(message, now)
    return []


@handle.register
def _(message: StoreRecordsChanged, state: RepairState, now: datetime) -> list[object]:
    state.records = {record.host: record for record in message.records}
    return []


@handle.register
def _(message: StatusObserved, state: RepairState, now: datetime) -> list[object]:
    status = message.status
    if status.role is not Role.LEADER:
        state.silent_since.clear()
        state.learner_since.clear()
        return []
    _note_reachability(status, state, now)
    effects = _register_heard(state, now)
    if status.is_change_pending:
        return effects + _cancel_stuck_learner(status, state, now)
    effects.extend(_tell_removed(status, state, now))
    effects.extend(_complete_retirements(status, state, now))
    change = _find_change(status, state, now)
    return effects if change is None else [*effects, change]


def _note_reachability(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> None:
    reachable = {one.replica for one in status.followers if one.is_reachable}
    reachable.add(status.replica)
    members = (*status.membership.voters, *status.membership.learners)
    for replica in members:
        if replica in reachable:
            state.silent_since.pop(replica, None)
        else:
            state.silent_since.setdefault(replica, now)
    for replica in list(state.silent_since):
        if replica not in members:
            del state.silent_since[replica]
    for replica in status.membership.learners:
        state.learner_since.setdefault(replica, now)
    for replica in list(state.learner_since):
        if replica not in status.membership.learners:
            del state.learner_since[replica]


def _register_heard(state: RepairState, now: datetime) -> list[object]:
    effects: list[object] = []
    for store in state.heard.values():
        hello = store.hello
        known = state.records.get(hello.host)
        is_known = known is not None and known.replica == hello.replica
        if not is_known and now - store.heard_at < HEARD_LIMIT:
            command = RegisterStore(hello.host, hello.node, hello.replica)
            effects.append(ProposeCommand(command))
    return effects


def _cancel_stuck_learner(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> list[object]:
    for learner in status.membership.learners:
        since = state.learner_since.get(learner, now)
        is_silent = learner in state.silent_since
        if is_silent and now - since >= LEARNER_LIMIT:
            del state.learner_since[learner]
            reason = "new replica is silent"
            return [ChangeReplica(ChangeKind.REMOVE, learner, None, reason)]
    return []


def _tell_removed(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> list[object]:
    removed = set(status.membership.removed)
    return [
        TellStore(store.hello.node, ReplicaRemoved(store.hello.replica))
        for store in state.heard.values()
        if store.hello.replica in removed
        and now - store.heard_at < HEARD_LIMIT
        and _get_standing(store.hello.host, state) is StoreStanding.ACTIVE
    ]


def _complete_retirements(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> list[object]:
    members = {*status.membership.voters, *status.membership.learners}
    effects: list[object] = []
    for record in state.records.values():
        if record.replica in members:
            continue
        if record.standing is StoreStanding.RETIRING:
            effects.append(ProposeCommand(CompleteRetirement(record.host)))
        elif record.standing is StoreStanding.ACTIVE and _is_gone(record, state, now):
            effects.append(ProposeCommand(ForgetStore(record.host, record.replica)))
    return effects


def _is_gone(record: StoreRecord, state: RepairState, now: datetime) -> bool:
    heard = state.heard.get(record.node)
    # A new leader waits for an announcement before it believes a store gone.
    return heard is not None and now - heard.heard_at > FORGET_LIMIT


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
    chosen = _choose_spare(spares, status, state)
    for record in state.records.values():
        if record.standing is StoreStanding.RETIRING and record.replica in voters:
            return _replace_or_remove(record.replica, chosen, "the store retires")
    if chosen is None:
        return _find_surplus(status, state, now)
    if len(voters) < state.n_voters_wanted:
        reason = "the group has too few voters"
        return ChangeReplica(ChangeKind.ADD, chosen.replica, None, reason)
    for voter in voters:
        since = state.silent_since.get(voter)
        if since is not None and now - since >= UNREACHABLE_LIMIT:
            reason = "the voter is silent"
            return ChangeReplica(ChangeKind.REPLACE, voter, chosen.replica, reason)
    return None


def _find_surplus(
    status: ReplicationStatus, state: RepairState, now: datetime
) -> ChangeReplica | None:
    if len(status.membership.voters) <= state.n_voters_wanted:
        return None
    for voter in status.membership.voters:
        since = state.silent_since.get(voter)
        if since is not None and now - since >= UNREACHABLE_LIMIT:
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
        for store in state.heard.values()
        if store.hello.replica not in taken
        and now - store.heard_at < HEARD_LIMIT
        and _get_standing(store.hello.host, state) is StoreStanding.ACTIVE
    ]


def _get_standing(host: HostName, state: RepairState) -> StoreStanding:
    record = state.records.get(host)
    return StoreStanding.ACTIVE if record is None else record.standing


def _choose_spare(
    spares: list[StoreHello], status: ReplicationStatus, state: RepairState
) -> StoreHello | None:
    """Return a spare store, from a data centre without a voter if possible."""
    used: set[DataCentreName] = set()
    for voter in status.membership.voters:
        heard = state.heard.get(get_node(voter))
        if heard is not None and voter not in state.silent_since:
            used.add(heard.hello.data_centre)
    ranked = sorted(spares, key=lambda hello: (hello.data_centre in used, hello.node))
    return ranked[0] if ranked else None
