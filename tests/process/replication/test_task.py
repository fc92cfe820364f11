"""Guard against faults between the core, the storage task and the transport."""

from datetime import timedelta

from oleanderhitch.process.groups.messages import GroupAnswer, GroupRedirect
from oleanderhitch.process.replication.replica import Timing
from tests.process.replication.hosts import Host, Network, call, find_leader, wait_for

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
