"""Guard against groups that stay weakened, and against needless changes."""

from datetime import UTC, datetime, timedelta

from oleanderhitch.process.ids import LogIndex, NodeId, ReplicaId, Term
from oleanderhitch.process.repair.core import (
    ChangeReplica,
    ProposeCommand,
    RepairState,
    SendToStore,
    handle,
)
from oleanderhitch.process.repair.messages import (
    CompleteRetirement,
    RegisterStore,
    ReplicaRemoved,
    StatusObserved,
    StoreHello,
    StoreRecord,
    StoreRecordsChanged,
)
from oleanderhitch.process.repair.states import StoreStanding
from oleanderhitch.process.replication.messages import (
    FollowerStatus,
    Membership,
    ReplicationStatus,
)
from oleanderhitch.process.replication.states import ChangeKind, Role
from oleanderhitch.process.site.group import SITE_GROUP
from oleanderhitch.version.ids import DataCentreName, HostName

NOW = datetime(2026, 1, 1, tzinfo=UTC)
OBSERVATION = timedelta(milliseconds=250)


def name(host: str, disk: str = "1") -> ReplicaId:
    """Return the replica of a host's disk."""
    return ReplicaId(f"{host}:1/{disk}")


class World:
    """Play announcements and observations to the leader on host a."""

    def __init__(self, *voters: str) -> None:
        self.state = RepairState(3)
        self.now = NOW
        self.membership = Membership(tuple(name(host) for host in voters))
        self.silent: set[ReplicaId] = set()
        self.disks = {host: "1" for host in voters}
        self.records: dict[str, StoreRecord] = {}
        self.role = Role.LEADER
        self.is_pending = False

    def announce(self, host: str, disk: str) -> None:
        """Let a host announce itself from now on."""
        self.disks[host] = disk

    def retire(self, host: str) -> None:
        """Ask for a host to be emptied."""
        replica = name(host, self.disks[host])
        node = NodeId(f"{host}:1")
        self.records[host] = StoreRecord(
            HostName(host), node, replica, StoreStanding.RETIRING
        )

    def observe(self, n_times: int = 1) -> list[object]:
        """Return the last effects of some observations."""
        effects: list[object] = []
        for _ in range(n_times):
            self.now += OBSERVATION
            records = StoreRecordsChanged(tuple(self.records.values()))
            handle(records, self.state, self.now)
            for host, disk in self.disks.items():
                replica = name(host, disk)
                if replica not in self.silent:
                    hello = StoreHello(
                        HostName(host),
                        NodeId(f"{host}:1"),
                        replica,
                        DataCentreName(f"dc-{host}"),
                        (),
                    )
                    handle(hello, self.state, self.now)
            status = StatusObserved(self._make_status())
            effects = handle(status, self.state, self.now)
        return effects

    def find_change(self, n_times: int = 1) -> ChangeReplica | None:
        """Return the change that the last observation asks for."""
        effects = self.observe(n_times)
        found = [effect for effect in effects if isinstance(effect, ChangeReplica)]
        assert len(found) <= 1
        return found[0] if found else None

    def _make_status(self) -> ReplicationStatus:
        members = (*self.membership.voters, *self.membership.learners)
        current = {name(host, disk) for host, disk in self.disks.items()}
        followers = tuple(
            FollowerStatus(
                replica,
                replica in self.membership.voters,
                replica not in self.silent and replica in current,
                LogIndex(1),
            )
            for replica in members
            if replica != name("a")
        )
        return ReplicationStatus(
            0,
            SITE_GROUP,
            name("a"),
            self.role,
            Term(1),
            name("a"),
            self.membership,
            LogIndex(1),
            LogIndex(1),
            LogIndex(0),
            self.is_pending,
            followers,
            "",
        )


def test_healthy_group_is_left_alone() -> None:
    """A change without need risks the group for nothing."""
    world = World("a", "b", "c")
    world.announce("d", "1")
    assert world.find_change(20) is None


def test_lost_disk_is_replaced_at_once() -> None:
    """A second loss may follow, so that the new disk must not wait."""
    world = World("a", "b", "c")
    world.observe(4)
    world.announce("b", "2")
    change = world.find_change()
    assert change is not None
    assert (change.kind, change.replica) == (ChangeKind.REPLACE, name("b"))
    assert change.replacement == name("b", "2")


def test_restart_does_not_cost_a_voter_its_place() -> None:
    """A process is back within a second or two."""
    world = World("a", "b", "c")
    world.announce("d", "1")
    world.observe(4)
    world.silent.add(name("c"))
    assert world.find_change(7) is None
    world.silent.clear()
    assert world.find_change(8) is None


def test_silent_voter_is_replaced_by_a_spare() -> None:
    """A host that is gone for good must not weaken the group for long."""
    world = World("a", "b", "c")
    world.announce("d", "1")
    world.silent.add(name("c"))
    change = world.find_change(12)
    assert change is not None
    assert (change.replica, change.replacement) == (name("c"), name("d"))


def test_missing_voter_is_added() -> None:
    """A group that was founded by fewer stores grows."""
    world = World("a", "b")
    world.announce("d", "1")
    change = world.find_change()
    assert change is not None
    assert change.kind is ChangeKind.ADD


def test_retiring_voter_is_replaced_and_then_completed() -> None:
    """A host may be taken away only once it holds nothing that is needed."""
    world = World("a", "b", "c")
    world.announce("d", "1")
    world.retire("c")
    change = world.find_change()
    assert change is not None
    assert (change.replica, change.replacement) == (name("c"), name("d"))
    world.membership = Membership(
        (name("a"), name("b"), name("d")), removed=(name("c"),)
    )
    effects = world.observe()
    assert ProposeCommand(CompleteRetirement(HostName("c"))) in effects
    told = [effect for effect in effects if isinstance(effect, SendToStore)]
    assert not told


def test_replaced_store_is_told_to_begin_anew() -> None:
    """A store that was frozen for long must become a spare again."""
    world = World("a", "b", "d")
    world.announce("c", "1")
    world.membership = Membership(world.membership.voters, removed=(name("c"),))
    effects = world.observe()
    assert SendToStore(NodeId("c:1"), ReplicaRemoved(name("c"))) in effects
    assert world.find_change(20) is None


def test_stuck_learner_is_cancelled() -> None:
    """A new replica that dies must not block all later changes."""
    world = World("a", "b", "c")
    world.membership = Membership(
        world.membership.voters, (name("d"),), retiring=name("c")
    )
    world.is_pending = True
    world.silent.add(name("d"))
    changes = [world.find_change() for _ in range(14)]
    (change,) = [change for change in changes if change is not None]
    assert (change.kind, change.replica) == (ChangeKind.REMOVE, name("d"))


def test_follower_asks_for_nothing() -> None:
    """Only the leader knows who is reachable."""
    world = World("a", "b", "c")
    world.role = Role.FOLLOWER
    world.announce("b", "2")
    assert world.observe(20) == []


def test_new_store_is_registered() -> None:
    """Operators name stores by their host."""
    world = World("a", "b", "c")
    commands = [
        effect.command
        for effect in world.observe()
        if isinstance(effect, ProposeCommand)
    ]
    assert RegisterStore(HostName("a"), NodeId("a:1"), name("a")) in commands
