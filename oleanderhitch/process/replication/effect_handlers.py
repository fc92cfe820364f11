"""Handlers that perform a group's effects on storage, application and callers."""

from collections.abc import Callable
from contextlib import suppress
from datetime import datetime
from functools import singledispatch

import gevent
import logbook
from gevent.util import wrap_errors
from msgspec import Struct, field
from msgspec.structs import replace

from oleanderhitch.connection.codec import Codec
from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.application import Application
from oleanderhitch.process.groups.messages import (
    GroupAnswer,
    GroupRedirect,
    GroupUncertain,
    LocalCall,
    ReplicaEnvelope,
)
from oleanderhitch.process.ids import CallId, NodeId, ReplicaId
from oleanderhitch.process.mailbox import (
    Address,
    MailboxFullError,
    send_with_retry,
)
from oleanderhitch.process.replication import core
from oleanderhitch.process.replication.bootstrap import (
    BootstrapState,
    PersistVoters,
    ReportExclusion,
    SendHello,
    VotersPersisted,
)
from oleanderhitch.process.replication.effects import (
    ApplyCommitted,
    ChangeEnded,
    LeadershipChanged,
    MembershipChanged,
    PersistEntries,
    PersistHardState,
    ProposalCommitted,
    ProposalRejected,
    ProposalUncertain,
    ReadReady,
    ReadRejected,
    RestoreSnapshot,
    SendToReplica,
    SnapshotSaved,
    StoreSnapshotPiece,
    TakeSnapshot,
    TruncateLog,
)
from oleanderhitch.process.replication.exceptions import ReplicationError
from oleanderhitch.process.replication.messages import (
    EntriesPersisted,
    HardStatePersisted,
    MembershipAnswer,
    Snapshot,
    SnapshotPieceStored,
    SnapshotReceived,
    SnapshotRestored,
    SnapshotTaken,
    StorageFailed,
)
from oleanderhitch.process.replication.replica import ReplicaState
from oleanderhitch.process.replication.snapshot_data import SnapshotData
from oleanderhitch.process.replication.snapshot_sink import SnapshotSink
from oleanderhitch.process.replication.states import Role
from oleanderhitch.process.storage.disk import Disk
from oleanderhitch.process.storage.messages import (
    EntryRecord,
    FoundingRecord,
    HardStateRecord,
    SaveSnapshot,
    TruncationRecord,
    WriteFailed,
    WriteRecords,
)
from oleanderhitch.process.storage.task import Storage
from oleanderhitch.values import Value


class OperatorCall(Value, frozen=True):
    """Delivers an operator request to a group's task."""

    request: object
    reply_address: Address


class LeaderCommand(Value, frozen=True):
    """Delivers a command that the leader proposes by itself, without a caller."""

    command: bytes


class ProposeLeaderCommands(Value, frozen=True):
    """Proposes the commands that the application requests from the leader."""

    now: datetime


class SendReply(Value, frozen=True):
    """Sends a message to a reply address."""

    reply_address: Address
    message: object


class GroupState(Struct):
    """Replica of a group and the requests that wait for it."""

    replica: ReplicaState
    bootstrap: BootstrapState
    codec: Codec
    # Numbers calls, leader commands and operator requests; used as the id of the
    # proposal, read or membership change in the core.
    last_request_number: int = 0
    pending_calls: dict[int, LocalCall] = field(default_factory=dict)
    # Which calls are pending. A call is sent again while its answer is late, and a
    # second entry for it would make all answers later still.
    pending_call_keys: set[tuple[int, CallId]] = field(default_factory=set)
    pending_leader_commands: set[int] = field(default_factory=set)
    pending_operator_calls: dict[int, OperatorCall] = field(default_factory=dict)


def make_call_key(call: LocalCall) -> tuple[int, CallId]:
    """Return what tells a pending call from those of other senders."""
    return id(call.reply_address), call.group_call.call


def pop_call(state: GroupState, request_number: int) -> LocalCall | None:
    """Remove and return a pending call, or return None if there is none."""
    call = state.pending_calls.pop(request_number, None)
    if call is not None:
        state.pending_call_keys.discard(make_call_key(call))
    return call


# The only effects performed once a replica has failed in the middle of a step.
EFFECTS_AFTER_FAILURE = (
    SendReply,
    ProposalRejected,
    ProposalUncertain,
    ReadRejected,
    ChangeEnded,
    LeadershipChanged,
)


class GroupContext(Struct):
    """Everything that the effects of a group act on."""

    state: GroupState
    storage: Storage
    application: Application
    transport: Address
    clock: Clock
    task: Address
    log: logbook.Logger
    on_leadership_change: Callable[[LeadershipChanged], None] | None = None
    has_failed: bool = False
    # Takes the snapshot that is arriving, or has arrived and is not restored yet.
    sink: SnapshotSink | None = None
    # The last message to another replica, as sent; the next one follows soon.
    last_message: object = None
    last_body: bytes = b""
    # Result of the last command applied, until ProposalCommitted sends it to its
    # caller.
    last_result: bytes = b""


def make_any_replica_receiver(node: NodeId) -> ReplicaId:
    """Return the receiver of messages to a node's replica, whatever its id.

    A hello is sent before the replica id of the other node is known.
    """
    return ReplicaId(f"{node}/?")


@singledispatch
def perform(effect: object, context: GroupContext) -> None:
    """Perform an effect."""
    raise ReplicationError(
        f"group does not support effect type {type(effect).__name__}"
    )


@perform.register
def _(effect: SendReply, context: GroupContext) -> None:
    effect.reply_address.send(effect.message)


@perform.register
def _(effect: SendToReplica, context: GroupContext) -> None:
    _send_envelope(effect.replica, effect.message, context)


@perform.register
def _(effect: SendHello, context: GroupContext) -> None:
    _send_envelope(make_any_replica_receiver(effect.node), effect.hello, context)


def _send_envelope(receiver: ReplicaId, message: object, context: GroupContext) -> None:
    replica = context.state.replica
    body = _encode_once(message, context)
    envelope = ReplicaEnvelope(replica.group, replica.replica, receiver, body)
    # An unreachable peer is normal; the core retransmits after its own timeouts.
    with suppress(UnavailableError):
        context.transport.send(envelope)


def _encode_once(message: object, context: GroupContext) -> bytes:
    """Return an encoded message; what goes to several replicas is encoded once."""
    if message != context.last_message:
        context.last_message = message
        context.last_body = context.state.codec.encode(message)
    return context.last_body


def _write(context: GroupContext, message: WriteRecords | SaveSnapshot) -> None:
    try:
        context.storage.send(message)
    except MailboxFullError as error:
        # Skipping a write would leave a gap in the log.
        _stop_replica(context, str(error))


def _stop_replica(context: GroupContext, reason: str) -> None:
    """Stop the replica and reply to all pending calls, some of which may have run."""
    context.log.error("the replica stops: {}", reason)
    context.has_failed = True
    state = context.state
    for effect in core.handle(
        StorageFailed(reason), state.replica, context.clock.now()
    ):
        perform(effect, context)
    state.pending_call_keys.clear()
    while state.pending_calls:
        _, call = state.pending_calls.popitem()
        call.reply_address.send(GroupUncertain(call.group_call.call, reason))


@perform.register
def _(effect: PersistHardState, context: GroupContext) -> None:
    record = HardStateRecord(context.state.replica.group, effect.hard_state)
    acknowledgement = HardStatePersisted(effect.hard_state)
    _write(context, WriteRecords((record,), context.task, acknowledgement))


@perform.register
def _(effect: PersistEntries, context: GroupContext) -> None:
    group = context.state.replica.group
    records = tuple(EntryRecord(group, entry) for entry in effect.entries)
    last = effect.entries[-1]
    acknowledgement = EntriesPersisted(last.index, last.term, effect.n_truncations)
    _write(context, WriteRecords(records, context.task, acknowledgement))


@perform.register
def _(effect: TruncateLog, context: GroupContext) -> None:
    record = TruncationRecord(context.state.replica.group, effect.first_index)
    _write(context, WriteRecords((record,), context.task))


@perform.register
def _(effect: ReportExclusion, context: GroupContext) -> None:
    context.log.warning(
        "the group exists without replica {}; add it or let it replace a lost one",
        effect.replica,
    )


@perform.register
def _(effect: PersistVoters, context: GroupContext) -> None:
    group = context.state.replica.group
    record = FoundingRecord(group, effect.voters, effect.is_formed)
    acknowledgement = VotersPersisted(effect.voters, effect.is_formed)
    _write(context, WriteRecords((record,), context.task, acknowledgement))


@perform.register
def _(effect: TakeSnapshot, context: GroupContext) -> None:
    started_at = context.clock.now()
    try:
        data = context.application.take_snapshot()
    except Exception as error:
        _stop_replica(context, f"no snapshot can be taken: {error!r}")
        return
    _log_snapshot("snapshot taken", effect.index, len(data), started_at, context)
    snapshot = Snapshot(effect.index, effect.term, effect.membership, data)
    group = context.state.replica.group
    acknowledgement = SnapshotTaken(effect.index, data)
    _write(context, SaveSnapshot(group, snapshot, True, context.task, acknowledgement))


def _log_snapshot(
    event: str,
    index: int,
    n_bytes: int,
    started_at: datetime,
    context: GroupContext,
) -> None:
    duration = context.clock.now() - started_at
    context.log.info(
        event,
        index=index,
        n_bytes=n_bytes,
        took_ms=round(duration.total_seconds() * 1000),
    )


@perform.register
def _(effect: StoreSnapshotPiece, context: GroupContext) -> None:
    if effect.offset == 0:
        if context.sink is not None:
            context.sink.discard()
        context.sink = context.application.make_snapshot_sink()
    if context.sink is not None:
        gevent.spawn(_store_piece, effect, context.sink, context)


def _store_piece(
    effect: StoreSnapshotPiece, sink: SnapshotSink, context: GroupContext
) -> None:
    # Runs in a thread, since a slow disk would block the event loop.
    store = wrap_errors(OSError, _append_piece)
    pool = gevent.get_hub().threadpool
    stored = pool.apply(store, (effect, sink, context.storage.disk))
    report: object
    if isinstance(stored, OSError):
        report = WriteFailed(f"an arriving snapshot can't be stored: {stored}")
    elif effect.is_last:
        report = SnapshotReceived(effect.transfer, stored)
    else:
        next_offset = effect.offset + len(effect.data)
        report = SnapshotPieceStored(effect.transfer, next_offset)
    send_with_retry(context.task, report)


def _append_piece(
    effect: StoreSnapshotPiece, sink: SnapshotSink, disk: Disk
) -> SnapshotData | None:
    sink.append(effect.data, disk)
    return sink.finish(disk) if effect.is_last else None


@perform.register
def _(effect: RestoreSnapshot, context: GroupContext) -> None:
    snapshot = effect.snapshot
    context.sink = None
    started_at = context.clock.now()
    try:
        data = context.application.restore_snapshot(snapshot.data)
    except Exception as error:
        _stop_replica(
            context, f"snapshot {snapshot.index} can't be restored: {error!r}"
        )
        return
    _log_snapshot("snapshot received", snapshot.index, len(data), started_at, context)
    group = context.state.replica.group
    acknowledgement = SnapshotRestored(snapshot.index, data)
    _write(
        context,
        SaveSnapshot(
            group,
            replace(snapshot, data=data),
            effect.is_log_kept,
            context.task,
            acknowledgement,
        ),
    )


@perform.register
def _(effect: SnapshotSaved, context: GroupContext) -> None:
    try:
        context.application.confirm_snapshot(effect.data)
    except Exception as error:
        _stop_replica(context, f"an old snapshot can't be dropped: {error!r}")


@perform.register
def _(effect: ApplyCommitted, context: GroupContext) -> None:
    try:
        replica = context.state.replica
        if replica.role is Role.LEADER and effect.term == replica.term:
            context.last_result = context.application.apply(effect.command)
        else:
            # Only the leader that proposed a command returns its result, which may be
            # costly to compute.
            context.application.replay(effect.command)
    except Exception as error:
        # Skipping a command would make this state machine diverge from the others.
        _stop_replica(context, f"command {effect.index} can't be applied: {error!r}")


@perform.register
def _(effect: ProposalCommitted, context: GroupContext) -> None:
    context.state.pending_leader_commands.discard(effect.proposal_id)
    call = pop_call(context.state, effect.proposal_id)
    if call is not None:
        call.reply_address.send(GroupAnswer(call.group_call.call, context.last_result))


@perform.register
def _(effect: ProposalRejected, context: GroupContext) -> None:
    context.state.pending_leader_commands.discard(effect.proposal_id)
    _redirect(effect.proposal_id, effect.leader_hint, context)


@perform.register
def _(effect: ReadRejected, context: GroupContext) -> None:
    _redirect(effect.read_id, effect.leader_hint, context)


def _redirect(
    request_number: int, leader: ReplicaId | None, context: GroupContext
) -> None:
    call = pop_call(context.state, request_number)
    if call is not None:
        call.reply_address.send(GroupRedirect(call.group_call.call, leader))


@perform.register
def _(effect: ProposalUncertain, context: GroupContext) -> None:
    context.state.pending_leader_commands.discard(effect.proposal_id)
    call = pop_call(context.state, effect.proposal_id)
    if call is not None:
        call.reply_address.send(GroupUncertain(call.group_call.call, effect.reason))


@perform.register
def _(effect: ReadReady, context: GroupContext) -> None:
    call = pop_call(context.state, effect.read_id)
    if call is None:
        return
    try:
        reply: object = GroupAnswer(
            call.group_call.call, context.application.read(call.group_call.body)
        )
    except Exception as error:
        # A read changes nothing, so a failure affects only its own caller.
        context.log.error("a read failed: {!r}", error)
        reply = GroupUncertain(call.group_call.call, f"the read failed: {error!r}")
    call.reply_address.send(reply)


@perform.register
def _(effect: ProposeLeaderCommands, context: GroupContext) -> None:
    for command in context.application.make_leader_commands(effect.now):
        context.task.send(LeaderCommand(command))


@perform.register
def _(effect: LeadershipChanged, context: GroupContext) -> None:
    context.log.info(
        "{} in term {}, leader {}", effect.role.value, effect.term, effect.leader
    )
    if context.on_leadership_change is not None:
        context.on_leadership_change(effect)


@perform.register
def _(effect: MembershipChanged, context: GroupContext) -> None:
    context.log.info("membership is now {}", effect.membership)


@perform.register
def _(effect: ChangeEnded, context: GroupContext) -> None:
    call = context.state.pending_operator_calls.pop(effect.change_id, None)
    if call is not None:
        request = getattr(call.request, "request", 0)
        call.reply_address.send(
            MembershipAnswer(request, effect.outcome, effect.reason, effect.leader_hint)
        )
