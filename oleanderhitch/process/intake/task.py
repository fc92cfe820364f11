"""Run the intake of an entry host."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.intake.core import IntakeState, handle, make_intake_state
from oleanderhitch.process.intake.messages import (
    FollowEngines,
    RoutePools,
    SendAnswer,
    StartRequest,
)
from oleanderhitch.process.task import Task, make_task
from oleanderhitch.request.messages import Call
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.ids import DataCentreName, PoolId

StartCall = Callable[[Call, Address], None]


@dataclass(frozen=True, slots=True)
class IntakeDependencies:
    """Name what the intake hands admitted calls and pool changes to."""

    start_call: StartCall
    router: Address
    follow_engines: Callable[[Configuration, dict[PoolId, NodeId]], None]


def make_intake(
    node: NodeId,
    data_centre: DataCentreName,
    services: IntakeDependencies,
    clock: Clock,
) -> Task[IntakeState]:
    """Return the intake task, not started yet."""

    def perform(effect: object) -> None:
        perform_effect(effect, services)

    state = make_intake_state(node, data_centre)
    return make_task("intake", state, handle, perform, clock)


@singledispatch
def perform_effect(effect: object, services: IntakeDependencies) -> None:
    """Perform an effect of the intake."""
    raise TypeError(f"intake has no effect {type(effect).__name__}")


@perform_effect.register
def _(effect: StartRequest, services: IntakeDependencies) -> None:
    services.start_call(effect.call, effect.reply)


@perform_effect.register
def _(effect: SendAnswer, services: IntakeDependencies) -> None:
    effect.reply.send(effect.message)


@perform_effect.register
def _(effect: FollowEngines, services: IntakeDependencies) -> None:
    services.follow_engines(effect.configuration, effect.owners)


@perform_effect.register
def _(effect: RoutePools, services: IntakeDependencies) -> None:
    services.router.send(effect.message)
