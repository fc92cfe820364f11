"""Run the leadership core of a store."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import singledispatch

from oleanderhitch.connection.codec import Codec
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.configuration.messages import GetPublishHistory
from oleanderhitch.process.groups.messages import GroupCall, LocalCall
from oleanderhitch.process.groups.placement import CONFIGURATION_GROUP
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.leadership.core import (
    LeadershipState,
    SendRead,
    TellMembership,
    handle,
    make_leadership_state,
)
from oleanderhitch.process.task import NO_TICK, Task, make_task
from oleanderhitch.version.addresses import HostPort

CONFIRM_INTERVAL = timedelta(milliseconds=250)

SendToGroup = Callable[[LocalCall], None]


@dataclass(slots=True)
class LeadershipServices:
    """Hold what the leadership task acts on."""

    send_to_group: SendToGroup
    followers: Sequence[Address]
    query: bytes
    own: Address | None = None


def make_leadership_task(
    shortest_election: timedelta,
    addresses: Mapping[NodeId, HostPort],
    send_to_group: SendToGroup,
    followers: Sequence[Address],
    codec: Codec,
    clock: Clock,
) -> Task[LeadershipState]:
    """Return a task that takes LeadershipChanged of the configuration group.

    The followers learn until when this store is sure to lead.
    """
    query = codec.encode(GetPublishHistory(1))
    services = LeadershipServices(send_to_group, followers, query)

    def perform(effect: object) -> None:
        perform_effect(effect, services)

    state = make_leadership_state(shortest_election, addresses)
    task = make_task(
        "leadership",
        state,
        handle,
        perform,
        clock,
        CONFIRM_INTERVAL,
        find_wake=_find_wake,
    )
    services.own = task
    return task


def _find_wake(state: LeadershipState) -> datetime | None:
    return NO_TICK if state.term is None else None


@singledispatch
def perform_effect(effect: object, services: LeadershipServices) -> None:
    """Perform an effect of the leadership core."""
    raise TypeError(f"leadership has no effect {type(effect).__name__}")


@perform_effect.register
def _(effect: SendRead, services: LeadershipServices) -> None:
    assert services.own is not None
    call = GroupCall(effect.call, CONFIGURATION_GROUP, services.query, True)
    services.send_to_group(LocalCall(call, services.own))


@perform_effect.register
def _(effect: TellMembership, services: LeadershipServices) -> None:
    for follower in services.followers:
        follower.send(effect.message)
