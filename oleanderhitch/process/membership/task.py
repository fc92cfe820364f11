"""Run the membership core of a store."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime
from functools import partial, singledispatch

import logbook

from oleanderhitch.process.clock import Clock
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.membership.core import (
    MembershipState,
    handle,
    make_membership_state,
)
from oleanderhitch.process.membership.messages import (
    CompilePools,
    PoolsDeclared,
    ReplyStatus,
    SendToNode,
)
from oleanderhitch.process.membership.timing import TICK
from oleanderhitch.process.task import NO_TICK, Task, make_task
from oleanderhitch.version.compile import compile_configuration
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.exceptions import InvalidConfigurationError

# Sends a message to a node over whichever connection it has; it may drop the
# message when there is none, since the node asks again.
OnCompiled = Callable[[Configuration], None]
SendToNodeFunction = Callable[[NodeId, object], None]


@dataclass(slots=True)
class _Surroundings:
    """Hold what the effects of the core reach."""

    send: SendToNodeFunction
    on_compiled: OnCompiled
    own: Address | None = None
    compiled: Configuration | None = None


_log = logbook.Logger("membership")


def make_membership_task(
    clock: Clock, send: SendToNodeFunction, on_compiled: OnCompiled
) -> Task[MembershipState]:
    """Return the membership task of a store, not started yet.

    It takes heartbeats, ConfigurationAccepted and the leadership messages.
    on_compiled gets each accepted configuration.
    """
    surroundings = _Surroundings(send, on_compiled)
    task = make_task(
        "membership",
        make_membership_state(),
        handle,
        partial(_perform_with, surroundings),
        clock,
        tick_interval=TICK,
        find_wake=_find_wake,
    )
    surroundings.own = task
    return task


def _find_wake(state: MembershipState) -> datetime | None:
    return NO_TICK if state.leads_until is None else None


def _perform_with(surroundings: _Surroundings, effect: object) -> None:
    perform(effect, surroundings)


@singledispatch
def perform(effect: object, surroundings: _Surroundings) -> None:
    """Perform an effect of the core."""
    raise TypeError(f"membership has no effect {type(effect).__name__}")


@perform.register
def _(effect: SendToNode, surroundings: _Surroundings) -> None:
    surroundings.send(effect.node, effect.message)


@perform.register
def _(effect: ReplyStatus, surroundings: _Surroundings) -> None:
    effect.reply.send(effect.status)


@perform.register
def _(effect: CompilePools, surroundings: _Surroundings) -> None:
    try:
        compiled = compile_configuration(
            effect.version, effect.documents, surroundings.compiled
        )
    except InvalidConfigurationError as error:
        # Owners of the pools of the version before stay as they are.
        _log.error("cannot read version {}: {}", effect.version, error)
        return
    surroundings.compiled = compiled
    if surroundings.own is not None:
        surroundings.own.send(
            PoolsDeclared(
                tuple((pool.id, pool.region) for pool in compiled.pools.values()),
                tuple(compiled.data_centres.items()),
            )
        )
    surroundings.on_compiled(compiled)
