"""Decision core of the configuration group's leader lease.

The lease is the time until which this store is certain to lead. A read that the
group performs proves that this leader reached a majority after the read was sent.
That majority elects no other leader until the minimum election timeout has passed
since then.
"""

from collections.abc import Mapping
from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.process.groups.messages import (
    GroupAnswer,
    GroupRedirect,
    GroupUncertain,
    StoresChanged,
)
from oleanderhitch.process.ids import CallId, NodeId, Term
from oleanderhitch.process.membership.messages import (
    LeadershipConfirmed,
    LeadershipGained,
    LeadershipLost,
)
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.replication.effects import LeadershipChanged
from oleanderhitch.process.replication.states import Role
from oleanderhitch.process.storage.identity import get_node
from oleanderhitch.values import Value
from oleanderhitch.version.addresses import HostPort, parse_host_port

# Allows for the clocks of two hosts running at slightly different rates.
CLOCK_DRIFT_MARGIN = timedelta(milliseconds=50)


class SendRead(Value, frozen=True):
    """Sends a read to this store's replica of the group."""

    call: CallId


class NotifySubscribers(Value, frozen=True):
    """Sends a message to all subscribers."""

    message: LeadershipGained | LeadershipConfirmed | LeadershipLost


class LeadershipState(Struct):
    """Leadership of this store and the pending reads that confirm it."""

    election_timeout_min: timedelta
    addresses: dict[NodeId, HostPort]
    # None while this store does not lead.
    term: Term | None = None
    # Whether a read has confirmed the leadership of this term.
    is_confirmed: bool = False
    n_reads: int = 0
    read_sent_at: dict[CallId, datetime] = field(default_factory=dict)


def make_leadership_state(
    election_timeout_min: timedelta, addresses: Mapping[NodeId, HostPort]
) -> LeadershipState:
    """Return the initial state, of a store that does not lead."""
    return LeadershipState(election_timeout_min, dict(addresses))


@singledispatch
def handle(message: object, state: LeadershipState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(
        f"leadership does not support message type {type(message).__name__}"
    )


@handle.register
def _(
    message: LeadershipChanged, state: LeadershipState, now: datetime
) -> list[object]:
    state.read_sent_at.clear()
    state.is_confirmed = False
    if message.role is Role.LEADER:
        state.term = message.term
        return [_start_read(state, now)]
    state.term = None
    leader = None
    if message.leader is not None:
        leader = state.addresses.get(get_node(message.leader))
    return [NotifySubscribers(LeadershipLost(leader))]


@handle.register
def _(message: StoresChanged, state: LeadershipState, now: datetime) -> list[object]:
    state.addresses = {
        node: parse_host_port(address) for node, address in message.stores.items()
    }
    return []


@handle.register
def _(message: Tick, state: LeadershipState, now: datetime) -> list[object]:
    return [] if state.term is None else [_start_read(state, now)]


@handle.register
def _(message: GroupAnswer, state: LeadershipState, now: datetime) -> list[object]:
    sent_at = state.read_sent_at.pop(message.call, None)
    if sent_at is None or state.term is None:
        return []
    until = sent_at + state.election_timeout_min - CLOCK_DRIFT_MARGIN
    if state.is_confirmed:
        return [NotifySubscribers(LeadershipConfirmed(state.term, until))]
    state.is_confirmed = True
    return [NotifySubscribers(LeadershipGained(state.term, until))]


@handle.register(GroupRedirect)
@handle.register(GroupUncertain)
def _(
    message: GroupRedirect | GroupUncertain, state: LeadershipState, now: datetime
) -> list[object]:
    state.read_sent_at.pop(message.call, None)
    return []


def _start_read(state: LeadershipState, now: datetime) -> SendRead:
    state.n_reads += 1
    call = CallId(state.n_reads)
    state.read_sent_at = {
        number: at
        for number, at in state.read_sent_at.items()
        if now - at < state.election_timeout_min
    }
    state.read_sent_at[call] = now
    return SendRead(call)
