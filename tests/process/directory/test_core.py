"""Guard against stale lists of endpoints and against too many reads."""

from datetime import UTC, datetime, timedelta

from oleanderhitch.process.directory.core import (
    DirectoryState,
    ListReadFailed,
    ListReadSucceeded,
    LogReadStatus,
    NotifySubscriber,
    ReadList,
    SetReaderTerm,
    handle,
)
from oleanderhitch.process.messages import Tick

NOW = datetime(2026, 1, 1, tzinfo=UTC)


def test_list_is_read_only_in_a_reader_term() -> None:
    """Guard against reads by every node, since the platform limits their total rate."""
    state = DirectoryState()
    assert handle(Tick(), state, NOW) == []
    assert handle(SetReaderTerm(3), state, NOW) == [ReadList()]
    assert handle(Tick(), state, NOW + timedelta(seconds=5)) == []


def test_unchanged_list_keeps_its_version() -> None:
    """Guard against sending an unchanged list to entry hosts again."""
    state = DirectoryState()
    handle(SetReaderTerm(3), state, NOW)
    first = handle(ListReadSucceeded(()), state, NOW)
    second = handle(ListReadSucceeded(()), state, NOW)
    assert isinstance(first[0], NotifySubscriber)
    assert first == second


def test_list_of_a_later_reader_is_newer() -> None:
    """Guard against a list of a replaced reader that overrides a newer one."""
    old, new = DirectoryState(), DirectoryState()
    handle(SetReaderTerm(3), old, NOW)
    handle(SetReaderTerm(4), new, NOW)
    (old_effect,) = handle(ListReadSucceeded(()), old, NOW)
    (new_effect,) = handle(ListReadSucceeded(()), new, NOW)
    assert isinstance(old_effect, NotifySubscriber)
    assert isinstance(new_effect, NotifySubscriber)
    assert new_effect.endpoint_list.version > old_effect.endpoint_list.version


def test_read_that_ends_after_the_term_is_discarded() -> None:
    """Guard against a stale list from a read that ends after a leader change."""
    state = DirectoryState()
    handle(SetReaderTerm(3), state, NOW)
    handle(SetReaderTerm(None), state, NOW)
    assert handle(ListReadSucceeded(()), state, NOW) == []


def test_failing_reads_are_logged_once_and_retried() -> None:
    """Guard against a flood of log lines while the platform is unavailable."""
    state = DirectoryState()
    handle(SetReaderTerm(3), state, NOW)
    assert isinstance(handle(ListReadFailed("429"), state, NOW)[0], LogReadStatus)
    later = NOW + timedelta(seconds=1)
    assert handle(Tick(), state, later) == [ReadList()]
    assert handle(ListReadFailed("429"), state, later) == []
