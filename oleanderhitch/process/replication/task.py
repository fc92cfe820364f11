"""Task that runs one replica of a group: its core, storage and application."""

import math
from collections.abc import Callable
from datetime import datetime, timedelta
from functools import singledispatch
from random import Random

import logbook
from msgspec.structs import replace

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.exceptions import OleanderhitchError
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
from oleanderhitch.process.replication.bootstrap import (
    BootstrapState,
    FoundingHello,
    VotersPersisted,
    handle_bootstrap_tick,
    handle_hello,
    handle_voters_persisted,
)
from oleanderhitch.process.replication.effect_handlers import (
    EFFECTS_AFTER_FAILURE,
    GroupContext,
    GroupState,
    LeaderCommand,
    OperatorCall,
    ProposeLeaderCommands,
    SendReply,
    make_any_replica_receiver,
    make_call_key,
)
from oleanderhitch.process.replication.effect_handlers import perform as perform_effect
from oleanderhitch.process.replication.effects import (
    LeadershipChanged,
)
from oleanderhitch.process.replication.exceptions import ReplicationError
from oleanderhitch.process.replication.messages import (
    REPLICA_MESSAGES,
    AddReplica,
    BootstrapGroup,
    ChangeMembership,
    CompactLog,
    DeclareReplicaLost,
    EntriesPersisted,
    GetLeaderContact,
    GetReplicationStatus,
    LeaderContact,
    Propose,
    ReadBarrier,
    RemoveReplica,
    ReplaceReplica,
    ReplicaMessage,
    StorageFailed,
    TransferLeadership,
)
from oleanderhitch.process.replication.replica import (
    ReplicationLimits,
    ReplicationTiming,
)
from oleanderhitch.process.replication.states import ChangeKind, Role
from oleanderhitch.process.replication.status import make_status
from oleanderhitch.process.storage.messages import (
    RecordsSynced,
    SnapshotRequested,
    WriteFailed,
)
from oleanderhitch.process.storage.task import Storage
from oleanderhitch.process.task import Task, make_task

# Three ticks per heartbeat interval keep heartbeats and timeouts close to their times;
# with the default interval of 300 ms a replica wakes up ten times a second.
N_TICKS_PER_HEARTBEAT = 3
# Leaves room in a frame for the field names of the two messages that wrap a command.
COMMAND_LIMIT_BYTES = 7 * 1024 * 1024


def make_group_task(
    group: GroupId,
    node: NodeId,
    bootstrap_nodes: tuple[NodeId, ...],
    storage: Storage,
    application: Application,
    transport: Address,
    clock: Clock,
    random_source: Random,
    timing: ReplicationTiming | None = None,
    limits: ReplicationLimits | None = None,
    on_leadership_change: Callable[[LeadershipChanged], None] | None = None,
    may_bootstrap: bool = True,
) -> Task[GroupState]:
    """Return the task of this node's replica of a group, not started yet.

    The transport takes ReplicaEnvelope messages. All bootstrap nodes must be given the
    same `bootstrap_nodes`; a node that joins later sends its hellos to them. A replica
    that may not bootstrap waits until it is added, unless its disk has a log.
    """
    timing = timing or ReplicationTiming()
    recovered = storage.take_recovered_group(group)
    bootstrap = BootstrapState(node, storage.replica, bootstrap_nodes)
    if recovered.bootstrap_record is not None:
        bootstrap.voters = recovered.bootstrap_record.voters
        bootstrap.is_formed = recovered.bootstrap_record.is_formed
    # A replica that was added later has a log but was not an initial voter.
    bootstrap.is_excluded = not bootstrap.voters and (
        recovered.last_index > 0 or not may_bootstrap
    )
    log = logbook.Logger(f"group {group}")
    if recovered.snapshot is not None:
        started_at = clock.now()
        data = application.load_snapshot(recovered.snapshot.data[:])
        recovered.snapshot = replace(recovered.snapshot, data=data)
        log.info(
            "snapshot restored",
            index=recovered.snapshot.index,
            n_bytes=len(recovered.snapshot.data),
            took_ms=round((clock.now() - started_at).total_seconds() * 1000),
        )
    replica = core.make_replica(
        group,
        storage.replica,
        bootstrap.voters if bootstrap.is_formed else (),
        (),
        random_source,
        timing,
        limits,
        recovered.hard_state,
        recovered.snapshot,
        tuple(recovered.entries),
    )
    codec = make_codec((*REPLICA_MESSAGES, FoundingHello))
    state = GroupState(replica, bootstrap, codec)

    def perform(effect: object) -> None:
        if context.has_failed and not isinstance(effect, EFFECTS_AFTER_FAILURE):
            return
        try:
            perform_effect(effect, context)
        except OleanderhitchError:
            raise
        except Exception as error:
            log.error("unexpected error; the replica stops", error=repr(error))
            task.send(WriteFailed(f"unexpected error: {error!r}"))

    task = make_task(
        f"group {group}",
        state,
        handle,
        perform,
        clock,
        tick_interval=timing.heartbeat_interval / N_TICKS_PER_HEARTBEAT,
        find_next_tick=find_next_tick,
    )
    context = GroupContext(
        state, storage, application, transport, clock, task, log, on_leadership_change
    )
    return task


def find_next_tick(state: GroupState) -> datetime | None:
    """Return the time at which a timeout or a heartbeat is due, if it is known.

    None means ticks at the interval, as before the group is formed. A replica that did
    not found its group waits to be added, or has been.
    """
    replica = state.replica
    bootstrap = state.bootstrap
    if replica.role is Role.FOLLOWER and (bootstrap.is_formed or bootstrap.is_excluded):
        return replica.election_deadline
    if replica.role is Role.LEADER and replica.heartbeat_due_at is not None:
        # Reads move the heartbeat, but must not delay the checks of a tick.
        last_tick_at = replica.last_tick_at or replica.heartbeat_due_at
        return min(
            replica.heartbeat_due_at, last_tick_at + replica.timing.heartbeat_interval
        )
    return None


def handle(message: object, state: GroupState, now: datetime) -> list[object]:
    """Return the effects of a message; stop the replica on a ReplicationError."""
    try:
        return _handle(message, state, now)
    except ReplicationError as error:
        return core.handle(StorageFailed(str(error)), state.replica, now)
    except Exception as error:
        # The state may be half changed. A replica that stops recovers from its log.
        reason = f"unexpected error: {error!r}"
        return core.handle(StorageFailed(reason), state.replica, now)


@singledispatch
def _handle(message: object, state: GroupState, now: datetime) -> list[object]:
    return core.handle(message, state.replica, now)


@_handle.register
def _(message: Tick, state: GroupState, now: datetime) -> list[object]:
    effects = core.handle(message, state.replica, now)
    effects.extend(handle_bootstrap_tick(state.bootstrap, now))
    replica = state.replica
    is_ready = (
        replica.role is Role.LEADER and replica.commit_index >= replica.term_start_index
    )
    if is_ready and not state.pending_leader_commands:
        effects.append(ProposeLeaderCommands(now))
    return effects


@_handle.register
def _(message: LocalCall, state: GroupState, now: datetime) -> list[object]:
    call = message.group_call
    if len(call.body) > COMMAND_LIMIT_BYTES:
        # Too large for a frame. The client tries other stores until it times out.
        return [SendReply(message.reply_address, GroupRedirect(call.call, None))]
    key = make_call_key(message)
    if key in state.pending_call_keys:
        return []
    request_number = _allocate_request_number(state)
    state.pending_calls[request_number] = message
    state.pending_call_keys.add(key)
    if call.is_read:
        return core.handle(ReadBarrier(request_number), state.replica, now)
    return core.handle(Propose(request_number, call.body), state.replica, now)


def _allocate_request_number(state: GroupState) -> int:
    state.last_request_number += 1
    return state.last_request_number


@_handle.register
def _(message: LeaderCommand, state: GroupState, now: datetime) -> list[object]:
    request_number = _allocate_request_number(state)
    state.pending_leader_commands.add(request_number)
    return core.handle(Propose(request_number, message.command), state.replica, now)


@_handle.register
def _(message: OperatorCall, state: GroupState, now: datetime) -> list[object]:
    request_number = _allocate_request_number(state)
    state.pending_operator_calls[request_number] = message
    return _handle_operator_request(message.request, request_number, state, now)


@_handle.register
def _(message: ReplicaEnvelope, state: GroupState, now: datetime) -> list[object]:
    is_hello = message.receiver == make_any_replica_receiver(state.bootstrap.node)
    if message.receiver != state.replica.replica and not is_hello:
        # Addressed to the replica on this node's lost disk, whose votes and
        # acknowledgements were lost with it.
        return []
    try:
        body = state.codec.decode(message.body)
    except MalformedFrameError:
        return []
    if isinstance(body, FoundingHello):
        return handle_hello(state.bootstrap, body)
    is_bootstrap_over = state.bootstrap.is_formed or state.bootstrap.is_excluded
    if is_hello or not is_bootstrap_over:
        # An initial voter stores no entries before it has the full set of voters: its
        # snapshots would lack the voters otherwise.
        return []
    return core.handle(ReplicaMessage(message.sender, body), state.replica, now)


@_handle.register
def _(message: RecordsSynced, state: GroupState, now: datetime) -> list[object]:
    effects: list[object] = []
    last_persisted: object | None = None
    for acknowledgement in message.acknowledgements:
        if isinstance(acknowledgement, EntriesPersisted):
            # The last one covers all earlier ones.
            last_persisted = acknowledgement
        else:
            effects.extend(_handle(acknowledgement, state, now))
    if last_persisted is not None:
        effects.extend(core.handle(last_persisted, state.replica, now))
    return effects


@_handle.register
def _(message: VotersPersisted, state: GroupState, now: datetime) -> list[object]:
    handle_voters_persisted(state.bootstrap, message)
    if not message.is_formed:
        return handle_bootstrap_tick(state.bootstrap, now)
    return core.handle(BootstrapGroup(message.voters), state.replica, now)


@_handle.register
def _(message: WriteFailed, state: GroupState, now: datetime) -> list[object]:
    return core.handle(StorageFailed(message.reason), state.replica, now)


@_handle.register
def _(message: SnapshotRequested, state: GroupState, now: datetime) -> list[object]:
    return core.handle(CompactLog(), state.replica, now)


@singledispatch
def _handle_operator_request(
    request: object, request_number: int, state: GroupState, now: datetime
) -> list[object]:
    state.pending_operator_calls.pop(request_number)
    raise ReplicationError(f"unknown operator request {type(request).__name__}")


def _request_change(
    request_number: int,
    kind: ChangeKind,
    replica: ReplicaId,
    replacement: ReplicaId | None,
    state: GroupState,
    now: datetime,
) -> list[object]:
    message = ChangeMembership(request_number, kind, replica, replacement)
    return core.handle(message, state.replica, now)


@_handle_operator_request.register
def _(
    request: AddReplica, request_number: int, state: GroupState, now: datetime
) -> list[object]:
    return _request_change(
        request_number, ChangeKind.ADD, request.replica, None, state, now
    )


@_handle_operator_request.register
def _(
    request: ReplaceReplica, request_number: int, state: GroupState, now: datetime
) -> list[object]:
    return _request_change(
        request_number,
        ChangeKind.REPLACE,
        request.lost,
        request.replacement,
        state,
        now,
    )


@_handle_operator_request.register
def _(
    request: RemoveReplica, request_number: int, state: GroupState, now: datetime
) -> list[object]:
    return _request_change(
        request_number, ChangeKind.REMOVE, request.replica, None, state, now
    )


@_handle_operator_request.register
def _(
    request: DeclareReplicaLost, request_number: int, state: GroupState, now: datetime
) -> list[object]:
    kind = ChangeKind.DECLARE_LOST
    return _request_change(request_number, kind, request.replica, None, state, now)


@_handle_operator_request.register
def _(
    request: TransferLeadership, request_number: int, state: GroupState, now: datetime
) -> list[object]:
    state.pending_operator_calls.pop(request_number)
    return core.handle(request, state.replica, now)


@_handle_operator_request.register
def _(
    request: GetLeaderContact, request_number: int, state: GroupState, now: datetime
) -> list[object]:
    call = state.pending_operator_calls.pop(request_number)
    replica = state.replica
    contact_at = replica.contacts.find_before(request.term)
    if replica.term < request.term or contact_at is None:
        return []
    age_ms = math.floor((now - contact_at) / timedelta(milliseconds=1))
    voters = replica.membership.voters
    contact = LeaderContact(replica.replica, request.term, age_ms, voters)
    return [SendReply(call.reply_address, contact)]


@_handle_operator_request.register
def _(
    request: GetReplicationStatus, request_number: int, state: GroupState, now: datetime
) -> list[object]:
    call = state.pending_operator_calls.pop(request_number)
    status = make_status(request.request, state.replica, now)
    return [SendReply(call.reply_address, status)]
