"""Run the intake of an entry host."""

from collections.abc import Callable
from functools import singledispatch

from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.intake.core import IntakeState, handle, make_intake_state
from oleanderhitch.process.intake.messages import SendAnswer, StartRequest
from oleanderhitch.process.task import Task, make_task
from oleanderhitch.request.messages import Call
from oleanderhitch.version.ids import DataCentreName

StartCall = Callable[[Call, Address], None]


def make_intake(
    node: NodeId, data_centre: DataCentreName, start_call: StartCall, clock: Clock
) -> Task[IntakeState]:
    """Return the intake task; start_call starts the task of an admitted call."""

    def perform(effect: object) -> None:
        perform_effect(effect, start_call)

    state = make_intake_state(node, data_centre)
    return make_task("intake", state, handle, perform, clock)


@singledispatch
def perform_effect(effect: object, start_call: StartCall) -> None:
    """Perform an effect of the intake."""
    raise TypeError(f"intake has no effect {type(effect).__name__}")


@perform_effect.register
def _(effect: StartRequest, start_call: StartCall) -> None:
    start_call(effect.call, effect.reply)


@perform_effect.register
def _(effect: SendAnswer, start_call: StartCall) -> None:
    effect.reply.send(effect.message)
