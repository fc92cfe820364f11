"""Run the repair core of a group in a task of each store."""

from collections.abc import Callable
from datetime import datetime, timedelta
from functools import singledispatch

import logbook
from msgspec import Struct

from oleanderhitch.connection.codec import Codec
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.ids import GroupId, NodeId
from oleanderhitch.process.repair.core import BalanceSlot, RepairState, handle
from oleanderhitch.process.repair.effects import (
    ChangeReplica,
    MoveLeadership,
    ObserveStatus,
    ProposeCommand,
    SendToStore,
)
from oleanderhitch.process.repair.messages import StatusObserved
from oleanderhitch.process.replication.effect_handlers import (
    LeaderCommand,
    OperatorCall,
)
from oleanderhitch.process.replication.messages import (
    AddReplica,
    GetReplicationStatus,
    MembershipAnswer,
    RemoveReplica,
    ReplaceReplica,
    ReplicationStatus,
    TransferLeadership,
)
from oleanderhitch.process.replication.states import ChangeKind
from oleanderhitch.process.task import NO_TICK, Task, make_task

OBSERVE_INTERVAL = timedelta(milliseconds=250)
NO_REQUEST_ID = 0

log = logbook.Logger("repair")


class RepairDependencies(Struct):
    """Collaborators that the effects of repair act on."""

    group: GroupId
    replica: Address
    codec: Codec
    send_to_store: Callable[[NodeId, object], None]


class ReplicaReplyAdapter:
    """Translates the replies of a replica into messages to the repair task."""

    def __init__(self, task: Address, group: GroupId) -> None:
        self._task = task
        self._group = group

    def send(self, message: object) -> None:
        """Forward a status; log the outcome of a membership change."""
        if isinstance(message, ReplicationStatus):
            self._task.send(StatusObserved(message))
        elif isinstance(message, MembershipAnswer):
            log.info(
                "membership change ended",
                group=self._group,
                outcome=message.outcome.value,
                reason=message.reason,
            )


@singledispatch
def perform(
    effect: object, dependencies: RepairDependencies, reply_address: Address
) -> None:
    """Perform an effect of the core."""
    raise TypeError(f"repair does not support effect type {type(effect).__name__}")


@perform.register
def _(
    effect: ObserveStatus, dependencies: RepairDependencies, reply_address: Address
) -> None:
    request = GetReplicationStatus(NO_REQUEST_ID, dependencies.group)
    dependencies.replica.send(OperatorCall(request, reply_address))


@perform.register
def _(
    effect: ChangeReplica, dependencies: RepairDependencies, reply_address: Address
) -> None:
    log.warning(
        "requesting a membership change",
        group=dependencies.group,
        kind=effect.kind.value,
        replica=effect.replica,
        replacement=effect.replacement,
        reason=effect.reason,
    )
    request = _make_request(effect, dependencies.group)
    dependencies.replica.send(OperatorCall(request, reply_address))


@perform.register
def _(
    effect: MoveLeadership, dependencies: RepairDependencies, reply_address: Address
) -> None:
    log.info(
        "moving the leadership to a store that leads fewer groups",
        group=dependencies.group,
        target=effect.target,
    )
    request = TransferLeadership(effect.target)
    dependencies.replica.send(OperatorCall(request, reply_address))


def _make_request(effect: ChangeReplica, group: GroupId) -> object:
    if effect.replacement is not None:
        return ReplaceReplica(NO_REQUEST_ID, group, effect.replica, effect.replacement)
    if effect.kind is ChangeKind.ADD:
        return AddReplica(NO_REQUEST_ID, group, effect.replica)
    return RemoveReplica(NO_REQUEST_ID, group, effect.replica)


@perform.register
def _(
    effect: ProposeCommand, dependencies: RepairDependencies, reply_address: Address
) -> None:
    log.info(
        "proposing a change of the store records",
        group=dependencies.group,
        command=str(effect.command),
    )
    dependencies.replica.send(LeaderCommand(dependencies.codec.encode(effect.command)))


@perform.register
def _(
    effect: SendToStore, dependencies: RepairDependencies, reply_address: Address
) -> None:
    dependencies.send_to_store(effect.node, effect.message)


def _find_next_tick(state: RepairState) -> datetime | None:
    """Return None, for ticks at the interval, while this store leads the group."""
    return None if state.is_leader else NO_TICK


def make_repair_task(
    n_target_voters: int,
    balance_slot: BalanceSlot,
    dependencies: RepairDependencies,
    clock: Clock,
) -> Task[RepairState]:
    """Return the task that repairs a group while this store leads it."""

    def perform_effect(effect: object) -> None:
        perform(effect, dependencies, reply_address)

    task = make_task(
        "repair",
        RepairState(dependencies.group, n_target_voters, balance_slot),
        handle,
        perform_effect,
        clock,
        tick_interval=OBSERVE_INTERVAL,
        find_next_tick=_find_next_tick,
    )
    reply_address = ReplicaReplyAdapter(task, dependencies.group)
    return task
