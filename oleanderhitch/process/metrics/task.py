"""Task that rotates the windows of the metrics and sends snapshots of them."""

from functools import singledispatch

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.metrics.core import WINDOW_DURATION, Metrics, handle
from oleanderhitch.process.metrics.messages import SendReply
from oleanderhitch.process.task import Task, make_task


@singledispatch
def perform(effect: object) -> None:
    """Perform an effect."""
    raise TypeError(
        f"metrics task does not support effect type {type(effect).__name__}"
    )


@perform.register
def _(effect: SendReply) -> None:
    effect.reply_address.send(effect.message)


def make_metrics_task(metrics: Metrics, clock: Clock) -> Task[Metrics]:
    """Return a task that is not started yet."""
    return make_task("metrics", metrics, handle, perform, clock, WINDOW_DURATION)
