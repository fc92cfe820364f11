"""Run the windows and snapshots of a process's metrics."""

from functools import singledispatch

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.metrics.core import WINDOW, Metrics, handle
from oleanderhitch.process.metrics.messages import SendMetrics
from oleanderhitch.process.task import Task, make_task


@singledispatch
def perform(effect: object) -> None:
    """Perform an effect."""
    raise TypeError(f"metrics have no effect {type(effect).__name__}")


@perform.register
def _(effect: SendMetrics) -> None:
    effect.reply.send(effect.snapshot)


def make_metrics_task(metrics: Metrics, clock: Clock) -> Task[Metrics]:
    """Return the task that answers GetMetrics, not started yet."""
    return make_task("metrics", metrics, handle, perform, clock, WINDOW)
