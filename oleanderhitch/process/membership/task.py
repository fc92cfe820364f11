"""Run the membership core of a store in a task."""

from collections.abc import Callable
from datetime import datetime
from functools import partial, singledispatch

import logbook
from msgspec import Struct

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.membership.core import (
    MembershipState,
    handle,
    make_membership_state,
)
from oleanderhitch.process.membership.messages import (
    CompileConfiguration,
    PoolsDeclared,
    SendReply,
    SendToNode,
)
from oleanderhitch.process.membership.timing import TICK_INTERVAL
from oleanderhitch.process.task import NO_TICK, Task, make_task
from oleanderhitch.version.compile import compile_configuration
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.exceptions import InvalidConfigurationError

ConfigurationCallback = Callable[[Configuration], None]
# Sends a message to a node over any connection that it has. Without one it may drop the
# message, since the node sends another heartbeat.
SendToNodeFunction = Callable[[NodeId, object], None]


class _EffectContext(Struct):
    """Collaborators and state that the effects of the core act on."""

    send: SendToNodeFunction
    on_compiled: ConfigurationCallback
    task: Address | None = None
    last_compiled: Configuration | None = None


log = logbook.Logger("membership")


def make_membership_task(
    clock: Clock, send: SendToNodeFunction, on_compiled: ConfigurationCallback
) -> Task[MembershipState]:
    """Return the membership task of a store, not started yet.

    It handles heartbeats, ConfigurationAccepted and the leadership messages.
    `on_compiled` is called with each accepted configuration that compiles.
    """
    context = _EffectContext(send, on_compiled)
    task = make_task(
        "membership",
        make_membership_state(),
        handle,
        partial(_perform_in_context, context),
        clock,
        tick_interval=TICK_INTERVAL,
        find_next_tick=_find_next_tick,
    )
    context.task = task
    return task


def _find_next_tick(state: MembershipState) -> datetime | None:
    return NO_TICK if state.leads_until is None else None


def _perform_in_context(context: _EffectContext, effect: object) -> None:
    perform(effect, context)


@singledispatch
def perform(effect: object, context: _EffectContext) -> None:
    """Perform an effect of the core."""
    raise TypeError(f"membership does not support effect type {type(effect).__name__}")


@perform.register
def _(effect: SendToNode, context: _EffectContext) -> None:
    context.send(effect.node, effect.message)


@perform.register
def _(effect: SendReply, context: _EffectContext) -> None:
    effect.reply_address.send(effect.message)


@perform.register
def _(effect: CompileConfiguration, context: _EffectContext) -> None:
    try:
        compiled = compile_configuration(
            effect.version, effect.documents, context.last_compiled
        )
    except InvalidConfigurationError as error:
        # The pools and owners of the previous version stay as they are.
        log.error("cannot compile configuration version {}: {}", effect.version, error)
        return
    context.last_compiled = compiled
    if context.task is not None:
        context.task.send(
            PoolsDeclared(
                tuple((pool.id, pool.region) for pool in compiled.pools.values()),
                tuple(compiled.data_centres.items()),
            )
        )
    context.on_compiled(compiled)
