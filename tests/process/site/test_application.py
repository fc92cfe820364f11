"""Guard against a site's state machine that loses or reverts state."""

from datetime import UTC, datetime, timedelta

from oleanderhitch.process.ids import NodeId, ReplicaId
from oleanderhitch.process.repair.messages import RegisterStore
from oleanderhitch.process.site.application import (
    SiteApplication,
    make_site_application,
    make_site_codec,
)
from oleanderhitch.process.site.messages import (
    CommandRefused,
    GetRouting,
    PublishRouting,
    RoutingAccepted,
    RoutingFound,
)
from oleanderhitch.version.ids import HostName
from oleanderhitch.version.routes.ids import RoutingVersion
from tests.program.turns.test_core import NOW, begin, settle

CODEC = make_site_codec()


def make_application(changes: list[str] | None = None) -> SiteApplication:
    """Return an application whose callbacks record the changed part."""
    recorded = changes if changes is not None else []
    return make_site_application(
        lambda: recorded.append("routing"), lambda: recorded.append("registry")
    )


def publish(application: SiteApplication, version: int, content: bytes) -> object:
    """Publish a routing configuration and return the result."""
    command = PublishRouting(RoutingVersion(version), content)
    return CODEC.decode(application.apply(CODEC.encode(command)))


def test_highest_version_wins_whatever_the_order() -> None:
    """Guard against a late command that restores an older version."""
    changes: list[str] = []
    application = make_application(changes)
    assert publish(application, 7, b"seven") == RoutingAccepted(RoutingVersion(7))
    assert publish(application, 5, b"five") == RoutingAccepted(RoutingVersion(7))
    assert application.routing == RoutingFound(RoutingVersion(7), b"seven")
    assert changes == ["routing"]


def test_other_content_under_the_accepted_version_has_no_effect() -> None:
    """Guard against two contents under one version; the first one is kept."""
    application = make_application()
    publish(application, 7, b"first")
    publish(application, 7, b"second")
    routing = CODEC.decode(application.read(CODEC.encode(GetRouting())))
    assert routing == RoutingFound(RoutingVersion(7), b"first")


def test_snapshot_restores_everything() -> None:
    """Guard against a new replica without routing, stores, turns or budgets."""
    application = make_application()
    publish(application, 7, b"seven")
    store = RegisterStore(HostName("h"), NodeId("1.1.1.1:1"), ReplicaId("1.1.1.1:1/x"))
    for command in (store, settle("a", b"A" * 1_500_000), begin("b", "a")):
        application.replay(CODEC.encode(command))
    changes: list[str] = []
    restored = make_application(changes)
    restored.restore_snapshot(application.take_snapshot())
    assert restored.take_snapshot() == application.take_snapshot()
    assert restored.records == application.records
    assert changes == ["routing", "registry"]


def test_unreadable_command_is_refused_on_every_replica() -> None:
    """Guard against a malformed command that stops the group."""
    result = CODEC.decode(make_application().apply(b"\xc1"))
    assert isinstance(result, CommandRefused)


def test_expiry_is_proposed_only_when_due() -> None:
    """Guard against an idle leader that writes to its log."""
    application = make_application()
    application.replay(CODEC.encode(settle("a", b"A")))
    assert application.make_leader_commands(NOW + timedelta(seconds=1)) == []
    later = datetime(2026, 1, 2, tzinfo=UTC)
    assert len(application.make_leader_commands(later)) == 1
