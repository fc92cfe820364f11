"""Run one replica of a group: its core, its storage and its application."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatch
from random import Random

import logbook

from oleanderhitch.connection.codec import Codec, make_codec
from oleanderhitch.connection.exceptions import MalformedFrameError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.application import Application
from oleanderhitch.process.groups.messages import (
    GroupAnswer,
    GroupRedirect,
    GroupUncertain,
    LocalCall,
    ReplicaEnvelope,
)
from oleanderhitch.process.ids import GroupId, NodeId, ReplicaId
from oleanderhitch.process.mailbox import Address, MailboxFullError
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.replication import core
from oleanderhitch.process.replication.exceptions import ReplicationError
from oleanderhitch.process.replication.founding import (
    FixVoters,
    FoundingHello,
    FoundingState,
    FoundingSynced,
    SendHello,
    handle_founding_synced,
    handle_founding_tick,
    handle_hello,
)
from oleanderhitch.process.replication.messages import (
    PEER_MESSAGES,
    AddReplica,
    ApplyCommitted,
    ChangeEnded,
    ChangeMembership,
    CompactLog,
    DeclareReplicaLost,
    FoundGroup,
    GetReplicationStatus,
    HardStatePersisted,
    LeadershipChanged,
    MembershipAnswer,
    MembershipChanged,
    PeerMessage,
    Persisted,
    PersistEntries,
    PersistHardState,
    ProposalCommitted,
    ProposalRejected,
    ProposalUncertain,
    Propose,
    ReadBarrier,
    ReadReady,
    ReadRejected,
    RemoveReplica,
    ReplaceReplica,
    RestoreSnapshot,
    SendToReplica,
    Snapshot,
    SnapshotRestored,
    SnapshotTaken,
    StorageFailed,
    TakeSnapshot,
    TransferLeadership,
    TruncateLog,
)
from oleanderhitch.process.replication.replica import Limits, ReplicaState, Timing
from oleanderhitch.process.replication.states import ChangeKind, Role
from oleanderhitch.process.replication.status import make_status
from oleanderhitch.process.storage.messages import (
    EntryRecord,
    FoundingRecord,
    HardStateRecord,
    RecordsSynced,
    SaveSnapshot,
    SnapshotWanted,
    TruncationRecord,
    WriteFailed,
    WriteRecords,
)
from oleanderhitch.process.storage.task import Storage
from oleanderhitch.process.task import Task, make_task

# Fine enough for the election timeouts; 20 wake-ups a second cost about 0.05%
# of a core.
TICK_INTERVAL = timedelta(milliseconds=50)
# Leaves room in a frame for the names around the command, twice wrapped.
COMMAND_LIMIT_BYTES = 7 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """Hand an operator's request to a group's task."""

    request: object
    reply: Address


@dataclass(frozen=True, slots=True)
class OwnCommand:
    """Bring a command that the application proposes by itself."""

    command: bytes


@dataclass(frozen=True, slots=True)
class ListLeaderCommands:
    """Ask the application which commands the leader should propose."""

    now: datetime


@dataclass(frozen=True, slots=True)
class SendAnswer:
    """Send an answer to an address."""

    reply: Address
    message: object


@dataclass(slots=True)
class GroupState:
    """Hold the replica and the calls that wait for it."""

    replica: ReplicaState
    founding: FoundingState
    codec: Codec
    n_calls: int = 0
    calls: dict[int, LocalCall] = field(default_factory=dict)
    own_commands: set[int] = field(default_factory=set)
    operator_calls: dict[int, OperatorCall] = field(default_factory=dict)


@dataclass(slots=True)
class GroupBinding:
    """Hold what the effects of a group act on."""

    state: GroupState
    storage: Storage
    application: Application
    transport: Address
    task: Address
    log: logbook.Logger
    on_leadership: Callable[[LeadershipChanged], None] | None = None
    has_failed: bool = False
    result: bytes = b""


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
) -> Task[GroupState]:
    """Return the task of this node's replica of a group, not started yet.

    The transport takes ReplicaEnvelope messages. The founding nodes must be the
    same on all of them; on a node that joins later they tell whom to ask.
    """
    found = storage.find_group(group)
    founding = FoundingState(node, storage.replica, founding_nodes)
    if found.founding is not None:
        founding.voters = found.founding.voters
        founding.is_formed = found.founding.is_formed
    # A replica that was added later has a log but was never a founding voter.
    founding.is_excluded = not founding.voters and found.last_index > 0
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
        if not binding.has_failed:
            _perform(effect, binding)

    task = make_task(
        f"group {group}", state, handle, perform, clock, tick_interval=TICK_INTERVAL
    )
    binding = GroupBinding(
        state, storage, application, transport, task, log, on_leadership
    )
    return task


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
    if is_hello:
        return []
    return core.handle(PeerMessage(message.sender, body), state.replica, now)


def make_hello_address(node: NodeId) -> ReplicaId:
    """Return the receiver that stands for any replica of a node."""
    return ReplicaId(f"{node}/?")


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
def _(message: SnapshotWanted, state: GroupState, now: datetime) -> list[object]:
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


@singledispatch
def _perform(effect: object, binding: GroupBinding) -> None:
    raise ReplicationError(f"unknown effect {type(effect).__name__}")


@_perform.register
def _(effect: SendAnswer, binding: GroupBinding) -> None:
    effect.reply.send(effect.message)


@_perform.register
def _(effect: SendToReplica, binding: GroupBinding) -> None:
    _send_envelope(effect.replica, effect.message, binding)


@_perform.register
def _(effect: SendHello, binding: GroupBinding) -> None:
    _send_envelope(make_hello_address(effect.node), effect.hello, binding)


def _send_envelope(receiver: ReplicaId, message: object, binding: GroupBinding) -> None:
    replica = binding.state.replica
    body = binding.state.codec.encode(message)
    binding.transport.send(
        ReplicaEnvelope(replica.group, replica.replica, receiver, body)
    )


def _store(binding: GroupBinding, message: WriteRecords | SaveSnapshot) -> None:
    try:
        binding.storage.send(message)
    except MailboxFullError as error:
        # A write that is skipped would leave a gap in the log.
        _fail(binding, str(error))


def _fail(binding: GroupBinding, reason: str) -> None:
    binding.log.error("the replica stops: {}", reason)
    binding.has_failed = True
    effects = core.handle(StorageFailed(reason), binding.state.replica, datetime.min)
    for effect in effects:
        _perform(effect, binding)


@_perform.register
def _(effect: PersistHardState, binding: GroupBinding) -> None:
    record = HardStateRecord(binding.state.replica.group, effect.hard_state)
    acknowledgement = HardStatePersisted(effect.hard_state)
    _store(binding, WriteRecords((record,), binding.task, acknowledgement))


@_perform.register
def _(effect: PersistEntries, binding: GroupBinding) -> None:
    group = binding.state.replica.group
    records = tuple(EntryRecord(group, entry) for entry in effect.entries)
    last = effect.entries[-1]
    acknowledgement = Persisted(last.index, last.term, effect.n_truncations)
    _store(binding, WriteRecords(records, binding.task, acknowledgement))


@_perform.register
def _(effect: TruncateLog, binding: GroupBinding) -> None:
    record = TruncationRecord(binding.state.replica.group, effect.first_index)
    _store(binding, WriteRecords((record,), binding.task))


@_perform.register
def _(effect: FixVoters, binding: GroupBinding) -> None:
    group = binding.state.replica.group
    record = FoundingRecord(group, effect.voters, effect.is_formed)
    acknowledgement = FoundingSynced(effect.voters, effect.is_formed)
    _store(binding, WriteRecords((record,), binding.task, acknowledgement))


@_perform.register
def _(effect: TakeSnapshot, binding: GroupBinding) -> None:
    data = binding.application.take_snapshot()
    snapshot = Snapshot(effect.index, effect.term, effect.membership, data)
    group = binding.state.replica.group
    acknowledgement = SnapshotTaken(effect.index, data)
    _store(binding, SaveSnapshot(group, snapshot, True, binding.task, acknowledgement))


@_perform.register
def _(effect: RestoreSnapshot, binding: GroupBinding) -> None:
    snapshot = effect.snapshot
    binding.application.restore_snapshot(snapshot.data)
    group = binding.state.replica.group
    acknowledgement = SnapshotRestored(snapshot.index)
    _store(
        binding,
        SaveSnapshot(
            group, snapshot, effect.is_log_kept, binding.task, acknowledgement
        ),
    )


@_perform.register
def _(effect: ApplyCommitted, binding: GroupBinding) -> None:
    try:
        binding.result = binding.application.apply(effect.command)
    except Exception as error:
        # Skipping a command would let this state machine differ from the others.
        _fail(binding, f"command {effect.index} can't be applied: {error!r}")


@_perform.register
def _(effect: ProposalCommitted, binding: GroupBinding) -> None:
    binding.state.own_commands.discard(effect.proposal_id)
    call = binding.state.calls.pop(effect.proposal_id, None)
    if call is not None:
        call.reply.send(GroupAnswer(call.call.call, binding.result))


@_perform.register
def _(effect: ProposalRejected, binding: GroupBinding) -> None:
    binding.state.own_commands.discard(effect.proposal_id)
    _redirect(effect.proposal_id, effect.leader_hint, binding)


@_perform.register
def _(effect: ReadRejected, binding: GroupBinding) -> None:
    _redirect(effect.read_id, effect.leader_hint, binding)


def _redirect(number: int, leader: ReplicaId | None, binding: GroupBinding) -> None:
    call = binding.state.calls.pop(number, None)
    if call is not None:
        call.reply.send(GroupRedirect(call.call.call, leader))


@_perform.register
def _(effect: ProposalUncertain, binding: GroupBinding) -> None:
    binding.state.own_commands.discard(effect.proposal_id)
    call = binding.state.calls.pop(effect.proposal_id, None)
    if call is not None:
        call.reply.send(GroupUncertain(call.call.call, effect.reason))


@_perform.register
def _(effect: ReadReady, binding: GroupBinding) -> None:
    call = binding.state.calls.pop(effect.read_id, None)
    if call is not None:
        body = binding.application.read(call.call.body)
        call.reply.send(GroupAnswer(call.call.call, body))


@_perform.register
def _(effect: ListLeaderCommands, binding: GroupBinding) -> None:
    for command in binding.application.make_leader_commands(effect.now):
        binding.task.send(OwnCommand(command))


@_perform.register
def _(effect: LeadershipChanged, binding: GroupBinding) -> None:
    binding.log.info(
        "{} in term {}, leader {}", effect.role.value, effect.term, effect.leader
    )
    if binding.on_leadership is not None:
        binding.on_leadership(effect)


@_perform.register
def _(effect: MembershipChanged, binding: GroupBinding) -> None:
    binding.log.info("membership is now {}", effect.membership)


@_perform.register
def _(effect: ChangeEnded, binding: GroupBinding) -> None:
    call = binding.state.operator_calls.pop(effect.change_id, None)
    if call is not None:
        request = getattr(call.request, "request", 0)
        call.reply.send(
            MembershipAnswer(request, effect.outcome, effect.reason, effect.leader_hint)
        )
