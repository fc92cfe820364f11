"""Decide which hellos of entry hosts a read of the routing confirms.

Answers a host that can't know whether it has the newest routing: a majority of the
stores must answer after its hello arrived. Hellos share reads, so that their number
does not grow with the entry hosts.
"""

from datetime import datetime, timedelta
from functools import singledispatch
from typing import NewType

from msgspec import Struct, field

from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.site.messages import HelloNumber
from oleanderhitch.process.task import NO_TICK
from oleanderhitch.values import Value
from oleanderhitch.version.routes.ids import RoutingVersion

ReadNumber = NewType("ReadNumber", int)

# Bounds the reads that all hellos together cause to five a second.
READ_INTERVAL = timedelta(milliseconds=200)
# More than the entry hosts of the largest deployment. A store that does not lead keeps
# the hellos of all hosts that it has heard of.
N_WAITING_MAX = 2000
# A read takes a round trip to a majority. Without a reply for this long, the reply is
# lost or the leader is cut off, and a new read is begun.
READ_TIMEOUT = timedelta(seconds=2)


class HelloArrived(Value, frozen=True):
    """Reports a hello that asks for a confirmation."""

    node: NodeId
    number: HelloNumber


class LeadershipObserved(Value, frozen=True):
    """Reports whether this store leads the group that has the routing.

    A new leader rejects reads until an entry of its term is committed, and counts as
    one from then on.
    """

    is_leader: bool


class ReadCompleted(Value, frozen=True):
    """Reports the version of the routing that a read has found."""

    read: ReadNumber
    version: RoutingVersion


class ReadFailed(Value, frozen=True):
    """Reports that a read was rejected."""

    read: ReadNumber


class BeginRead(Value, frozen=True):
    """Begins a read of the routing through the group."""

    read: ReadNumber


class ConfirmHellos(Value, frozen=True):
    """Confirms hellos to the entry hosts that have this version or a newer one."""

    hellos: dict[NodeId, HelloNumber]
    version: RoutingVersion


class CurrencyState(Struct):
    """The hellos to confirm; owned by the currency task.

    `waiting` are the hellos that no read has begun for, the latest last. `covered` are
    those that the read in progress was begun for. Each has the latest hello of a node.
    """

    is_leader: bool = False
    waiting: dict[NodeId, HelloNumber] = field(default_factory=dict)
    covered: dict[NodeId, HelloNumber] = field(default_factory=dict)
    read: ReadNumber | None = None
    n_reads: int = 0
    last_read_at: datetime | None = None

    @property
    def next_tick_at(self) -> datetime:
        """When the next read may begin, NO_TICK if none is needed."""
        if not (self.is_leader and self.waiting) or self.last_read_at is None:
            return NO_TICK
        is_reading = self.read is not None
        return self.last_read_at + (READ_TIMEOUT if is_reading else READ_INTERVAL)


@singledispatch
def handle(message: object, state: CurrencyState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"currency does not support message type {type(message).__name__}")


@handle.register
def _(message: HelloArrived, state: CurrencyState, now: datetime) -> list[object]:
    state.waiting.pop(message.node, None)
    state.waiting[message.node] = message.number
    _drop_oldest(state)
    return _begin_read(state, now)


@handle.register
def _(message: LeadershipObserved, state: CurrencyState, now: datetime) -> list[object]:
    # A read that began before says nothing about what has been accepted since. Hellos
    # that came before an election wait for its end: hosts that start together with the
    # stores would wait for their next hello otherwise.
    state.is_leader = message.is_leader
    _give_up_read(state)
    return _begin_read(state, now)


@handle.register
def _(message: ReadCompleted, state: CurrencyState, now: datetime) -> list[object]:
    if message.read != state.read:
        return []
    confirmation = ConfirmHellos(state.covered, message.version)
    state.read = None
    state.covered = {}
    return [confirmation, *_begin_read(state, now)]


@handle.register
def _(message: ReadFailed, state: CurrencyState, now: datetime) -> list[object]:
    if message.read != state.read:
        return []
    _give_up_read(state)
    return _begin_read(state, now)


@handle.register
def _(message: Tick, state: CurrencyState, now: datetime) -> list[object]:
    return _begin_read(state, now)


def _begin_read(state: CurrencyState, now: datetime) -> list[object]:
    """Begin a read for all waiting hellos, unless one is in progress or recent."""
    if not (state.is_leader and state.waiting):
        return []
    if state.last_read_at and now < state.next_tick_at:
        return []
    _give_up_read(state)
    state.n_reads += 1
    state.read = ReadNumber(state.n_reads)
    state.last_read_at = now
    state.covered, state.waiting = state.waiting, {}
    return [BeginRead(state.read)]


def _give_up_read(state: CurrencyState) -> None:
    earlier = {
        node: number
        for node, number in state.covered.items()
        if node not in state.waiting
    }
    state.waiting = {**earlier, **state.waiting}
    _drop_oldest(state)
    state.covered = {}
    state.read = None


def _drop_oldest(state: CurrencyState) -> None:
    while len(state.waiting) > N_WAITING_MAX:
        del state.waiting[next(iter(state.waiting))]
