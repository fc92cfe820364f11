"""Guard against a process that stops to follow its settings."""

from pathlib import Path

import gevent
import pytest
from gevent.event import Event

from oleanderhitch.platform import process
from oleanderhitch.platform.settings import SETTINGS_VARIABLE
from tests.process.site.harness import wait_until


class FakeRunnable:
    """Runnable that fails on some settings in an unexpected way."""

    def __init__(self) -> None:
        self.applied: list[bytes] = []

    def apply_settings(self, settings: bytes) -> None:
        """Record the settings, or fail."""
        if settings == b"odd":
            raise ValueError("unexpected")
        self.applied.append(settings)


def test_settings_are_followed_after_an_unexpected_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against one odd version of the settings that hides all later ones."""
    path = tmp_path / "settings"
    path.write_bytes(b"first")
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    requested, runnable = Event(), FakeRunnable()
    watch = gevent.spawn(process._watch_settings, runnable, path.read_bytes, requested)
    gevent.sleep(0)
    for content in (b"odd", b"second"):
        path.write_bytes(content)
        requested.set()
        gevent.sleep(0.05)
    wait_until(lambda: runnable.applied == [b"second"], "the second settings")
    watch.kill()
