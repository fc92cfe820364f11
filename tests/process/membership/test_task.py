"""Guard against leader and node tasks that lose a version or stop at one."""

from datetime import UTC, datetime, timedelta

import gevent
import pytest

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.configuration.application import (
    make_configuration_application,
)
from oleanderhitch.process.configuration.messages import MESSAGES as PUBLISH_MESSAGES
from oleanderhitch.process.configuration.messages import Publish
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.membership.messages import (
    MESSAGES,
    GetLocalNodeStatus,
    LeadershipGained,
)
from oleanderhitch.process.membership.node.core import make_node_state
from oleanderhitch.process.membership.node.messages import (
    ConfigurationCompiled,
    VersionInstalled,
    WorkPermitted,
)
from oleanderhitch.process.membership.node.task import make_node_task
from oleanderhitch.process.membership.task import make_membership_task
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.documents import make_draft
from oleanderhitch.version.states import HostRole
from tests.version.declarations import RULES, make_drafts, replace_value

STORE = HostPort("127.0.0.1", 7201)
CODEC = make_codec(MESSAGES)
PUBLISH_CODEC = make_codec(PUBLISH_MESSAGES)
TIMEOUT = timedelta(seconds=2)


class TaskPair:
    """A membership task and a node task that exchange encoded messages."""

    def __init__(self):
        clock = make_system_clock()
        self.subscriber = make_mailbox("subscriber")
        self.leader = make_membership_task(
            clock, self.send_to_node, lambda configuration: None
        )
        state = make_node_state(
            "n1", "i1", HostRole.ENTRY, "east", HostPort("127.0.0.1", 7101), [STORE]
        )
        self.node = make_node_task(state, clock, self.send_to_store, self.subscriber)
        self.application = make_configuration_application(self.leader)
        now = clock.now()
        self.leader.send(LeadershipGained(1, now + timedelta(minutes=1)))
        self.leader.start()
        self.node.start()

    def send_to_node(self, node, message):
        """Encode a message and send it to the node."""
        self.node.send(CODEC.decode(CODEC.encode(message)))

    def send_to_store(self, store, message):
        """Encode a message and send it to the leader."""
        self.leader.send(CODEC.decode(CODEC.encode(message)))

    def publish(self, base, drafts):
        """Apply a publish command as the group task does after a commit."""
        at = datetime(2026, 1, 1, tzinfo=UTC)
        publish = Publish(f"p{base}", "office", base, drafts, (), at)
        self.application.apply(PUBLISH_CODEC.encode(publish))

    def receive(self, kind):
        """Return the subscriber's next message of a type."""
        with gevent.Timeout(TIMEOUT.total_seconds()):
            while True:
                message = self.subscriber.receive()
                if isinstance(message, kind):
                    return message

    def get_status(self):
        """Return the leader's status."""
        reply_mailbox = make_mailbox("reply")
        self.leader.send(GetLocalNodeStatus(reply_mailbox))
        return reply_mailbox.receive(TIMEOUT)


@pytest.fixture
def pair():
    """Return running tasks that are stopped after the test."""
    pair = TaskPair()
    yield pair
    for task in (pair.leader, pair.node):
        task.stop()
        task.join(TIMEOUT)


def test_a_version_reaches_the_node_and_is_confirmed(pair):
    """Guard against a version that is not pushed immediately or never confirmed."""
    pair.publish(0, make_drafts())
    compiled = pair.receive(ConfigurationCompiled)
    assert compiled.configuration.get_account_rules("office").budget_tokens == 1000
    assert pair.get_status().nodes[0].installed_version == 0
    compiled.reply_address.send(VersionInstalled(1))
    assert isinstance(pair.receive(WorkPermitted), WorkPermitted)
    assert pair.get_status().nodes[0].installed_version == 1
    rules = replace_value(RULES, ("defaults", "budget_tokens"), 7)
    pair.publish(1, make_drafts(None, rules))
    compiled = pair.receive(ConfigurationCompiled)
    assert compiled.configuration.version == 2
    assert compiled.configuration.get_account_rules("office").budget_tokens == 7
    assert compiled.configuration.get_endpoint("pilot-1").n_slots == 8


def test_a_version_that_does_not_compile_stops_nothing(pair):
    """Guard against an invalid version that stops the leader's or a node's task."""
    pair.publish(0, make_drafts())
    compiled = pair.receive(ConfigurationCompiled)
    compiled.reply_address.send(VersionInstalled(1))
    pair.publish(1, (make_draft("rules", {"unknown": 1}),))
    pair.publish(2, make_drafts())
    assert pair.receive(ConfigurationCompiled).configuration.version == 3
    assert pair.get_status().accepted_version == 3
