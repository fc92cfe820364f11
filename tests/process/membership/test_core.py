"""Guard against wrong decisions that the state machine test rarely reaches."""

from datetime import UTC, datetime, timedelta

from msgspec.structs import replace

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.process.membership import core
from oleanderhitch.process.membership.messages import (
    MESSAGES,
    DescriptionRequested,
    LeadershipGained,
    LeaseGranted,
    NodeDescription,
    NodeHeartbeat,
    PoolOwner,
    PoolsDeclared,
    TableChange,
    VersionPushed,
)
from oleanderhitch.process.membership.node import core as node_core
from oleanderhitch.process.membership.node.messages import (
    InstallVersion,
    SendToStore,
    StoreUnreachable,
    WorkPermitted,
    WorkStopped,
)
from oleanderhitch.process.messages import Tick
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.documents import ConfigurationDocument
from oleanderhitch.version.states import HostRole

START = datetime(2026, 1, 1, tzinfo=UTC)
STORES = (HostPort("127.0.0.1", 7201), HostPort("127.0.0.1", 7202))
DESCRIPTION = NodeDescription(
    HostRole.ENTRY, "east", HostPort("127.0.0.1", 7101), False, ()
)


def after(ms):
    """Return the time this many milliseconds after the start."""
    return START + timedelta(milliseconds=ms)


def make_leader(term=2, pools=("p",)):
    """Return a leader that has just been elected."""
    state = core.make_membership_state()
    declared = PoolsDeclared(
        tuple((pool, "coast") for pool in pools), (("east", "coast"),)
    )
    core.handle(declared, state, START)
    core.handle(LeadershipGained(term, after(10**9)), state, START)
    return state


def make_heartbeat(node, number, owned=(), table_position=(1, 0), is_described=True):
    """Return a heartbeat of a node that has the table of this position."""
    description = (
        replace(DESCRIPTION, owned_pools=tuple(owned)) if is_described else None
    )
    return NodeHeartbeat(node, f"i-{node}", number, 0, *table_position, description)


def make_node():
    """Return a node that has sent its first heartbeat."""
    state = node_core.make_node_state(
        "n1", "i1", HostRole.ENTRY, "east", HostPort("127.0.0.1", 7101), STORES
    )
    node_core.handle(Tick(), state, START)
    return state


def make_grant(number, table=None, term=2, lease_ms=2900):
    """Return the reply to a heartbeat of n1."""
    lease = timedelta(milliseconds=lease_ms)
    return LeaseGranted("n1", "i1", number, term, lease, 1, table)


def test_later_claim_wins():
    """Guard against a delayed heartbeat that restores the previous owner of a pool."""
    for order in ((0, 1), (1, 0)):
        state = make_leader()
        claims = [
            make_heartbeat("old", 1, ["p"], table_position=(1, 5)),
            make_heartbeat("new", 1, ["p"], table_position=(1, 9)),
        ]
        for index in order:
            core.handle(claims[index], state, after(10))
        assert state.table.owners["p"].owner == "new"


def test_claim_after_earlier_leases_expired_is_ignored():
    """Guard against a claim of a pool that was since assigned to another node."""
    state = make_leader()
    core.handle(make_heartbeat("n1", 1, ["p"]), state, after(10))
    core.handle(make_heartbeat("n1", 2), state, after(2000))
    core.handle(
        make_heartbeat("late", 1, ["p"], table_position=(1, 99)), state, after(3100)
    )
    core.handle(Tick(), state, after(3200))
    assert state.table.owners["p"].owner == "n1"


def test_unclaimed_pool_waits_for_every_node():
    """Guard against a new owner while another node may still own the pool."""
    state = make_leader()
    for number, at in ((1, 100), (2, 2500), (3, 3100)):
        for node in ("a", "b"):
            core.handle(make_heartbeat(node, number), state, after(at))
    core.handle(Tick(), state, after(3200))
    table_position = (2, state.table.number)
    core.handle(
        make_heartbeat("a", 4, table_position=table_position), state, after(3300)
    )
    core.handle(Tick(), state, after(3400))
    assert state.table.owners["p"].owner is None
    core.handle(
        make_heartbeat("b", 4, table_position=table_position), state, after(3500)
    )
    core.handle(Tick(), state, after(3600))
    assert state.table.owners["p"].owner in {"a", "b"}


def test_duplicate_heartbeat_gets_no_second_lease():
    """Guard against a delayed duplicate that extends a lease or lowers the version."""
    state = make_leader()
    assert core.handle(make_heartbeat("n1", 5), state, after(10))
    until = state.table.nodes["n1"].lease_until
    assert core.handle(make_heartbeat("n1", 5), state, after(500)) == []
    assert core.handle(make_heartbeat("n1", 4), state, after(600)) == []
    assert state.table.nodes["n1"].lease_until == until


def test_unknown_node_is_asked_for_its_description():
    """Guard against a lease for a node whose data centre is unknown."""
    state = make_leader()
    (effect,) = core.handle(
        make_heartbeat("n1", 1, is_described=False), state, after(1)
    )
    assert effect.message == DescriptionRequested("n1", "i-n1", 1)
    node = make_node()
    request = DescriptionRequested("n1", "i1", 1)
    (sent,) = node_core.handle(request, node, after(5))
    assert sent.message.description is not None
    assert node_core.handle(request, node, after(6)) == []


def test_node_ignores_tables_of_earlier_leaders():
    """Guard against a delayed table that restores a node's ownership of a pool."""
    node = make_node()
    node_core.handle(make_grant(1, term=3), node, after(10))
    table = TableChange(9, 0, True, (), (PoolOwner("p", "n1"),))
    node_core.handle(make_grant(1, table, term=2), node, after(20))
    assert node_core.list_owned_pools(node, after(30)) == ()


def test_node_ignores_changes_after_a_gap():
    """Guard against a table that misses changes."""
    node = make_node()
    complete = TableChange(4, 0, True, (), (PoolOwner("p", "n1"),))
    node_core.handle(make_grant(1, complete), node, after(10))
    gap = TableChange(9, 7, False, (), (PoolOwner("p", "n2"),))
    node_core.handle(make_grant(1, gap), node, after(20))
    assert node.owners == {"p": "n1"}
    follows = TableChange(9, 4, False, (), (PoolOwner("p", None),))
    (_, confirmation) = node_core.handle(make_grant(1, follows), node, after(30))
    assert node.owners == {}
    assert confirmation.message.table_number == 9


def test_node_ignores_a_push_after_a_gap():
    """Guard against a version that misses documents of an earlier one."""
    node = make_node()
    document = ConfigurationDocument("rules", 5, "{}")
    assert node_core.handle(VersionPushed(5, 3, (document,), ()), node, after(1)) == []
    (effect,) = node_core.handle(VersionPushed(5, 0, (document,), ()), node, after(2))
    assert effect == InstallVersion(5, (document,))
    assert node_core.handle(VersionPushed(4, 0, (), ()), node, after(3)) == []


def test_lease_runs_from_when_the_heartbeat_was_sent():
    """Guard against a node that works after its lease has expired at the leader."""
    node = make_node()
    node.installed_version = 1
    (permitted,) = node_core.handle(make_grant(1), node, after(2000))
    assert permitted == WorkPermitted(after(2900))
    assert node_core.may_start_work(node, after(2899))
    assert not node_core.may_start_work(node, after(2900))
    effects = node_core.handle(Tick(), node, after(2900))
    assert effects[0] == WorkStopped()


def test_node_tries_another_store():
    """Guard against a node that waits for an unreachable store until its lease ends."""
    node = make_node()
    assert node_core.handle(Tick(), node, after(400)) == []
    (effect,) = node_core.handle(Tick(), node, after(500))
    assert isinstance(effect, SendToStore) and effect.store == STORES[1]
    assert effect.message.description is not None
    assert node_core.handle(StoreUnreachable(STORES[1]), node, after(600)) == []
    assert node_core.handle(Tick(), node, after(650)) == []
    (effect,) = node_core.handle(Tick(), node, after(700))
    assert effect.store == STORES[0]


def test_messages_round_trip_through_the_codec():
    """Guard against a message type that cannot be encoded."""
    codec = make_codec(MESSAGES)
    table = TableChange(4, 0, True, (), (PoolOwner("p", None),))
    for message in (make_heartbeat("n", 1, ["p"]), make_grant(1, table)):
        assert codec.decode(codec.encode(message)) == message
