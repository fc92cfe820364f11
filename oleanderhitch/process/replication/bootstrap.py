"""Agree on the first voters of a group, exactly once.

Each founding node makes a new replica id for an empty disk. Every replica first
fixes one set of ids, durably and for good, and the group is formed once all ids
of a set have fixed this same set. No two different sets can both be formed
while one of the founding disks remains. A replica with an empty disk that meets
a formed group without its id waits to be added by an operator.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from oleanderhitch.process.ids import NodeId, ReplicaId

HELLO_INTERVAL = timedelta(milliseconds=500)


@dataclass(frozen=True, slots=True)
class FoundingHello:
    """Tell another founding node this replica's id and the set it has fixed."""

    node: NodeId
    replica: ReplicaId
    voters: tuple[ReplicaId, ...]
    is_formed: bool
    is_answer: bool


@dataclass(frozen=True, slots=True)
class SendHello:
    """Send a hello to a founding node."""

    node: NodeId
    hello: FoundingHello


@dataclass(frozen=True, slots=True)
class FixVoters:
    """Sync the fixed set; a formed one starts the group once synced."""

    voters: tuple[ReplicaId, ...]
    is_formed: bool


@dataclass(frozen=True, slots=True)
class AwaitAdmission:
    """Say that the group exists without this replica."""

    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class FoundingSynced:
    """Report that a fixed set is synced."""

    voters: tuple[ReplicaId, ...]
    is_formed: bool


@dataclass(slots=True)
class FoundingState:
    """Hold what this replica knows of the other founding replicas."""

    node: NodeId
    replica: ReplicaId
    nodes: tuple[NodeId, ...]
    voters: tuple[ReplicaId, ...] = ()
    is_formed: bool = False
    is_excluded: bool = False
    is_writing: bool = False
    seen: dict[NodeId, ReplicaId] = field(default_factory=dict)
    agreed: set[ReplicaId] = field(default_factory=set)
    hello_due_at: datetime | None = None


def handle_founding_tick(state: FoundingState, now: datetime) -> list[object]:
    """Say hello to the other founding nodes until the group is formed."""
    if state.is_formed or state.is_excluded or state.is_writing:
        return []
    state.seen[state.node] = state.replica
    out = _advance(state)
    if state.hello_due_at is None or now >= state.hello_due_at:
        state.hello_due_at = now + HELLO_INTERVAL
        out.extend(
            SendHello(node, _make_hello(state, False))
            for node in state.nodes
            if node != state.node
        )
    return out


def handle_hello(state: FoundingState, hello: FoundingHello) -> list[object]:
    """Take account of another founding replica, and answer it."""
    out: list[object] = []
    if not (state.is_formed or state.is_excluded or state.is_writing):
        out.extend(_learn(state, hello))
    # A set that is not synced yet must not be told to anyone.
    if not hello.is_answer and not state.is_writing:
        out.append(SendHello(hello.node, _make_hello(state, True)))
    return out


def _make_hello(state: FoundingState, is_answer: bool) -> FoundingHello:
    if state.is_excluded:
        # The group exists, but this replica can't name its founding voters.
        return FoundingHello(state.node, state.replica, (), True, is_answer)
    return FoundingHello(
        state.node, state.replica, state.voters, state.is_formed, is_answer
    )


def _learn(state: FoundingState, hello: FoundingHello) -> list[object]:
    if hello.is_formed:
        if state.replica not in hello.voters:
            state.is_excluded = True
            return [AwaitAdmission(state.replica)]
        return _fix(state, hello.voters, True)
    if hello.node in state.nodes:
        state.seen[hello.node] = hello.replica
    if hello.voters and hello.voters == state.voters:
        state.agreed.add(hello.replica)
    return _advance(state)


def _advance(state: FoundingState) -> list[object]:
    if not state.voters:
        if set(state.nodes) <= set(state.seen):
            voters = tuple(sorted(state.seen[node] for node in state.nodes))
            return _fix(state, voters, False)
        return []
    if {*state.agreed, state.replica} >= set(state.voters):
        return _fix(state, state.voters, True)
    return []


def _fix(
    state: FoundingState, voters: tuple[ReplicaId, ...], is_formed: bool
) -> list[object]:
    state.is_writing = True
    return [FixVoters(voters, is_formed)]


def handle_founding_synced(state: FoundingState, message: FoundingSynced) -> None:
    """Use a set that is synced now."""
    state.is_writing = False
    state.voters = message.voters
    state.is_formed = message.is_formed
