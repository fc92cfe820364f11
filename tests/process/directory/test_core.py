"""Guard against stale lists of endpoints and against too many readings."""

from datetime import UTC, datetime, timedelta

from oleanderhitch.process.directory.core import (
    DirectoryState,
    ListReadFailed,
    ListReadSucceeded,
    LogReadStatus,
    NotifySubscriber,
    ReaderAppointed,
    ReadList,
    handle,
)
from oleanderhitch.process.messages import Tick

NOW = datetime(2026, 1, 1, tzinfo=UTC)


def test_only_the_appointed_reader_reads() -> None:
    """The platform bounds the readings of all nodes together."""
    state = DirectoryState()
    assert handle(Tick(), state, NOW) == []
    assert handle(ReaderAppointed(3), state, NOW) == [ReadList()]
    assert handle(Tick(), state, NOW + timedelta(seconds=5)) == []


def test_reading_without_change_keeps_its_version() -> None:
    """Entries need the list only when it differs."""
    state = DirectoryState()
    handle(ReaderAppointed(3), state, NOW)
    first = handle(ListReadSucceeded(()), state, NOW)
    second = handle(ListReadSucceeded(()), state, NOW)
    assert isinstance(first[0], NotifySubscriber)
    assert first == second


def test_lists_of_a_later_reader_win() -> None:
    """A reader that was replaced must not bring an older list back."""
    old, new = DirectoryState(), DirectoryState()
    handle(ReaderAppointed(3), old, NOW)
    handle(ReaderAppointed(4), new, NOW)
    (told_old,) = handle(ListReadSucceeded(()), old, NOW)
    (told_new,) = handle(ListReadSucceeded(()), new, NOW)
    assert isinstance(told_old, NotifySubscriber)
    assert isinstance(told_new, NotifySubscriber)
    assert told_new.endpoint_list.version > told_old.endpoint_list.version


def test_reading_after_dismissal_is_not_told() -> None:
    """A reading that was under way when the leadership moved may be old."""
    state = DirectoryState()
    handle(ReaderAppointed(3), state, NOW)
    handle(ReaderAppointed(None), state, NOW)
    assert handle(ListReadSucceeded(()), state, NOW) == []


def test_failing_readings_are_logged_once_and_tried_again() -> None:
    """A platform that is down must not flood the log."""
    state = DirectoryState()
    handle(ReaderAppointed(3), state, NOW)
    assert isinstance(handle(ListReadFailed("429"), state, NOW)[0], LogReadStatus)
    later = NOW + timedelta(seconds=1)
    assert handle(Tick(), state, later) == [ReadList()]
    assert handle(ListReadFailed("429"), state, later) == []
