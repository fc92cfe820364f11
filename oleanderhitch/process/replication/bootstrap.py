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
class PersistVoters:
    """Sync the fixed set; a formed one starts the group once synced."""

    voters: tuple[ReplicaId, ...]
    is_formed: bool


@dataclass(frozen=True, slots=True)
class ReportExclusion:
    """Say that the group exists without this replica."""

    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class VotersPersisted:
    """Report that a fixed set is synced."""

    voters: tuple[ReplicaId, ...]
    is_formed: bool


@dataclass(slots=True)
class BootstrapState:
    """Hold what this replica knows of the other founding replicas."""

    node: NodeId
    replica: ReplicaId
    bootstrap_nodes: tuple[NodeId, ...]
    voters: tuple[ReplicaId, ...] = ()
    is_formed: bool = False
    is_excluded: bool = False
    is_write_pending: bool = False
    replica_by_node: dict[NodeId, ReplicaId] = field(default_factory=dict)
    agreeing_replicas: set[ReplicaId] = field(default_factory=set)
    hello_due_at: datetime | None = None


def handle_bootstrap_tick(state: BootstrapState, now: datetime) -> list[object]:
    """Say hello to the other founding nodes until the group is formed."""
    if state.is_formed or state.is_excluded or state.is_write_pending:
        return []
    state.replica_by_node[state.node] = state.replica
    effects = _advance(state)
    if state.hello_due_at is None or now >= state.hello_due_at:
        state.hello_due_at = now + HELLO_INTERVAL
        effects.extend(
            SendHello(node, _make_hello(state, False))
            for node in state.bootstrap_nodes
            if node != state.node
        )
    return effects


def handle_hello(state: BootstrapState, hello: FoundingHello) -> list[object]:
    """Take account of another founding replica, and answer it."""
    effects: list[object] = []
    if not (state.is_formed or state.is_excluded or state.is_write_pending):
        effects.extend(_update_from_hello(state, hello))
    # A set that is not synced yet must not be told to anyone.
    if not hello.is_answer and not state.is_write_pending:
        effects.append(SendHello(hello.node, _make_hello(state, True)))
    return effects


def _make_hello(state: BootstrapState, is_answer: bool) -> FoundingHello:
    if state.is_excluded:
        # The group exists, but this replica can't name its founding voters.
        return FoundingHello(state.node, state.replica, (), True, is_answer)
    return FoundingHello(
        state.node, state.replica, state.voters, state.is_formed, is_answer
    )


def _update_from_hello(state: BootstrapState, hello: FoundingHello) -> list[object]:
    if hello.is_formed:
        if state.replica not in hello.voters:
            state.is_excluded = True
            return [ReportExclusion(state.replica)]
        return _persist_voters(state, hello.voters, True)
    if hello.node in state.bootstrap_nodes:
        state.replica_by_node[hello.node] = hello.replica
    if hello.voters and hello.voters == state.voters:
        state.agreeing_replicas.add(hello.replica)
    return _advance(state)


def _advance(state: BootstrapState) -> list[object]:
    if not state.voters:
        if set(state.bootstrap_nodes) <= set(state.replica_by_node):
            voters = tuple(
                sorted(state.replica_by_node[node] for node in state.bootstrap_nodes)
            )
            return _persist_voters(state, voters, False)
        return []
    if {*state.agreeing_replicas, state.replica} >= set(state.voters):
        return _persist_voters(state, state.voters, True)
    return []


def _persist_voters(
    state: BootstrapState, voters: tuple[ReplicaId, ...], is_formed: bool
) -> list[object]:
    state.is_write_pending = True
    return [PersistVoters(voters, is_formed)]


def handle_voters_persisted(state: BootstrapState, message: VotersPersisted) -> None:
    """Use a set that is synced now."""
    state.is_write_pending = False
    state.voters = message.voters
    state.is_formed = message.is_formed
