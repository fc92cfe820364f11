"""Apply commands to the registered stores deterministically on every replica."""

from functools import singledispatch

from msgspec import Struct, field
from msgspec.structs import replace

from oleanderhitch.process.repair.messages import (
    CompleteRetirement,
    ForgetStore,
    GetRetirement,
    RegisterStore,
    RetireStore,
    StoreNoted,
    StoreRecord,
    StoreStandingFound,
    StoreUnknown,
    TooFewStores,
)
from oleanderhitch.process.repair.states import StoreStanding
from oleanderhitch.version.ids import HostName


class RegistryState(Struct):
    """The registered stores by host."""

    records: dict[HostName, StoreRecord] = field(default_factory=dict)


@singledispatch
def apply(command: object, state: RegistryState) -> object:
    """Apply a command and return its result."""
    raise TypeError(
        f"store registry does not support command type {type(command).__name__}"
    )


@apply.register
def _(command: RegisterStore, state: RegistryState) -> object:
    record = state.records.get(command.host)
    standing = StoreStanding.ACTIVE
    if record is not None and record.node == command.node:
        # A new disk does not cancel the retirement of a host.
        standing = record.standing
    state.records[command.host] = StoreRecord(
        command.host, command.node, command.replica, standing
    )
    return StoreNoted()


@apply.register
def _(command: RetireStore, state: RegistryState) -> object:
    record = state.records.get(command.host)
    if record is None:
        return StoreUnknown()
    if record.standing is StoreStanding.ACTIVE:
        n_left = sum(
            other.standing is StoreStanding.ACTIVE and other.host != command.host
            for other in state.records.values()
        )
        if n_left < command.n_stores_min:
            return TooFewStores(n_left)
        record = replace(record, standing=StoreStanding.RETIRING)
        state.records[command.host] = record
    return StoreStandingFound(record.standing)


@apply.register
def _(command: CompleteRetirement, state: RegistryState) -> object:
    record = state.records.get(command.host)
    if record is not None and record.standing is StoreStanding.RETIRING:
        state.records[command.host] = replace(record, standing=StoreStanding.RETIRED)
    return StoreNoted()


@apply.register
def _(command: ForgetStore, state: RegistryState) -> object:
    record = state.records.get(command.host)
    if record is not None and record.replica == command.replica:
        del state.records[command.host]
    return StoreNoted()


def find_standing(query: GetRetirement, state: RegistryState) -> object:
    """Return a StoreStandingFound, or StoreUnknown if the store is not registered."""
    record = state.records.get(query.host)
    return StoreUnknown() if record is None else StoreStandingFound(record.standing)
