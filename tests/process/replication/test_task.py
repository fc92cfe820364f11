"""Guard against faults between the core, the storage task and the transport."""

from datetime import timedelta

from oleanderhitch.process.groups.messages import (
    GroupAnswer,
    GroupCall,
    GroupRedirect,
    GroupUncertain,
    LocalCall,
)
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.replication.messages import (
    GetReplicationStatus,
    ReplaceReplica,
)
from oleanderhitch.process.replication.replica import Timing
from oleanderhitch.process.replication.states import ChangeOutcome
from tests.process.replication.hosts import (
    GROUP,
    Host,
    Network,
    ask,
    call,
    find_leader,
    wait_for,
)
from tests.process.storage.driver import SimulatedDisk

FAST = Timing(
    heartbeat_interval=timedelta(milliseconds=30),
    election_timeout_min=timedelta(milliseconds=150),
    election_timeout_max=timedelta(milliseconds=300),
    retransmit_timeout=timedelta(milliseconds=100),
)


def test_single_replica_keeps_acknowledged_commands_over_a_restart(tmp_path):
    """Guards against an acknowledged command that a restart loses."""
    network = Network()
    host = Host("a", tmp_path, network, ("a",), FAST)
    wait_for(lambda: find_leader([host]))
    for number in range(20):
        answer = call(host, b"c%d" % number)
        assert answer == GroupAnswer(1, b"%d" % (number + 1))
    host.stop(network)
    host = Host("a", tmp_path, network, ("a",), FAST)
    wait_for(lambda: find_leader([host]))
    answer = call(host, b"", is_read=True)
    assert answer.body == b",".join(b"c%d" % number for number in range(20))
    host.stop(network)


def test_three_replicas_survive_the_loss_of_their_leader(tmp_path):
    """Guards against a command that is lost with the leader that acknowledged it."""
    network = Network()
    names = ("a", "b", "c")
    hosts = [Host(n, tmp_path / n, network, names, FAST) for n in names]
    leader = wait_for(lambda: find_leader(hosts))
    assert isinstance(call(leader, b"one"), GroupAnswer)
    follower = next(host for host in hosts if host is not leader)
    assert call(follower, b"two") == GroupRedirect(1, leader.state.replica)
    leader.stop(network)
    others = [host for host in hosts if host is not leader]
    second = wait_for(lambda: find_leader(others))
    assert call(second, b"", is_read=True) == GroupAnswer(1, b"one")
    for host in others:
        host.stop(network)


def test_lost_host_is_replaced_on_request(tmp_path):
    """Guards against a repair that ends before the new host can carry the group."""
    network = Network()
    names = ("a", "b", "c")
    hosts = {n: Host(n, tmp_path / n, network, names, FAST) for n in names}
    leader = wait_for(lambda: find_leader(hosts.values()))
    for number in range(30):
        assert isinstance(call(leader, b"c%d" % number), GroupAnswer)
    lost = next(host for host in hosts.values() if host is not leader)
    lost.stop(network)
    del hosts[lost.name]
    # The host comes back with an empty disk, hence under another replica id.
    hosts["new"] = Host(lost.name, tmp_path / "new", network, names, FAST)
    replacement = hosts["new"].state.replica
    assert replacement != lost.state.replica
    request = ReplaceReplica(7, GROUP, lost.state.replica, replacement)
    answer = ask(leader, request)
    assert (answer.request, answer.outcome) == (7, ChangeOutcome.COMPLETED)
    status = ask(leader, GetReplicationStatus(8, GROUP))
    assert replacement in status.membership.voters
    assert lost.state.replica in status.membership.removed
    assert not status.is_change_pending
    leader.stop(network)
    others = [host for host in hosts.values() if host is not leader]
    second = wait_for(lambda: find_leader(others))
    assert len(call(second, b"", is_read=True).body.split(b",")) == 30
    for host in others:
        host.stop(network)


def test_full_disk_stops_the_leader_without_an_acknowledgement(tmp_path):
    """Guards against a command that is answered though its sync has failed."""
    network = Network()
    names = ("a", "b", "c")
    disks = {name: SimulatedDisk() for name in names}
    hosts = [Host(n, tmp_path / n, network, names, FAST, disk=disks[n]) for n in names]
    leader = wait_for(lambda: find_leader(hosts))
    disks[leader.name].is_full = True
    # The followers may sync the command before the leader's failure is known.
    network.cut = set(names) - {leader.name}
    assert isinstance(call(leader, b"one"), GroupUncertain)
    assert call(leader, b"two") == GroupRedirect(1, None)
    assert call(leader, b"", is_read=True) == GroupRedirect(1, None)
    status = ask(leader, GetReplicationStatus(1, GROUP))
    assert "No space left" in status.fault
    network.cut = set()
    others = [host for host in hosts if host is not leader]
    second = wait_for(lambda: find_leader(others))
    assert isinstance(call(second, b"three"), GroupAnswer)
    for host in hosts:
        host.stop(network)


def test_command_that_can_not_be_applied_stops_the_replica(tmp_path):
    """Guards against a state machine that skips a command and then differs."""
    network = Network()
    host = Host("a", tmp_path, network, ("a",), FAST)
    wait_for(lambda: find_leader([host]))

    def fail(command):
        raise ValueError("unknown command")

    host.journal.apply = fail
    assert isinstance(call(host, b"one"), GroupUncertain)
    assert isinstance(call(host, b"two"), GroupRedirect)
    host.stop(network)


def test_concurrent_calls_share_syncs(tmp_path):
    """Guards against one sync per command, which would cap the rate of a shard."""
    network = Network()
    host = Host("a", tmp_path, network, ("a",), FAST)
    wait_for(lambda: find_leader([host]))
    reply = make_mailbox("reply")
    for number in range(200):
        host.task.send(LocalCall(GroupCall(number, GROUP, b"x", False), reply))
    answers = [reply.receive().call for _ in range(200)]
    assert answers == list(range(200))
    assert host.storage.writer.n_frames < 50
    host.stop(network)
