"""Guard against groups that lack voters for long, and against needless changes."""

from datetime import UTC, datetime, timedelta

from oleanderhitch.process.ids import LogIndex, NodeId, ReplicaId, Term
from oleanderhitch.process.repair.core import BalanceSlot, RepairState, handle
from oleanderhitch.process.repair.effects import (
    ChangeReplica,
    MoveLeadership,
    ProposeCommand,
    SendToStore,
)
from oleanderhitch.process.repair.messages import (
    CompleteRetirement,
    ForgetStore,
    LeadershipObserved,
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
OBSERVATION_INTERVAL = timedelta(milliseconds=250)


def make_replica_id(host: str, disk: str = "1") -> ReplicaId:
    """Return the replica id of a disk of a host."""
    return ReplicaId(f"{host}:1/{disk}")


class RepairHarness:
    """Sends announcements and statuses to the repair core of the leader on host a."""

    def __init__(self, *voters: str) -> None:
        self.state = RepairState(SITE_GROUP, 3, BalanceSlot(0, 1))
        self.loads: dict[str, tuple[int, int]] = {}
        self.now = NOW
        self.membership = Membership(tuple(make_replica_id(host) for host in voters))
        self.unreachable_replicas: set[ReplicaId] = set()
        self.disks = {host: "1" for host in voters}
        self.records: dict[str, StoreRecord] = {}
        self.role = Role.LEADER
        self.is_change_pending = False
        handle(LeadershipObserved(True), self.state, self.now)

    def announce_store(self, host: str, disk: str) -> None:
        """Make a host announce a replica on this disk from now on."""
        self.disks[host] = disk

    def retire_store(self, host: str) -> None:
        """Register a host as retiring."""
        replica = make_replica_id(host, self.disks[host])
        node = NodeId(f"{host}:1")
        self.records[host] = StoreRecord(
            HostName(host), node, replica, StoreStanding.RETIRING
        )

    def observe(self, n_times: int = 1) -> list[object]:
        """Send announcements and a status several times; return the last effects."""
        effects: list[object] = []
        for _ in range(n_times):
            self.now += OBSERVATION_INTERVAL
            records = StoreRecordsChanged(tuple(self.records.values()))
            handle(records, self.state, self.now)
            for host, disk in self.disks.items():
                replica = make_replica_id(host, disk)
                if replica not in self.unreachable_replicas:
                    hello = StoreHello(
                        HostName(host),
                        NodeId(f"{host}:1"),
                        replica,
                        DataCentreName(f"dc-{host}"),
                        *self.loads.get(host, (0, 0)),
                    )
                    handle(hello, self.state, self.now)
            status = StatusObserved(self._make_status())
            effects = handle(status, self.state, self.now)
        return effects

    def find_change(self, n_times: int = 1) -> ChangeReplica | None:
        """Return the membership change among the last effects."""
        effects = self.observe(n_times)
        changes = [effect for effect in effects if isinstance(effect, ChangeReplica)]
        assert len(changes) <= 1
        return changes[0] if changes else None

    def _make_status(self) -> ReplicationStatus:
        members = (*self.membership.voters, *self.membership.learners)
        current = {make_replica_id(host, disk) for host, disk in self.disks.items()}
        followers = tuple(
            FollowerStatus(
                replica,
                replica in self.membership.voters,
                replica not in self.unreachable_replicas and replica in current,
                LogIndex(1),
            )
            for replica in members
            if replica != make_replica_id("a")
        )
        return ReplicationStatus(
            0,
            SITE_GROUP,
            make_replica_id("a"),
            self.role,
            Term(1),
            make_replica_id("a"),
            self.membership,
            LogIndex(1),
            LogIndex(1),
            LogIndex(0),
            self.is_change_pending,
            followers,
            "",
            0,
            0,
        )


def test_healthy_group_is_not_changed() -> None:
    """Guard against a needless membership change, which is a risk to the group."""
    harness = RepairHarness("a", "b", "c")
    harness.announce_store("d", "1")
    assert harness.find_change(20) is None


def test_lost_disk_is_replaced_at_once() -> None:
    """Guard against a delay in which the loss of a second disk would stop the group."""
    harness = RepairHarness("a", "b", "c")
    harness.observe(4)
    harness.announce_store("b", "2")
    change = harness.find_change()
    assert change is not None
    assert (change.kind, change.replica) == (ChangeKind.REPLACE, make_replica_id("b"))
    assert change.replacement == make_replica_id("b", "2")


def test_restarting_voter_is_not_replaced() -> None:
    """Guard against a replacement of a voter that restarts within two seconds."""
    harness = RepairHarness("a", "b", "c")
    harness.announce_store("d", "1")
    harness.observe(4)
    harness.unreachable_replicas.add(make_replica_id("c"))
    assert harness.find_change(7) is None
    harness.unreachable_replicas.clear()
    assert harness.find_change(8) is None


def test_unreachable_voter_is_replaced_by_a_spare() -> None:
    """Guard against a group that keeps a lost host as a voter."""
    harness = RepairHarness("a", "b", "c")
    harness.announce_store("d", "1")
    harness.unreachable_replicas.add(make_replica_id("c"))
    change = harness.find_change(12)
    assert change is not None
    assert (change.replica, change.replacement) == (
        make_replica_id("c"),
        make_replica_id("d"),
    )


def test_missing_voter_is_added() -> None:
    """Guard against a group that was bootstrapped with too few voters and stays so."""
    harness = RepairHarness("a", "b")
    harness.announce_store("d", "1")
    change = harness.find_change()
    assert change is not None
    assert change.kind is ChangeKind.ADD


def test_retiring_voter_is_replaced_and_then_completed() -> None:
    """Guard against a completed retirement of a store that is still a member."""
    harness = RepairHarness("a", "b", "c")
    harness.announce_store("d", "1")
    harness.retire_store("c")
    change = harness.find_change()
    assert change is not None
    assert (change.replica, change.replacement) == (
        make_replica_id("c"),
        make_replica_id("d"),
    )
    harness.membership = Membership(
        (make_replica_id("a"), make_replica_id("b"), make_replica_id("d")),
        removed=(make_replica_id("c"),),
    )
    effects = harness.observe()
    assert ProposeCommand(CompleteRetirement(HostName("c"))) in effects
    removals = [effect for effect in effects if isinstance(effect, SendToStore)]
    assert not removals


def test_replaced_store_is_asked_to_discard_its_replica() -> None:
    """Guard against a store that was replaced while it hung and stays unused."""
    harness = RepairHarness("a", "b", "d")
    harness.announce_store("c", "1")
    harness.membership = Membership(
        harness.membership.voters, removed=(make_replica_id("c"),)
    )
    effects = harness.observe()
    assert SendToStore(NodeId("c:1"), ReplicaRemoved(make_replica_id("c"))) in effects
    assert harness.find_change(20) is None


def test_unreachable_learner_is_removed() -> None:
    """Guard against a failed new replica that blocks all later changes."""
    harness = RepairHarness("a", "b", "c")
    harness.membership = Membership(
        harness.membership.voters,
        (make_replica_id("d"),),
        retiring=make_replica_id("c"),
    )
    harness.is_change_pending = True
    harness.unreachable_replicas.add(make_replica_id("d"))
    changes = [harness.find_change() for _ in range(14)]
    (change,) = [change for change in changes if change is not None]
    assert (change.kind, change.replica) == (ChangeKind.REMOVE, make_replica_id("d"))


def test_follower_requests_no_change() -> None:
    """Guard against changes by a follower, which does not observe who is reachable."""
    harness = RepairHarness("a", "b", "c")
    harness.role = Role.FOLLOWER
    harness.announce_store("b", "2")
    assert harness.observe(20) == []


def test_new_store_is_registered() -> None:
    """Guard against a store that operators cannot address by its host name."""
    harness = RepairHarness("a", "b", "c")
    commands = [
        effect.command
        for effect in harness.observe()
        if isinstance(effect, ProposeCommand)
    ]
    assert RegisterStore(HostName("a"), NodeId("a:1"), make_replica_id("a")) in commands


def find_move(harness: RepairHarness, n_times: int = 20) -> list[MoveLeadership]:
    """Return the moves of the leadership among the last effects."""
    effects = harness.observe(n_times)
    return [effect for effect in effects if isinstance(effect, MoveLeadership)]


def test_busy_voter_is_replaced_by_a_store_with_fewer_replicas() -> None:
    """Guard against the first three stores, which serve all groups for ever."""
    harness = RepairHarness("a", "b", "c")
    harness.announce_store("d", "1")
    harness.loads = {"a": (5, 0), "b": (7, 0), "c": (5, 0), "d": (4, 0)}
    change = harness.find_change(20)
    assert change is not None
    assert (change.replica, change.replacement) == (
        make_replica_id("b"),
        make_replica_id("d"),
    )
    harness.loads["d"] = (5, 0)
    assert harness.find_change(20) is None


def test_leadership_moves_to_the_store_that_leads_least() -> None:
    """Guard against one store that leads the groups of all programs."""
    harness = RepairHarness("a", "b", "c")
    harness.loads = {"a": (5, 3), "b": (5, 2), "c": (5, 1)}
    assert find_move(harness) == [MoveLeadership(make_replica_id("c"))]
    harness.loads = {"a": (5, 2), "b": (5, 1), "c": (5, 1)}
    assert find_move(harness) == []


def test_nothing_moves_while_a_voter_is_unreachable_or_just_back() -> None:
    """Guard against moves that add to the load of a group that recovers."""
    harness = RepairHarness("a", "b", "c")
    harness.loads = {"a": (5, 3), "b": (5, 2), "c": (5, 1)}
    harness.observe(20)
    harness.unreachable_replicas.add(make_replica_id("b"))
    assert find_move(harness, 7) == []
    harness.unreachable_replicas.clear()
    assert find_move(harness, 1) == []
    assert find_move(harness) != []


def test_groups_take_turns_to_move() -> None:
    """Guard against groups that all move to the same store at the same time."""
    harness = RepairHarness("a", "b", "c")
    harness.state.balance_slot = BalanceSlot(0, 4)
    harness.loads = {"a": (5, 3), "b": (5, 2), "c": (5, 1)}
    harness.observe(20)
    n_moves = sum(bool(find_move(harness, 1)) for _ in range(32))
    assert n_moves == 8


def test_new_leader_forgets_what_it_observed_as_an_earlier_one() -> None:
    """Guard against the deletion of stores whose announcements went to other leaders.

    Only the leader observes announcements, so those of an earlier time are outdated.
    """
    harness = RepairHarness("a", "b", "c")
    harness.announce_store("d", "1")
    harness.observe(20)
    replica = make_replica_id("d")
    harness.records["d"] = StoreRecord(
        HostName("d"), NodeId("d:1"), replica, StoreStanding.ACTIVE
    )
    handle(LeadershipObserved(False), harness.state, harness.now)
    harness.now += timedelta(minutes=1)
    handle(LeadershipObserved(True), harness.state, harness.now)
    harness.unreachable_replicas.add(replica)
    assert harness.find_change(8) is None
    commands = [e for e in harness.observe() if isinstance(e, ProposeCommand)]
    assert not [e for e in commands if isinstance(e.command, ForgetStore)]
