"""Apply commands on the registered stores, alike on every replica."""

from dataclasses import dataclass, field, replace
from functools import singledispatch

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


@dataclass(slots=True)
class RegistryState:
    """Hold the stores by their host."""

    records: dict[HostName, StoreRecord] = field(default_factory=dict)


@singledispatch
def apply(command: object, state: RegistryState) -> object:
    """Return the result of a command."""
    raise TypeError(f"registry has no command {type(command).__name__}")


@apply.register
def _(command: RegisterStore, state: RegistryState) -> object:
    known = state.records.get(command.host)
    standing = StoreStanding.ACTIVE
    if known is not None and known.node == command.node:
        # A host that is to be emptied stays so, whatever its disk is.
        standing = known.standing
    state.records[command.host] = StoreRecord(
        command.host, command.node, command.replica, standing
    )
    return StoreNoted()


@apply.register
def _(command: RetireStore, state: RegistryState) -> object:
    known = state.records.get(command.host)
    if known is None:
        return StoreUnknown()
    if known.standing is StoreStanding.ACTIVE:
        n_left = sum(
            record.standing is StoreStanding.ACTIVE and record.host != command.host
            for record in state.records.values()
        )
        if n_left < command.n_stores_min:
            return TooFewStores(n_left)
        known = replace(known, standing=StoreStanding.RETIRING)
        state.records[command.host] = known
    return StoreStandingFound(known.standing)


@apply.register
def _(command: CompleteRetirement, state: RegistryState) -> object:
    known = state.records.get(command.host)
    if known is not None and known.standing is StoreStanding.RETIRING:
        state.records[command.host] = replace(known, standing=StoreStanding.RETIRED)
    return StoreNoted()


@apply.register
def _(command: ForgetStore, state: RegistryState) -> object:
    known = state.records.get(command.host)
    if known is not None and known.replica == command.replica:
        del state.records[command.host]
    return StoreNoted()


def find_standing(query: GetRetirement, state: RegistryState) -> object:
    """Return the standing of a store, or that it is unknown."""
    known = state.records.get(query.host)
    return StoreUnknown() if known is None else StoreStandingFound(known.standing)
