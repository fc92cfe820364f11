"""Bootstrap of a group: agreement on its initial voters, exactly once.

Each bootstrap node creates a new replica id for an empty disk. Every replica first
persists one set of voters, which never changes, and the group is formed once all voters
of a set have persisted this same set. No two different sets can both be formed while
one of the bootstrap disks remains. A replica with an empty disk that finds a formed
group without its id waits until an operator adds it.
"""

from datetime import datetime, timedelta

from msgspec import Struct, field

from oleanderhitch.process.ids import NodeId, ReplicaId
from oleanderhitch.values import Value

HELLO_INTERVAL = timedelta(milliseconds=500)


class FoundingHello(Value, frozen=True):
    """Announces a replica's id and the voters that it has persisted.

    The voters are empty if the replica has persisted none yet, or is excluded. A hello
    with `is_answer` replies to another one; any other hello requests a reply.
    """

    node: NodeId
    replica: ReplicaId
    voters: tuple[ReplicaId, ...]
    is_formed: bool
    is_answer: bool


class SendHello(Value, frozen=True):
    """Sends a hello to a bootstrap node."""

    node: NodeId
    hello: FoundingHello


class PersistVoters(Value, frozen=True):
    """Persists a set of voters, then reports VotersPersisted.

    The group starts once a formed set is synced.
    """

    voters: tuple[ReplicaId, ...]
    is_formed: bool


class ReportExclusion(Value, frozen=True):
    """Reports that the group exists without this replica."""

    replica: ReplicaId


class VotersPersisted(Value, frozen=True):
    """Reports that a set of voters is synced."""

    voters: tuple[ReplicaId, ...]
    is_formed: bool


class BootstrapState(Struct):
    """State of a replica's bootstrap, with what others have reported in their hellos.

    An excluded replica does not take part: the group exists already or is bootstrapped
    by others.
    """

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
    """Send hellos to the other bootstrap nodes until the group is formed."""
    if state.is_formed or state.is_excluded or state.is_write_pending:
        return []
    state.replica_by_node[state.node] = state.replica
    effects = _advance_agreement(state)
    if state.hello_due_at is None or now >= state.hello_due_at:
        state.hello_due_at = now + HELLO_INTERVAL
        effects.extend(
            SendHello(node, _make_hello(state, False))
            for node in state.bootstrap_nodes
            if node != state.node
        )
    return effects


def handle_hello(state: BootstrapState, hello: FoundingHello) -> list[object]:
    """Update the state from another replica's hello, and reply to it."""
    effects: list[object] = []
    if not (state.is_formed or state.is_excluded or state.is_write_pending):
        effects.extend(_update_from_hello(state, hello))
    # A set of voters must not be announced before it is synced.
    if not hello.is_answer and not state.is_write_pending:
        effects.append(SendHello(hello.node, _make_hello(state, True)))
    return effects


def _make_hello(state: BootstrapState, is_answer: bool) -> FoundingHello:
    if state.is_excluded:
        # The group exists, but this replica has no record of its initial voters.
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
    return _advance_agreement(state)


def _advance_agreement(state: BootstrapState) -> list[object]:
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
    """Adopt a set of voters once it is synced."""
    state.is_write_pending = False
    state.voters = message.voters
    state.is_formed = message.is_formed
