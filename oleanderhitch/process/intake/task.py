"""Run the intake task of an entry host, which admits calls."""

from collections.abc import Callable
from functools import singledispatch

from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.intake.core import IntakeState, make_intake_state
from oleanderhitch.process.intake.explaining import handle
from oleanderhitch.process.intake.messages import (
    PropagateConfiguration,
    SendReply,
    StartRequest,
    UpdateRouter,
)
from oleanderhitch.process.task import Task, make_task
from oleanderhitch.request.messages import Call
from oleanderhitch.values import Value
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.ids import DataCentreName, PoolId

StartCall = Callable[[Call, Address], None]


class IntakeDependencies(Value, frozen=True):
    """Recipients of admitted calls, router messages and changed configurations."""

    start_call: StartCall
    router: Address
    propagate_configuration: Callable[[Configuration, dict[PoolId, NodeId]], None]


def make_intake(
    node: NodeId,
    data_centre: DataCentreName,
    dependencies: IntakeDependencies,
    clock: Clock,
) -> Task[IntakeState]:
    """Return the intake task, not started yet."""

    def perform(effect: object) -> None:
        perform_effect(effect, dependencies)

    state = make_intake_state(node, data_centre)
    return make_task("intake", state, handle, perform, clock)


@singledispatch
def perform_effect(effect: object, dependencies: IntakeDependencies) -> None:
    """Perform an effect of the intake."""
    raise TypeError(f"intake does not support effect type {type(effect).__name__}")


@perform_effect.register
def _(effect: StartRequest, dependencies: IntakeDependencies) -> None:
    dependencies.start_call(effect.call, effect.reply_address)


@perform_effect.register
def _(effect: SendReply, dependencies: IntakeDependencies) -> None:
    effect.reply_address.send(effect.message)


@perform_effect.register
def _(effect: PropagateConfiguration, dependencies: IntakeDependencies) -> None:
    dependencies.propagate_configuration(effect.configuration, effect.owners)


@perform_effect.register
def _(effect: UpdateRouter, dependencies: IntakeDependencies) -> None:
    dependencies.router.send(effect.message)
