"""Run the membership core of a node."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial, singledispatch

import logbook

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
from oleanderhitch.process.membership.timing import TICK
from oleanderhitch.process.task import Task, make_task
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.compile import compile_configuration
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.exceptions import InvalidConfigurationError

# Sends a message to a store; it may drop the message and report
# StoreUnreachable when there is no connection.
SendToStoreFunction = Callable[[HostPort, object], None]


@dataclass(slots=True)
class _Surroundings:
    """Hold what the effects of the core reach."""

    send: SendToStoreFunction
    listener: Address
    own: Address | None = None
    compiled: Configuration | None = None


_log = logbook.Logger("node")


def make_node_task(
    state: NodeCoreState, clock: Clock, send: SendToStoreFunction, listener: Address
) -> Task[NodeCoreState]:
    """Return the node task, not started yet.

    The listener gets ConfigurationCompiled, WorkPermitted, WorkStopped and
    MembershipView. It replies VersionInstalled to the first.
    """
    surroundings = _Surroundings(send, listener)
    task = make_task(
        "node",
        state,
        handle,
        partial(_perform_with, surroundings),
        clock,
        tick_interval=TICK,
    )
    surroundings.own = task
    return task


def _perform_with(surroundings: _Surroundings, effect: object) -> None:
    perform(effect, surroundings)


@singledispatch
def perform(effect: object, surroundings: _Surroundings) -> None:
    """Perform an effect of the core."""
    raise TypeError(f"node has no effect {type(effect).__name__}")


@perform.register
def _(effect: SendToStore, surroundings: _Surroundings) -> None:
    surroundings.send(effect.store, effect.message)


@perform.register
def _(effect: InstallVersion, surroundings: _Surroundings) -> None:
    own = surroundings.own
    if own is None:
        return
    try:
        compiled = compile_configuration(
            effect.version, effect.documents, surroundings.compiled
        )
    except InvalidConfigurationError as error:
        _log.error("cannot install version {}: {}", effect.version, error)
        own.send(InstallFailed(effect.version, str(error)))
        return
    surroundings.compiled = compiled
    surroundings.listener.send(ConfigurationCompiled(compiled, own))


@perform.register(WorkPermitted)
@perform.register(WorkStopped)
@perform.register(MembershipView)
def _(
    effect: WorkPermitted | WorkStopped | MembershipView, surroundings: _Surroundings
) -> None:
    surroundings.listener.send(effect)
