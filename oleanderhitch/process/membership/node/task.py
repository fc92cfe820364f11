"""Run the node core in a task."""

from collections.abc import Callable
from functools import partial, singledispatch

import logbook
from msgspec import Struct

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.membership.node.core import NodeCoreState, handle
from oleanderhitch.process.membership.node.messages import (
    ConfigurationCompiled,
    InstallFailed,
    InstallVersion,
    MembershipView,
    SendToStore,
    WorkPermitted,
    WorkStopped,
)
from oleanderhitch.process.membership.timing import TICK_INTERVAL
from oleanderhitch.process.task import Task, make_task
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.compile import compile_configuration
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.exceptions import InvalidConfigurationError

# Sends a message to a store. Without a connection it may drop the message and report
# StoreUnreachable.
SendToStoreFunction = Callable[[HostPort, object], None]


class _EffectContext(Struct):
    """Collaborators and state that the effects of the core act on."""

    send: SendToStoreFunction
    subscriber: Address
    task: Address | None = None
    last_compiled: Configuration | None = None


log = logbook.Logger("node")


def make_node_task(
    state: NodeCoreState, clock: Clock, send: SendToStoreFunction, subscriber: Address
) -> Task[NodeCoreState]:
    """Return the node task, not started yet.

    The subscriber gets ConfigurationCompiled, WorkPermitted, WorkStopped and
    MembershipView. It replies to the first with VersionInstalled.
    """
    context = _EffectContext(send, subscriber)
    task = make_task(
        "node",
        state,
        handle,
        partial(_perform_in_context, context),
        clock,
        tick_interval=TICK_INTERVAL,
    )
    context.task = task
    return task


def _perform_in_context(context: _EffectContext, effect: object) -> None:
    perform(effect, context)


@singledispatch
def perform(effect: object, context: _EffectContext) -> None:
    """Perform an effect of the core."""
    raise TypeError(f"node does not support effect type {type(effect).__name__}")


@perform.register
def _(effect: SendToStore, context: _EffectContext) -> None:
    context.send(effect.store, effect.message)


@perform.register
def _(effect: InstallVersion, context: _EffectContext) -> None:
    task = context.task
    if task is None:
        return
    try:
        compiled = compile_configuration(
            effect.version, effect.documents, context.last_compiled
        )
    except InvalidConfigurationError as error:
        log.error("cannot compile configuration version {}: {}", effect.version, error)
        task.send(InstallFailed(effect.version, str(error)))
        return
    context.last_compiled = compiled
    context.subscriber.send(ConfigurationCompiled(compiled, task))


@perform.register(WorkPermitted)
@perform.register(WorkStopped)
@perform.register(MembershipView)
def _(
    effect: WorkPermitted | WorkStopped | MembershipView, context: _EffectContext
) -> None:
    context.subscriber.send(effect)
