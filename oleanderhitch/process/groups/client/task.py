"""Run the client of replicated groups as a task over peer links."""

from collections.abc import Callable, Mapping
from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.client.core import (
    ClientState,
    handle,
    make_client_state,
)
from oleanderhitch.process.groups.client.messages import SendReply, SendToStore
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.task import NO_TICK, Task, make_task

# Sends a message to a store, or drops it if there is no link.
SendToStoreFunction = Callable[[HostAddress, object], None]

TICK_INTERVAL = timedelta(milliseconds=25)


def make_group_client(
    stores: Mapping[NodeId, HostAddress],
    send: SendToStoreFunction,
    clock: Clock,
) -> Task[ClientState]:
    """Return a task that sends calls to the leaders of groups."""

    def perform(effect: object) -> None:
        perform_effect(effect, send)

    state = make_client_state(dict(stores))
    return make_task(
        "group client",
        state,
        handle,
        perform,
        clock,
        TICK_INTERVAL,
        find_next_tick=_find_next_tick,
    )


def _find_next_tick(state: ClientState) -> datetime | None:
    """Return None, for ticks at the interval, while calls are pending."""
    return None if state.pending else NO_TICK


@singledispatch
def perform_effect(effect: object, send: SendToStoreFunction) -> None:
    """Perform an effect of the client."""
    raise TypeError(
        f"group client does not support effect type {type(effect).__name__}"
    )


@perform_effect.register
def _(effect: SendToStore, send: SendToStoreFunction) -> None:
    send(effect.store, effect.call)


@perform_effect.register
def _(effect: SendReply, send: SendToStoreFunction) -> None:
    effect.reply_address.send(effect.message)
