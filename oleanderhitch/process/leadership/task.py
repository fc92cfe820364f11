"""Task that runs the leadership core of a store."""

from collections.abc import Callable, Mapping, Sequence
from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct

from oleanderhitch.connection.codec import Codec
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.configuration.messages import GetPublishHistory
from oleanderhitch.process.groups.messages import GroupCall, LocalCall
from oleanderhitch.process.groups.placement import CONFIGURATION_GROUP
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.leadership.core import (
    LeadershipState,
    NotifySubscribers,
    SendRead,
    handle,
    make_leadership_state,
)
from oleanderhitch.process.task import NO_TICK, Task, make_task
from oleanderhitch.version.addresses import HostPort

# With the default election timeout a lease lasts 750 ms after its read was sent, so one
# failed read does not end it.
CONFIRM_INTERVAL = timedelta(milliseconds=250)

SendToGroup = Callable[[LocalCall], None]


class LeadershipDependencies(Struct):
    """Collaborators of the leadership task."""

    send_to_group: SendToGroup
    subscribers: Sequence[Address]
    encoded_read: bytes
    reply_address: Address | None = None


def make_leadership_task(
    election_timeout_min: timedelta,
    addresses: Mapping[NodeId, HostPort],
    send_to_group: SendToGroup,
    subscribers: Sequence[Address],
    codec: Codec,
    clock: Clock,
) -> Task[LeadershipState]:
    """Return a task that takes LeadershipChanged of the configuration group.

    It reports to the subscribers until when this store is certain to lead.
    """
    # Any read confirms the leadership; its result is not used.
    encoded_read = codec.encode(GetPublishHistory(1))
    dependencies = LeadershipDependencies(send_to_group, subscribers, encoded_read)

    def perform(effect: object) -> None:
        perform_effect(effect, dependencies)

    state = make_leadership_state(election_timeout_min, addresses)
    task = make_task(
        "leadership",
        state,
        handle,
        perform,
        clock,
        CONFIRM_INTERVAL,
        find_next_tick=_find_next_tick,
    )
    dependencies.reply_address = task
    return task


def _find_next_tick(state: LeadershipState) -> datetime | None:
    """Return None, for ticks at the interval, while this store leads."""
    return NO_TICK if state.term is None else None


@singledispatch
def perform_effect(effect: object, dependencies: LeadershipDependencies) -> None:
    """Perform an effect of the leadership core."""
    raise TypeError(f"leadership does not support effect type {type(effect).__name__}")


@perform_effect.register
def _(effect: SendRead, dependencies: LeadershipDependencies) -> None:
    assert dependencies.reply_address is not None
    call = GroupCall(effect.call, CONFIGURATION_GROUP, dependencies.encoded_read, True)
    dependencies.send_to_group(LocalCall(call, dependencies.reply_address))


@perform_effect.register
def _(effect: NotifySubscribers, dependencies: LeadershipDependencies) -> None:
    for subscriber in dependencies.subscribers:
        subscriber.send(effect.message)
