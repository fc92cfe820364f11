"""Run the client of replicated groups as a task over peer links."""

from collections.abc import Mapping
from datetime import timedelta
from functools import singledispatch

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.client.core import (
    ClientState,
    handle,
    make_client_state,
)
from oleanderhitch.process.groups.client.messages import ReplyToCaller, SendToStore
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.task import Task, make_task

TICK_INTERVAL = timedelta(milliseconds=25)


def make_group_client(
    stores: Mapping[NodeId, HostAddress],
    links: Mapping[HostAddress, Address],
    clock: Clock,
) -> Task[ClientState]:
    """Return a task that carries calls to the leaders of groups."""

    def perform(effect: object) -> None:
        perform_effect(effect, links)

    state = make_client_state(dict(stores))
    return make_task("group client", state, handle, perform, clock, TICK_INTERVAL)


@singledispatch
def perform_effect(effect: object, links: Mapping[HostAddress, Address]) -> None:
    """Perform an effect of the client."""
    raise TypeError(f"group client has no effect {type(effect).__name__}")


@perform_effect.register
def _(effect: SendToStore, links: Mapping[HostAddress, Address]) -> None:
    links[effect.store].send(effect.call)


@perform_effect.register
def _(effect: ReplyToCaller, links: Mapping[HostAddress, Address]) -> None:
    effect.reply.send(effect.message)
