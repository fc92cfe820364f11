"""Guard against a replica task that loses commands or fails without a report."""

from datetime import UTC, datetime, timedelta
from random import Random

import gevent
from gevent import monkey

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.process.groups.messages import (
    GroupAnswer,
    GroupCall,
    GroupRedirect,
    GroupUncertain,
    LocalCall,
    ReplicaEnvelope,
)
from oleanderhitch.process.ids import NodeId, ReplicaId
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.replication.bootstrap import BootstrapState, FoundingHello
from oleanderhitch.process.replication.core import make_replica
from oleanderhitch.process.replication.effect_handlers import (
    GroupState,
    make_any_replica_receiver,
)
from oleanderhitch.process.replication.messages import (
    MESSAGES,
    AppendEntries,
    GetReplicationStatus,
    LogEntry,
    ReplaceReplica,
    VoteRequest,
)
from oleanderhitch.process.replication.replica import (
    ReplicationLimits,
    ReplicationTiming,
)
from oleanderhitch.process.replication.states import ChangeOutcome, EntryKind
from oleanderhitch.process.replication.task import find_next_tick, handle
from tests.process.replication.hosts import (
    GROUP,
    Host,
    Network,
    call,
    find_leader,
    send_operator_request,
    wait_for,
)
from tests.process.storage.driver import SimulatedDisk

# Shorter than the defaults, but longer than the scheduling pauses of a busy machine.
sleep_in_thread = monkey.get_original("time", "sleep")

FAST_TIMING = ReplicationTiming(
    heartbeat_interval=timedelta(milliseconds=50),
    election_timeout_min=timedelta(milliseconds=400),
    election_timeout_max=timedelta(milliseconds=700),
    retransmit_timeout=timedelta(milliseconds=200),
)


def call_leader(hosts, body, is_read=False):
    """Call the leader; retry, as the leader may change on a busy machine."""
    for _ in range(10):
        reply = call(wait_for(lambda: find_leader(hosts)), body, is_read)
        if isinstance(reply, GroupAnswer):
            return reply
    raise AssertionError(f"no leader replies: {reply}")


def replace_replica(hosts, request):
    """Request a replacement until it is done, and return the status after it."""
    for _ in range(10):
        leader = wait_for(lambda: find_leader(hosts))
        reply = send_operator_request(leader, request)
        assert reply.request == request.request
        status = send_operator_request(leader, GetReplicationStatus(8, GROUP))
        is_done = request.replacement in status.membership.voters
        if reply.outcome is ChangeOutcome.COMPLETED:
            assert is_done
        if is_done and not status.is_change_pending:
            return status
        gevent.sleep(0.3)
    raise AssertionError(f"the repair does not end: {reply}")


def test_single_replica_keeps_acknowledged_commands_over_a_restart(tmp_path):
    """Guard against an acknowledged command that a restart loses."""
    network = Network()
    host = Host("a", tmp_path, network, ("a",), FAST_TIMING)
    wait_for(lambda: find_leader([host]))
    for number in range(20):
        reply = call(host, b"c%d" % number)
        assert reply == GroupAnswer(1, b"%d" % (number + 1))
    host.stop(network)
    host = Host("a", tmp_path, network, ("a",), FAST_TIMING)
    wait_for(lambda: find_leader([host]))
    reply = call(host, b"", is_read=True)
    assert reply.body == b",".join(b"c%d" % number for number in range(20))
    # Replayed commands return no results: computing them would delay callers.
    assert host.application.n_results == 0
    host.stop(network)


def test_three_replicas_survive_the_loss_of_their_leader(tmp_path):
    """Guard against losing a command together with the leader that acknowledged it."""
    network = Network()
    names = ("a", "b", "c")
    hosts = [Host(n, tmp_path / n, network, names, FAST_TIMING) for n in names]
    leader = wait_for(lambda: find_leader(hosts))
    assert isinstance(call(leader, b"one"), GroupAnswer)
    follower = next(host for host in hosts if host is not leader)
    # Two of three elect a leader; the third may follow it a little later.
    redirect = GroupRedirect(1, leader.state.replica)
    wait_for(lambda: call(follower, b"two") == redirect)
    leader.stop(network)
    remaining_hosts = [host for host in hosts if host is not leader]
    second = wait_for(lambda: find_leader(remaining_hosts))
    assert call(second, b"", is_read=True) == GroupAnswer(1, b"one")
    for host in remaining_hosts:
        host.stop(network)


def test_lost_host_is_replaced_on_request(tmp_path):
    """Guard against a repair that completes before the new replica has all data."""
    network = Network()
    names = ("a", "b", "c")
    hosts = {n: Host(n, tmp_path / n, network, names, FAST_TIMING) for n in names}
    for number in range(30):
        call_leader(hosts.values(), b"c%d" % number)
    leader = wait_for(lambda: find_leader(hosts.values()))
    lost = next(host for host in hosts.values() if host is not leader)
    lost.stop(network)
    del hosts[lost.name]
    # The host restarts with an empty disk and therefore with a new replica id.
    hosts["new"] = Host(lost.name, tmp_path / "new", network, names, FAST_TIMING)
    replacement = hosts["new"].state.replica
    assert replacement != lost.state.replica
    request = ReplaceReplica(7, GROUP, lost.state.replica, replacement)
    status = replace_replica(hosts.values(), request)
    assert replacement in status.membership.voters
    assert lost.state.replica in status.membership.removed
    codec = make_codec(MESSAGES)
    assert codec.decode(codec.encode(status)) == status
    assert not status.is_change_pending
    leader = wait_for(lambda: find_leader(hosts.values()))
    leader.stop(network)
    others = [host for host in hosts.values() if host is not leader]
    commands = call_leader(others, b"", is_read=True).body.split(b",")
    assert set(commands) == {b"c%d" % number for number in range(30)}
    for host in others:
        host.stop(network)


def test_full_disk_stops_the_leader_without_an_acknowledgement(tmp_path):
    """Guard against acknowledging a command whose sync has failed."""
    network = Network()
    names = ("a", "b", "c")
    disks = {name: SimulatedDisk() for name in names}
    hosts = [
        Host(n, tmp_path / n, network, names, FAST_TIMING, disk=disks[n]) for n in names
    ]
    leader = wait_for(lambda: find_leader(hosts))
    disks[leader.name].is_full = True
    # The followers are isolated, as they could otherwise sync the command before the
    # leader's failure is known.
    network.isolated = set(names) - {leader.name}
    assert isinstance(call(leader, b"one"), GroupUncertain)
    assert call(leader, b"two") == GroupRedirect(1, None)
    assert call(leader, b"", is_read=True) == GroupRedirect(1, None)
    status = send_operator_request(leader, GetReplicationStatus(1, GROUP))
    assert "No space left" in status.fault
    network.isolated = set()
    others = [host for host in hosts if host is not leader]
    second = wait_for(lambda: find_leader(others))
    assert isinstance(call(second, b"three"), GroupAnswer)
    for host in hosts:
        host.stop(network)


def test_command_that_can_not_be_applied_stops_the_replica(tmp_path):
    """Guard against a state machine that skips a command and diverges."""
    network = Network()
    host = Host("a", tmp_path, network, ("a",), FAST_TIMING)
    wait_for(lambda: find_leader([host]))

    def fail(command):
        raise ValueError("unknown command")

    host.application.apply = fail
    assert isinstance(call(host, b"one"), GroupUncertain)
    assert isinstance(call(host, b"two"), GroupRedirect)
    assert (
        "can't be applied"
        in send_operator_request(host, GetReplicationStatus(1, GROUP)).fault
    )
    host.stop(network)


def test_concurrent_calls_share_syncs(tmp_path):
    """Guard against one sync per command, which would limit a shard's throughput."""
    network = Network()
    host = Host("a", tmp_path, network, ("a",), FAST_TIMING)
    wait_for(lambda: find_leader([host]))
    reply_mailbox = make_mailbox("reply")
    for number in range(200):
        host.task.send(LocalCall(GroupCall(number, GROUP, b"x", False), reply_mailbox))
    call_numbers = [reply_mailbox.receive().call for _ in range(200)]
    assert call_numbers == list(range(200))
    assert host.storage.writer.last_frame_number < 50
    host.stop(network)


def test_replica_stores_no_entries_before_it_has_the_initial_voters(tmp_path):
    """Guard against a snapshot of an initial voter that lacks the voters."""
    network = Network()
    host = Host("c", tmp_path, network, ("a", "b", "c"), FAST_TIMING)
    codec = host.task._state.codec

    def deliver(message, receiver):
        body = codec.encode(message)
        host.task.send(ReplicaEnvelope(GROUP, "a/1", receiver, body))
        gevent.sleep(0.05)

    entry = LogEntry(1, 1, EntryKind.EMPTY)
    append = AppendEntries(1, 0, 0, 0, (entry,))
    deliver(append, host.state.replica)
    assert host.state.log.last_index == 0
    hello = FoundingHello("a", "a/1", ("a/1", "b/1", "c/1"), True, True)
    deliver(hello, make_any_replica_receiver("c"))
    deliver(append, host.state.replica)
    assert host.state.log.last_index == 1
    # Addressed to the replica on a disk that this node has lost.
    deliver(VoteRequest(5, 9, 9, False), "c/1")
    assert host.state.term == 1
    host.stop(network)


def test_log_is_compacted_by_bytes(tmp_path):
    """Guard against a few large commands that exhaust memory before a snapshot."""
    network = Network()
    limits = ReplicationLimits(log_bytes_per_snapshot=20_000, trailing_bytes=3_000)
    host = Host("a", tmp_path, network, ("a",), FAST_TIMING, limits)
    wait_for(lambda: find_leader([host]))
    for _ in range(100):
        call(host, b"x" * 1000)
    wait_for(lambda: host.state.snapshot_request is None)
    # Each snapshot is larger here, as the application keeps all commands.
    assert host.state.log.n_bytes < 20_000 + 3_000 + len(host.state.snapshot.data)
    assert host.state.log.base_index > 0
    host.stop(network)
    host = Host("a", tmp_path, network, ("a",), FAST_TIMING, limits)
    wait_for(lambda: find_leader([host]))
    assert len(host.application.commands) == 100
    host.stop(network)


class StallingDisk(SimulatedDisk):
    """Disk whose syncs last until the stall ends."""

    def __init__(self):
        super().__init__()
        self.is_stalled = False

    def sync(self, descriptor):
        """Wait for the end of the stall; runs in a thread."""
        while self.is_stalled:
            sleep_in_thread(0.01)


# Guards against stores that pass their memory limit since a group that is slow to
# commit gets each command again and again, and appends it each time.
def test_call_that_is_sent_again_is_appended_once(tmp_path):
    """Append one entry, and answer the call once, however often it arrives."""
    network = Network()
    disk = StallingDisk()
    host = Host("a", tmp_path, network, ("a",), FAST_TIMING, disk=disk)
    wait_for(lambda: find_leader([host]))
    last_index = host.state.log.last_index
    disk.is_stalled = True
    replies, others = make_mailbox("reply"), make_mailbox("others")
    for _ in range(5):
        host.task.send(LocalCall(GroupCall(7, GROUP, b"one", False), replies))
    host.task.send(LocalCall(GroupCall(7, GROUP, b"two", False), others))
    wait_for(lambda: host.state.log.last_index == last_index + 2)
    disk.is_stalled = False
    assert isinstance(others.receive(timedelta(seconds=5)), GroupAnswer)
    assert isinstance(replies.receive(timedelta(seconds=5)), GroupAnswer)
    assert host.application.commands == [b"one", b"two"]
    # An answered call may come once more, as before.
    assert isinstance(call(host, b"three"), GroupAnswer)
    assert replies.n_waiting == 0
    host.stop(network)


# Guards against leaders that pass their memory limit by the copies of long commands.
def test_command_is_encoded_once_for_all_followers(tmp_path, monkeypatch):
    """Share the encoded entries between the followers that lack the same ones."""
    network = Network()
    names = ("a", "b", "c")
    hosts = [Host(n, tmp_path / n, network, names, FAST_TIMING) for n in names]
    leader = wait_for(lambda: find_leader(hosts))
    assert isinstance(call_leader(hosts, b"first"), GroupAnswer)
    wait_for(lambda: all(h.state.commit_index >= 2 for h in hosts))
    codec = leader.task._state.codec
    encode, encoded = codec.encode, []

    def record(message):
        encoded.append(message)
        return encode(message)

    monkeypatch.setattr(codec, "encode", record)
    assert isinstance(call(leader, b"x" * 100_000), GroupAnswer)
    appends = [m for m in encoded if isinstance(m, AppendEntries) and m.entries]
    assert len(appends) == 1
    for host in hosts:
        host.stop(network)


def test_failed_read_affects_only_its_caller(tmp_path):
    """Guard against a malformed read that terminates the task of the group."""
    network = Network()
    host = Host("a", tmp_path, network, ("a",), FAST_TIMING)
    wait_for(lambda: find_leader([host]))

    def fail(query):
        raise ValueError("unknown query")

    host.application.read = fail
    assert isinstance(call(host, b"", is_read=True), GroupUncertain)
    assert isinstance(call(host, b"one"), GroupAnswer)
    host.stop(network)


def test_snapshot_that_can_not_be_taken_stops_the_replica(tmp_path):
    """Guard against a group task that terminates without reporting a fault."""
    network = Network()
    host = Host(
        "a",
        tmp_path,
        network,
        ("a",),
        FAST_TIMING,
        ReplicationLimits(n_entries_per_snapshot=5),
    )
    wait_for(lambda: find_leader([host]))

    def fail():
        raise ValueError("state is too large")

    host.application.take_snapshot = fail
    replies = [call(host, b"x") for _ in range(8)]
    assert isinstance(replies[-1], GroupRedirect)
    assert (
        "no snapshot"
        in send_operator_request(host, GetReplicationStatus(1, GROUP)).fault
    )
    host.stop(network)


def test_replica_that_waits_to_be_added_rarely_wakes_up():
    """Guard against stores that spend their processor time on ticks of spare replicas.

    A store has a replica of each group and is a voter of few.
    """
    now = datetime(2026, 1, 1, tzinfo=UTC)
    replica = make_replica(GROUP, ReplicaId("s1"), (), (), Random(1), FAST_TIMING)
    bootstrap = BootstrapState(NodeId("s1"), ReplicaId("s1"), (), is_excluded=True)
    state = GroupState(replica, bootstrap, make_codec(MESSAGES))
    n_ticks = 0
    end = now + timedelta(seconds=10)
    while now < end:
        handle(Tick(), state, now)
        n_ticks += 1
        now = find_next_tick(state) or now + FAST_TIMING.heartbeat_interval / 3
    # Two for each election timeout; 600 at the interval of other ticks.
    assert n_ticks <= 2 * 10 / 0.4
