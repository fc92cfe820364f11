"""Perform the effects of a group on its storage, application and callers."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import datetime
from functools import singledispatch

import logbook

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
from oleanderhitch.process.ids import NodeId, ReplicaId
from oleanderhitch.process.mailbox import Address, MailboxFullError
from oleanderhitch.process.replication import core
from oleanderhitch.process.replication.bootstrap import (
    AwaitAdmission,
    FixVoters,
    FoundingState,
    FoundingSynced,
    SendHello,
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
    TakeSnapshot,
    TruncateLog,
)
from oleanderhitch.process.replication.exceptions import ReplicationError
from oleanderhitch.process.replication.messages import (
    HardStatePersisted,
    MembershipAnswer,
    Persisted,
    Snapshot,
    SnapshotRestored,
    SnapshotTaken,
    StorageFailed,
)
from oleanderhitch.process.replication.replica import ReplicaState
from oleanderhitch.process.replication.states import Role
from oleanderhitch.process.storage.messages import (
    EntryRecord,
    FoundingRecord,
    HardStateRecord,
    SaveSnapshot,
    TruncationRecord,
    WriteRecords,
)
from oleanderhitch.process.storage.task import Storage


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """Hand an operator's request to a group's task."""

    request: object
    reply: Address


@dataclass(frozen=True, slots=True)
class LeaderCommand:
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


# All that a replica may still do once it has failed in the middle of a step.
EFFECTS_AFTER_FAILURE = (
    SendAnswer,
    ProposalRejected,
    ProposalUncertain,
    ReadRejected,
    ChangeEnded,
    LeadershipChanged,
)


@dataclass(slots=True)
class GroupBinding:
    """Hold what the effects of a group act on."""

    state: GroupState
    storage: Storage
    application: Application
    transport: Address
    clock: Clock
    task: Address
    log: logbook.Logger
    on_leadership: Callable[[LeadershipChanged], None] | None = None
    has_failed: bool = False
    result: bytes = b""


def make_hello_address(node: NodeId) -> ReplicaId:
    """Return the receiver that stands for any replica of a node."""
    return ReplicaId(f"{node}/?")


@singledispatch
def perform(effect: object, binding: GroupBinding) -> None:
    """Do what an effect says."""
    raise ReplicationError(f"unknown effect {type(effect).__name__}")


@perform.register
def _(effect: SendAnswer, binding: GroupBinding) -> None:
    effect.reply.send(effect.message)


@perform.register
def _(effect: SendToReplica, binding: GroupBinding) -> None:
    _send_envelope(effect.replica, effect.message, binding)


@perform.register
def _(effect: SendHello, binding: GroupBinding) -> None:
    _send_envelope(make_hello_address(effect.node), effect.hello, binding)


def _send_envelope(receiver: ReplicaId, message: object, binding: GroupBinding) -> None:
    replica = binding.state.replica
    body = binding.state.codec.encode(message)
    envelope = ReplicaEnvelope(replica.group, replica.replica, receiver, body)
    # A peer out of reach is normal; the core sends again by its own timeouts.
    with suppress(UnavailableError):
        binding.transport.send(envelope)


def _store(binding: GroupBinding, message: WriteRecords | SaveSnapshot) -> None:
    try:
        binding.storage.send(message)
    except MailboxFullError as error:
        # A write that is skipped would leave a gap in the log.
        _fail(binding, str(error))


def _fail(binding: GroupBinding, reason: str) -> None:
    """Stop the replica, and answer every call that may have taken effect."""
    binding.log.error("the replica stops: {}", reason)
    binding.has_failed = True
    state = binding.state
    for effect in core.handle(
        StorageFailed(reason), state.replica, binding.clock.now()
    ):
        perform(effect, binding)
    while state.calls:
        _, call = state.calls.popitem()
        call.reply.send(GroupUncertain(call.call.call, reason))


@perform.register
def _(effect: PersistHardState, binding: GroupBinding) -> None:
    record = HardStateRecord(binding.state.replica.group, effect.hard_state)
    acknowledgement = HardStatePersisted(effect.hard_state)
    _store(binding, WriteRecords((record,), binding.task, acknowledgement))


@perform.register
def _(effect: PersistEntries, binding: GroupBinding) -> None:
    group = binding.state.replica.group
    records = tuple(EntryRecord(group, entry) for entry in effect.entries)
    last = effect.entries[-1]
    acknowledgement = Persisted(last.index, last.term, effect.n_truncations)
    _store(binding, WriteRecords(records, binding.task, acknowledgement))


@perform.register
def _(effect: TruncateLog, binding: GroupBinding) -> None:
    record = TruncationRecord(binding.state.replica.group, effect.first_index)
    _store(binding, WriteRecords((record,), binding.task))


@perform.register
def _(effect: AwaitAdmission, binding: GroupBinding) -> None:
    binding.log.warning(
        "the group exists without replica {}; add it or let it replace a lost one",
        effect.replica,
    )


@perform.register
def _(effect: FixVoters, binding: GroupBinding) -> None:
    group = binding.state.replica.group
    record = FoundingRecord(group, effect.voters, effect.is_formed)
    acknowledgement = FoundingSynced(effect.voters, effect.is_formed)
    _store(binding, WriteRecords((record,), binding.task, acknowledgement))


@perform.register
def _(effect: TakeSnapshot, binding: GroupBinding) -> None:
    try:
        data = binding.application.take_snapshot()
    except Exception as error:
        _fail(binding, f"no snapshot can be taken: {error!r}")
        return
    snapshot = Snapshot(effect.index, effect.term, effect.membership, data)
    group = binding.state.replica.group
    acknowledgement = SnapshotTaken(effect.index, data)
    _store(binding, SaveSnapshot(group, snapshot, True, binding.task, acknowledgement))


@perform.register
def _(effect: RestoreSnapshot, binding: GroupBinding) -> None:
    snapshot = effect.snapshot
    try:
        binding.application.restore_snapshot(snapshot.data)
    except Exception as error:
        _fail(binding, f"snapshot {snapshot.index} can't be restored: {error!r}")
        return
    group = binding.state.replica.group
    acknowledgement = SnapshotRestored(snapshot.index)
    _store(
        binding,
        SaveSnapshot(
            group, snapshot, effect.is_log_kept, binding.task, acknowledgement
        ),
    )


@perform.register
def _(effect: ApplyCommitted, binding: GroupBinding) -> None:
    try:
        replica = binding.state.replica
        if replica.role is Role.LEADER and effect.term == replica.term:
            binding.result = binding.application.apply(effect.command)
        else:
            # Only calls of this leader wait for results, which may be costly.
            binding.application.replay(effect.command)
    except Exception as error:
        # Skipping a command would let this state machine differ from the others.
        _fail(binding, f"command {effect.index} can't be applied: {error!r}")


@perform.register
def _(effect: ProposalCommitted, binding: GroupBinding) -> None:
    binding.state.own_commands.discard(effect.proposal_id)
    call = binding.state.calls.pop(effect.proposal_id, None)
    if call is not None:
        call.reply.send(GroupAnswer(call.call.call, binding.result))


@perform.register
def _(effect: ProposalRejected, binding: GroupBinding) -> None:
    binding.state.own_commands.discard(effect.proposal_id)
    _redirect(effect.proposal_id, effect.leader_hint, binding)


@perform.register
def _(effect: ReadRejected, binding: GroupBinding) -> None:
    _redirect(effect.read_id, effect.leader_hint, binding)


def _redirect(number: int, leader: ReplicaId | None, binding: GroupBinding) -> None:
    call = binding.state.calls.pop(number, None)
    if call is not None:
        call.reply.send(GroupRedirect(call.call.call, leader))


@perform.register
def _(effect: ProposalUncertain, binding: GroupBinding) -> None:
    binding.state.own_commands.discard(effect.proposal_id)
    call = binding.state.calls.pop(effect.proposal_id, None)
    if call is not None:
        call.reply.send(GroupUncertain(call.call.call, effect.reason))


@perform.register
def _(effect: ReadReady, binding: GroupBinding) -> None:
    call = binding.state.calls.pop(effect.read_id, None)
    if call is None:
        return
    try:
        answer: object = GroupAnswer(
            call.call.call, binding.application.read(call.call.body)
        )
    except Exception as error:
        # A read changes nothing, so that only its own caller is concerned.
        binding.log.error("a read failed: {!r}", error)
        answer = GroupUncertain(call.call.call, f"the read failed: {error!r}")
    call.reply.send(answer)


@perform.register
def _(effect: ListLeaderCommands, binding: GroupBinding) -> None:
    for command in binding.application.make_leader_commands(effect.now):
        binding.task.send(LeaderCommand(command))


@perform.register
def _(effect: LeadershipChanged, binding: GroupBinding) -> None:
    binding.log.info(
        "{} in term {}, leader {}", effect.role.value, effect.term, effect.leader
    )
    if binding.on_leadership is not None:
        binding.on_leadership(effect)


@perform.register
def _(effect: MembershipChanged, binding: GroupBinding) -> None:
    binding.log.info("membership is now {}", effect.membership)


@perform.register
def _(effect: ChangeEnded, binding: GroupBinding) -> None:
    call = binding.state.operator_calls.pop(effect.change_id, None)
    if call is not None:
        request = getattr(call.request, "request", 0)
        call.reply.send(
            MembershipAnswer(request, effect.outcome, effect.reason, effect.leader_hint)
        )
