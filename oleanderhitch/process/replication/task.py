"""Run one replica of a group: its core, its storage and its application."""

from collections.abc import Callable
from datetime import datetime
from functools import singledispatch
from random import Random

import logbook

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.application import Application
from oleanderhitch.process.groups.messages import (
    GroupRedirect,
    LocalCall,
    ReplicaEnvelope,
)
from oleanderhitch.process.ids import GroupId, NodeId, ReplicaId
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.replication import core
from oleanderhitch.process.replication.binding import (
    EFFECTS_AFTER_FAILURE,
    GroupBinding,
    GroupState,
    ListLeaderCommands,
    OperatorCall,
    OwnCommand,
    SendAnswer,
    make_hello_address,
)
from oleanderhitch.process.replication.binding import perform as perform_effect
from oleanderhitch.process.replication.effects import (
    LeadershipChanged,
)
from oleanderhitch.process.replication.exceptions import ReplicationError
from oleanderhitch.process.replication.founding import (
    FoundingHello,
    FoundingState,
    FoundingSynced,
    handle_founding_synced,
    handle_founding_tick,
    handle_hello,
)
from oleanderhitch.process.replication.messages import (
    PEER_MESSAGES,
    AddReplica,
    ChangeMembership,
    CompactLog,
    DeclareReplicaLost,
    FoundGroup,
    GetReplicationStatus,
    PeerMessage,
    Persisted,
    Propose,
    ReadBarrier,
    RemoveReplica,
    ReplaceReplica,
    StorageFailed,
    TransferLeadership,
)
from oleanderhitch.process.replication.replica import Limits, Timing
from oleanderhitch.process.replication.states import ChangeKind, Role
from oleanderhitch.process.replication.status import make_status
from oleanderhitch.process.storage.messages import (
    RecordsSynced,
    SnapshotRequested,
    WriteFailed,
)
from oleanderhitch.process.storage.task import Storage
from oleanderhitch.process.task import Task, make_task

# Three ticks an interval keep heartbeats and timeouts close to their times; at
# the default interval of 300 ms a replica wakes up ten times a second.
N_TICKS_PER_HEARTBEAT = 3
# Leaves room in a frame for the names around the command, twice wrapped.
COMMAND_LIMIT_BYTES = 7 * 1024 * 1024


def make_group_task(
    group: GroupId,
    node: NodeId,
    founding_nodes: tuple[NodeId, ...],
    storage: Storage,
    application: Application,
    transport: Address,
    clock: Clock,
    random_source: Random,
    timing: Timing | None = None,
    limits: Limits | None = None,
    on_leadership: Callable[[LeadershipChanged], None] | None = None,
    may_found: bool = True,
) -> Task[GroupState]:
    """Return the task of this node's replica of a group, not started yet.

    The transport takes ReplicaEnvelope messages. The founding nodes must be the
    same on all of them; on a node that joins later they tell whom to ask. A
    replica that may not found waits to be added unless its disk has a log.
    """
    timing = timing or Timing()
    found = storage.take_recovered_group(group)
    founding = FoundingState(node, storage.replica, founding_nodes)
    if found.bootstrap_record is not None:
        founding.voters = found.bootstrap_record.voters
        founding.is_formed = found.bootstrap_record.is_formed
    # A replica that was added later has a log but was never a founding voter.
    founding.is_excluded = not founding.voters and (
        found.last_index > 0 or not may_found
    )
    replica = core.make_replica(
        group,
        storage.replica,
        founding.voters if founding.is_formed else (),
        (),
        random_source,
        timing,
        limits,
        found.hard_state,
        found.snapshot,
        tuple(found.entries),
    )
    if found.snapshot is not None:
        application.restore_snapshot(found.snapshot.data)
    codec = make_codec((*PEER_MESSAGES, FoundingHello))
    state = GroupState(replica, founding, codec)
    log = logbook.Logger(f"group {group}")

    def perform(effect: object) -> None:
        if not binding.has_failed or isinstance(effect, EFFECTS_AFTER_FAILURE):
            perform_effect(effect, binding)

    task = make_task(
        f"group {group}",
        state,
        handle,
        perform,
        clock,
        tick_interval=timing.heartbeat_interval / N_TICKS_PER_HEARTBEAT,
        find_wake=_find_wake,
    )
    binding = GroupBinding(
        state, storage, application, transport, clock, task, log, on_leadership
    )
    return task


def _find_wake(state: GroupState) -> datetime | None:
    """Wake a follower only for an election; the interval serves all others."""
    if state.replica.role is Role.FOLLOWER and state.founding.is_formed:
        return state.replica.election_deadline
    return None


def handle(message: object, state: GroupState, now: datetime) -> list[object]:
    """Return the effects of a message, and stop the replica on a broken rule."""
    try:
        return _handle(message, state, now)
    except ReplicationError as error:
        return core.handle(StorageFailed(str(error)), state.replica, now)


@singledispatch
def _handle(message: object, state: GroupState, now: datetime) -> list[object]:
    return core.handle(message, state.replica, now)


@_handle.register
def _(message: Tick, state: GroupState, now: datetime) -> list[object]:
    effects = core.handle(message, state.replica, now)
    effects.extend(handle_founding_tick(state.founding, now))
    replica = state.replica
    is_ready = (
        replica.role is Role.LEADER and replica.commit_index >= replica.term_start_index
    )
    if is_ready and not state.own_commands:
        effects.append(ListLeaderCommands(now))
    return effects


@_handle.register
def _(message: LocalCall, state: GroupState, now: datetime) -> list[object]:
    call = message.call
    if len(call.body) > COMMAND_LIMIT_BYTES:
        return [SendAnswer(message.reply, GroupRedirect(call.call, None))]
    number = _take_number(state)
    state.calls[number] = message
    if call.is_read:
        return core.handle(ReadBarrier(number), state.replica, now)
    return core.handle(Propose(number, call.body), state.replica, now)


def _take_number(state: GroupState) -> int:
    state.n_calls += 1
    return state.n_calls


@_handle.register
def _(message: OwnCommand, state: GroupState, now: datetime) -> list[object]:
    number = _take_number(state)
    state.own_commands.add(number)
    return core.handle(Propose(number, message.command), state.replica, now)


@_handle.register
def _(message: OperatorCall, state: GroupState, now: datetime) -> list[object]:
    number = _take_number(state)
    state.operator_calls[number] = message
    return _handle_operator(message.request, number, state, now)


@_handle.register
def _(message: ReplicaEnvelope, state: GroupState, now: datetime) -> list[object]:
    is_hello = message.receiver == make_hello_address(state.founding.node)
    if message.receiver != state.replica.replica and not is_hello:
        # Meant for the lost disk of this node, whose promises are not known here.
        return []
    try:
        body = state.codec.decode(message.body)
    except MalformedFrameError:
        return []
    if isinstance(body, FoundingHello):
        return handle_hello(state.founding, body)
    is_settled = state.founding.is_formed or state.founding.is_excluded
    if is_hello or not is_settled:
        # A founding voter must know the founding set before it stores entries:
        # its snapshots would lack the voters otherwise.
        return []
    return core.handle(PeerMessage(message.sender, body), state.replica, now)


@_handle.register
def _(message: RecordsSynced, state: GroupState, now: datetime) -> list[object]:
    effects: list[object] = []
    last_persisted: object | None = None
    for acknowledgement in message.acknowledgements:
        if isinstance(acknowledgement, Persisted):
            # A later one covers an earlier one.
            last_persisted = acknowledgement
        else:
            effects.extend(_handle(acknowledgement, state, now))
    if last_persisted is not None:
        effects.extend(core.handle(last_persisted, state.replica, now))
    return effects


@_handle.register
def _(message: FoundingSynced, state: GroupState, now: datetime) -> list[object]:
    handle_founding_synced(state.founding, message)
    if not message.is_formed:
        return handle_founding_tick(state.founding, now)
    return core.handle(FoundGroup(message.voters), state.replica, now)


@_handle.register
def _(message: WriteFailed, state: GroupState, now: datetime) -> list[object]:
    return core.handle(StorageFailed(message.reason), state.replica, now)


@_handle.register
def _(message: SnapshotRequested, state: GroupState, now: datetime) -> list[object]:
    return core.handle(CompactLog(), state.replica, now)


@singledispatch
def _handle_operator(
    request: object, number: int, state: GroupState, now: datetime
) -> list[object]:
    state.operator_calls.pop(number)
    raise ReplicationError(f"unknown operator request {type(request).__name__}")


def _change(
    number: int,
    kind: ChangeKind,
    replica: ReplicaId,
    replacement: ReplicaId | None,
    state: GroupState,
    now: datetime,
) -> list[object]:
    message = ChangeMembership(number, kind, replica, replacement)
    return core.handle(message, state.replica, now)


@_handle_operator.register
def _(
    request: AddReplica, number: int, state: GroupState, now: datetime
) -> list[object]:
    return _change(number, ChangeKind.ADD, request.replica, None, state, now)


@_handle_operator.register
def _(
    request: ReplaceReplica, number: int, state: GroupState, now: datetime
) -> list[object]:
    return _change(
        number, ChangeKind.REPLACE, request.lost, request.replacement, state, now
    )


@_handle_operator.register
def _(
    request: RemoveReplica, number: int, state: GroupState, now: datetime
) -> list[object]:
    return _change(number, ChangeKind.REMOVE, request.replica, None, state, now)


@_handle_operator.register
def _(
    request: DeclareReplicaLost, number: int, state: GroupState, now: datetime
) -> list[object]:
    kind = ChangeKind.DECLARE_LOST
    return _change(number, kind, request.replica, None, state, now)


@_handle_operator.register
def _(
    request: TransferLeadership, number: int, state: GroupState, now: datetime
) -> list[object]:
    state.operator_calls.pop(number)
    return core.handle(request, state.replica, now)


@_handle_operator.register
def _(
    request: GetReplicationStatus, number: int, state: GroupState, now: datetime
) -> list[object]:
    call = state.operator_calls.pop(number)
    status = make_status(request.request, state.replica, now)
    return [SendAnswer(call.reply, status)]
