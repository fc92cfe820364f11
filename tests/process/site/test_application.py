"""Guard against a site's state machine that loses or reverts state."""

from datetime import UTC, datetime, timedelta
from pathlib import Path

import gevent
import pytest
from gevent import monkey

from oleanderhitch.exceptions import OleanderhitchError
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
from oleanderhitch.process.site.snapshot import SiteSnapshot
from oleanderhitch.process.storage.disk import make_system_disk
from oleanderhitch.process.storage.files import store_snapshot_data
from oleanderhitch.program.exceptions import HistoryCorruptError
from oleanderhitch.program.turns import content_files
from oleanderhitch.program.turns.content_files import FILE_PATTERN
from oleanderhitch.program.turns.messages import (
    ExpireTurns,
    HistoryRead,
    ReadHistory,
    TurnBegun,
)
from oleanderhitch.request.ids import RequestId
from oleanderhitch.version.ids import HostName
from oleanderhitch.version.routes.ids import RoutingVersion
from tests.process.site.harness import wait_until
from tests.program.turns.test_core import NOW, begin, settle

CODEC = make_site_codec()
PIECE_BYTES = 64 * 1024


def make_application(
    directory: Path, changes: list[str] | None = None
) -> SiteApplication:
    """Return an application whose callbacks record the changed part."""
    recorded = changes if changes is not None else []
    return make_site_application(
        directory,
        lambda: recorded.append("routing"),
        lambda: recorded.append("registry"),
    )


def publish(application: SiteApplication, version: int, content: bytes) -> object:
    """Publish a routing configuration and return the result."""
    command = PublishRouting(RoutingVersion(version), content)
    return CODEC.decode(application.apply(CODEC.encode(command)))


def test_highest_version_wins_whatever_the_order(tmp_path: Path) -> None:
    """Guard against a late command that restores an older version."""
    changes: list[str] = []
    application = make_application(tmp_path, changes)
    assert publish(application, 7, b"seven") == RoutingAccepted(RoutingVersion(7))
    assert publish(application, 5, b"five") == RoutingAccepted(RoutingVersion(7))
    assert application.routing == RoutingFound(RoutingVersion(7), b"seven")
    assert changes == ["routing"]


def test_other_content_under_the_accepted_version_has_no_effect(tmp_path: Path) -> None:
    """Guard against two contents under one version; the first one is kept."""
    application = make_application(tmp_path)
    publish(application, 7, b"first")
    publish(application, 7, b"second")
    routing = CODEC.decode(application.read(CODEC.encode(GetRouting())))
    assert routing == RoutingFound(RoutingVersion(7), b"first")


def store(application: SiteApplication) -> tuple[SiteSnapshot, bytes]:
    """Take and store a snapshot as a replica does; return it and its stored form."""
    snapshot = application.take_snapshot()
    stored = store_snapshot_data(snapshot, make_system_disk())
    application.confirm_snapshot(snapshot)
    application.join_removal()
    return snapshot, stored


def transfer(snapshot: SiteSnapshot, application: SiteApplication) -> SiteSnapshot:
    """Restore a snapshot as another replica gets it, and return its own one."""
    sink = application.make_snapshot_sink()
    disk = make_system_disk()
    for start in range(0, len(snapshot), PIECE_BYTES):
        sink.append(snapshot[start : start + PIECE_BYTES], disk)
    return application.restore_snapshot(sink.finish(disk))


def make_history(application: SiteApplication, previous: str) -> bytes:
    """Return the history of a new turn that continues another one."""
    command = begin(f"after-{previous}", previous, budget=10_000_000)
    result = CODEC.decode(application.apply(CODEC.encode(command)))
    assert isinstance(result, TurnBegun)
    history = result.history
    while len(history) < len(result.history) + result.n_bytes_left:
        query = ReadHistory(RequestId(previous), len(history))
        read = CODEC.decode(application.read(CODEC.encode(query)))
        assert isinstance(read, HistoryRead)
        assert read.data
        history += read.data
    return history


def test_result_that_exceeds_a_frame_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a store that ends since a result can't be encoded."""
    application = make_application(tmp_path)
    publish(application, 7, b"a" * 2000)
    monkeypatch.setattr("oleanderhitch.connection.codec.FRAME_LIMIT_BYTES", 1000)
    result = CODEC.decode(application.read(CODEC.encode(GetRouting())))
    assert isinstance(result, CommandRefused)


@pytest.mark.parametrize("error", [KeyError("a"), OverflowError(), ValueError()])
def test_unexpected_error_refuses_a_command(
    error: Exception, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a committed command that ends all stores at each start."""
    application = make_application(tmp_path)
    command = CODEC.encode(settle("a", b"A"))

    def fail(*_: object) -> None:
        raise error

    monkeypatch.setattr("oleanderhitch.process.site.application.apply", fail)
    assert isinstance(CODEC.decode(application.apply(command)), CommandRefused)
    application.replay(command)


def test_damaged_file_still_stops_a_replica(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a replica that goes on although its own disk has failed."""
    application = make_application(tmp_path)

    def fail(*_: object) -> None:
        raise OSError("input/output error")

    monkeypatch.setattr("oleanderhitch.process.site.application.apply", fail)
    with pytest.raises(OSError, match="input/output"):
        application.apply(CODEC.encode(settle("a", b"A")))


def list_files(directory: Path) -> list[str]:
    """Return the names of the content files."""
    return sorted(path.name for path in directory.glob(FILE_PATTERN))


def test_snapshot_restores_everything(tmp_path: Path) -> None:
    """Guard against a new replica without routing, stores, turns or budgets."""
    application = make_application(tmp_path / "a")
    publish(application, 7, b"seven")
    record = RegisterStore(HostName("h"), NodeId("1.1.1.1:1"), ReplicaId("1.1.1.1:1/x"))
    turns = (settle("a", b"A" * 1_500_000), settle("b", b"B", "a"), begin("c", "b"))
    for command in (record, *turns):
        application.replay(CODEC.encode(command))
    snapshot, _ = store(application)
    changes: list[str] = []
    restored = make_application(tmp_path / "b", changes)
    own_snapshot = transfer(snapshot, restored)
    assert own_snapshot.index == snapshot.index
    assert restored.records == application.records
    assert changes == ["routing", "registry"]
    assert make_history(restored, "b") == b"A" * 1_500_000 + b"B"


def test_parts_of_a_snapshot_make_up_the_whole(tmp_path: Path) -> None:
    """Guard against a replica that gets shifted or missing contents of turns."""
    application = make_application(tmp_path)
    for number in range(20):
        content = bytes([number]) * (number % 7 * 100)
        application.replay(CODEC.encode(settle(f"t{number}", content)))
    snapshot, _ = store(application)
    whole = snapshot[:]
    assert len(whole) == len(snapshot)
    for n_bytes in (1, 33, 100, 1000):
        parts = [
            snapshot[start : start + n_bytes]
            for start in range(0, len(snapshot), n_bytes)
        ]
        assert b"".join(parts) == whole


def test_stored_snapshot_is_loaded_with_its_files(tmp_path: Path) -> None:
    """Guard against a restart that loses turns of earlier snapshots."""
    application = make_application(tmp_path)
    application.replay(CODEC.encode(settle("a", b"A" * 1000)))
    store(application)
    application.replay(CODEC.encode(settle("b", b"B" * 1000, "a")))
    snapshot, stored = store(application)
    assert len(stored) < 1000
    loaded = make_application(tmp_path)
    assert loaded.load_snapshot(stored)[:] == snapshot[:]
    assert make_history(loaded, "b") == b"A" * 1000 + b"B" * 1000


def test_files_go_once_no_snapshot_refers_to_them(tmp_path: Path) -> None:
    """Guard against a disk that fills up, and against a transfer that loses a file."""
    application = make_application(tmp_path)
    application.replay(CODEC.encode(settle("a", b"A" * 1000)))
    first, _ = store(application)
    whole = first[:]
    expiry = ExpireTurns(NOW + timedelta(days=1))
    application.replay(CODEC.encode(expiry))
    later = expiry.at
    application.replay(CODEC.encode(settle("b", b"B", at=later)))
    second, _ = store(application)
    assert list_files(tmp_path) == ["contents-000000000002.bin"]
    assert first[:] == whole
    assert second.file_numbers == {2}


def test_arriving_snapshot_outlives_one_of_its_own(tmp_path: Path) -> None:
    """Guard against a transfer whose file is deleted while it is written."""
    source = make_application(tmp_path / "a")
    source.replay(CODEC.encode(settle("a", b"A" * 1000)))
    snapshot, _ = store(source)
    application = make_application(tmp_path / "b")
    sink = application.make_snapshot_sink()
    disk = make_system_disk()
    sink.append(snapshot[:100], disk)
    application.replay(CODEC.encode(settle("b", b"B" * 1000)))
    store(application)
    sink.append(snapshot[100:], disk)
    own_snapshot = application.restore_snapshot(sink.finish(disk))
    store_snapshot_data(own_snapshot, disk)
    application.confirm_snapshot(own_snapshot)
    application.join_removal()
    assert list_files(tmp_path / "b") == ["contents-000000000001.bin"]
    assert make_history(application, "a") == b"A" * 1000


def test_files_of_abandoned_transfers_go_at_the_next_start(tmp_path: Path) -> None:
    """Guard against a disk that fills up while a store ends again and again."""
    application = make_application(tmp_path)
    application.replay(CODEC.encode(settle("a", b"A" * 1000)))
    _, stored = store(application)
    application.make_snapshot_sink().append(b"B" * 1000, make_system_disk())
    assert len(list_files(tmp_path)) == 2
    restarted = make_application(tmp_path)
    restarted.load_snapshot(stored)
    restarted.remove_unused_files()
    restarted.join_removal()
    assert list_files(tmp_path) == ["contents-000000000001.bin"]
    assert make_history(restarted, "a") == b"A" * 1000


def test_damaged_content_of_a_transfer_is_not_restored(tmp_path: Path) -> None:
    """Guard against a replica that takes over what was damaged on its way."""
    source = make_application(tmp_path / "a")
    source.replay(CODEC.encode(settle("a", b"A" * 1000)))
    snapshot, _ = store(source)
    data = snapshot[:]
    disk = make_system_disk()
    for damaged in (data[:-1], data[:-1] + b"X", data[:10], b""):
        sink = make_application(tmp_path / "b").make_snapshot_sink()
        sink.append(damaged, disk)
        received = sink.finish(disk)
        with pytest.raises(OleanderhitchError):
            make_application(tmp_path / "c").restore_snapshot(received)


def test_files_are_deleted_in_a_thread(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a store that stands still while a disk is slow."""
    get_ident = monkey.get_original("_thread", "get_ident")
    threads = []
    unlink = Path.unlink

    def record_thread(path: Path, missing_ok: bool = False) -> None:
        threads.append(get_ident())
        unlink(path, missing_ok)

    monkeypatch.setattr(Path, "unlink", record_thread)
    test_files_go_once_no_snapshot_refers_to_them(tmp_path)
    assert threads
    assert get_ident() not in threads


def test_directory_is_read_in_a_thread(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a store whose other groups stand still while a disk is slow."""
    get_ident = monkey.get_original("_thread", "get_ident")
    threads = []

    def record_thread(path: Path, pattern: str) -> list[Path]:
        threads.append(get_ident())
        return []

    monkeypatch.setattr(Path, "glob", record_thread)
    make_application(tmp_path)
    assert threads
    assert get_ident() not in threads


def test_dropped_files_are_closed_in_a_thread(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a pause of the store while the blocks of deleted files are freed.

    Each file must be closed, since every snapshot with new contents opens one.
    """
    get_ident = monkey.get_original("_thread", "get_ident")
    closed = {}
    close = content_files.close_descriptor

    def record_thread(descriptor: int) -> None:
        close(descriptor)
        closed[descriptor] = get_ident()

    monkeypatch.setattr(content_files, "close_descriptor", record_thread)
    files = [content_files.ContentFile(tmp_path / name, 1) for name in ("a", "b")]
    pool = gevent.get_hub().threadpool
    for file in files:
        pool.apply(file.write, ([b"content"], make_system_disk()))
    descriptors = {file.descriptor for file in files}
    files.clear()
    del file
    wait_until(lambda: descriptors <= closed.keys(), "closed files")
    assert get_ident() not in closed.values()


def test_damaged_content_is_not_used(tmp_path: Path) -> None:
    """Guard against a history with bytes that no caller or endpoint has sent."""
    application = make_application(tmp_path)
    application.replay(CODEC.encode(settle("a", b"A" * 1000)))
    _, stored = store(application)
    (path,) = tmp_path.glob(FILE_PATTERN)
    path.write_bytes(b"X" + path.read_bytes()[1:])
    loaded = make_application(tmp_path)
    loaded.load_snapshot(stored)
    with pytest.raises(HistoryCorruptError):
        make_history(loaded, "a")


def test_unreadable_command_is_refused_on_every_replica(tmp_path: Path) -> None:
    """Guard against a malformed command that stops the group."""
    result = CODEC.decode(make_application(tmp_path).apply(b"\xc1"))
    assert isinstance(result, CommandRefused)


def test_expiry_is_proposed_only_when_due(tmp_path: Path) -> None:
    """Guard against an idle leader that writes to its log."""
    application = make_application(tmp_path)
    application.replay(CODEC.encode(settle("a", b"A")))
    assert application.make_leader_commands(NOW + timedelta(seconds=1)) == []
    later = datetime(2026, 1, 2, tzinfo=UTC)
    assert len(application.make_leader_commands(later)) == 1
