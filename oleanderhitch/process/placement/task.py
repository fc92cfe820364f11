"""Run placement as a task of an entry."""

from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.placement.core import PlacementState, SendReply, handle
from oleanderhitch.process.task import NO_TICK, Task, make_task
from oleanderhitch.version.ids import DataCentreName

TICK_INTERVAL = timedelta(milliseconds=50)


def make_placement_task(
    node: NodeId, data_centre: DataCentreName, clock: Clock
) -> Task[PlacementState]:
    """Return the task that places the requests of one entry."""
    state = PlacementState(data_centre, node)
    return make_task(
        "placement", state, handle, perform, clock, TICK_INTERVAL, find_wake=_find_wake
    )


def _find_wake(state: PlacementState) -> datetime | None:
    return None if state.waiting else NO_TICK


@singledispatch
def perform(effect: object) -> None:
    """Perform an effect of placement."""
    raise TypeError(f"placement has no effect {type(effect).__name__}")


@perform.register
def _(effect: SendReply) -> None:
    effect.reply.send(effect.message)
