"""Test until when a store claims to lead the configuration group."""

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
ELECTION = timedelta(milliseconds=800)
ADDRESS = parse_host_port("127.0.0.1:7001")


def make_leader():
    """Return a state that has just begun to lead and its first read."""
    state = make_leadership_state(ELECTION, {"s1": ADDRESS})
    change = LeadershipChanged(Role.LEADER, 3, "s2/1")
    (read,) = handle(change, state, START)
    assert isinstance(read, SendRead)
    return state, read


def test_claims_from_when_the_read_was_sent():
    """Guard against a lease that begins only when a late answer arrives."""
    state, read = make_leader()
    late = START + timedelta(milliseconds=700)
    (tell,) = handle(GroupAnswer(read.call, b""), state, late)
    until = START + ELECTION - CLOCK_DRIFT_MARGIN
    assert tell == NotifySubscribers(LeadershipGained(3, until))
    (second,) = handle(Tick(), state, late)
    (tell,) = handle(GroupAnswer(second.call, b""), state, late)
    until = late + ELECTION - CLOCK_DRIFT_MARGIN
    assert tell == NotifySubscribers(LeadershipConfirmed(3, until))


def test_an_answer_of_an_earlier_term_confirms_nothing():
    """Guard against a read of an earlier leadership that extends a later one."""
    state, read = make_leader()
    handle(LeadershipChanged(Role.FOLLOWER, 4, "s1/1"), state, START)
    handle(LeadershipChanged(Role.LEADER, 5, "s2/1"), state, START)
    assert handle(GroupAnswer(read.call, b""), state, START) == []


def test_a_store_without_leadership_says_who_leads():
    """Guard against nodes that are sent to a store that does not lead."""
    state, _ = make_leader()
    change = LeadershipChanged(Role.FOLLOWER, 4, "s1/1")
    (tell,) = handle(change, state, START)
    assert tell == NotifySubscribers(LeadershipLost(ADDRESS))
    assert handle(Tick(), state, START) == []
