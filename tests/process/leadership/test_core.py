"""Guard against a store that counts as the leader for too long."""

from datetime import UTC, datetime, timedelta

from oleanderhitch.process.groups.messages import GroupAnswer
from oleanderhitch.process.leadership.core import (
    CLOCK_DRIFT_MARGIN,
    NotifySubscribers,
    SendRead,
    handle,
    make_leadership_state,
)
from oleanderhitch.process.membership.messages import (
    LeadershipConfirmed,
    LeadershipGained,
    LeadershipLost,
)
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.replication.effects import LeadershipChanged
from oleanderhitch.process.replication.states import Role
from oleanderhitch.version.addresses import parse_host_port

START = datetime(2026, 1, 1, tzinfo=UTC)
ELECTION_TIMEOUT = timedelta(milliseconds=800)
ADDRESS = parse_host_port("127.0.0.1:7001")


def make_leader():
    """Return the state of a store that has just become leader, and its first read."""
    state = make_leadership_state(ELECTION_TIMEOUT, {"s1": ADDRESS})
    change = LeadershipChanged(Role.LEADER, 3, "s2/1")
    (read,) = handle(change, state, START)
    assert isinstance(read, SendRead)
    return state, read


def test_lease_begins_when_the_read_was_sent():
    """Guard against a lease that begins only when a late reply arrives."""
    state, read = make_leader()
    late = START + timedelta(milliseconds=700)
    (notification,) = handle(GroupAnswer(read.call, b""), state, late)
    until = START + ELECTION_TIMEOUT - CLOCK_DRIFT_MARGIN
    assert notification == NotifySubscribers(LeadershipGained(3, until))
    (second,) = handle(Tick(), state, late)
    (notification,) = handle(GroupAnswer(second.call, b""), state, late)
    until = late + ELECTION_TIMEOUT - CLOCK_DRIFT_MARGIN
    assert notification == NotifySubscribers(LeadershipConfirmed(3, until))


def test_reply_of_an_earlier_term_confirms_nothing():
    """Guard against a read of an earlier term that extends a later leadership."""
    state, read = make_leader()
    handle(LeadershipChanged(Role.FOLLOWER, 4, "s1/1"), state, START)
    handle(LeadershipChanged(Role.LEADER, 5, "s2/1"), state, START)
    assert handle(GroupAnswer(read.call, b""), state, START) == []


def test_store_that_does_not_lead_names_the_leader():
    """Guard against redirecting nodes to a store that does not lead."""
    state, _ = make_leader()
    change = LeadershipChanged(Role.FOLLOWER, 4, "s1/1")
    (notification,) = handle(change, state, START)
    assert notification == NotifySubscribers(LeadershipLost(ADDRESS))
    assert handle(Tick(), state, START) == []
