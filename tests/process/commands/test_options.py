"""Guard against processes that start with invalid settings or don't name them."""

import pytest
from cleo.testers.command_tester import CommandTester

from oleanderhitch.process.commands.options import EXIT_INVALID_SETTINGS
from oleanderhitch.process.commands.store_command import StoreCommand
from oleanderhitch.process.settings import EntrySettings

ARGUMENTS = (
    "--node s --data-centre d --peer-listen localhost:1 --n-shards 0 "
    "--stores s1=1.2.3.4 --key-file /nonexistent"
)


def test_every_invalid_setting_is_reported():
    """Guard against reporting only the first invalid setting at each start."""
    tester = CommandTester(StoreCommand())
    assert tester.execute(ARGUMENTS) == EXIT_INVALID_SETTINGS
    lines = tester.io.fetch_error()
    for name in ("data-dir", "peer-listen", "n-shards", "stores", "key-file"):
        assert f"--{name} (OLEANDERHITCH_{name.upper().replace('-', '_')})" in lines


def test_options_override_the_environment(monkeypatch, tmp_path):
    """Guard against an environment variable that overrides an option."""
    key = tmp_path / "key"
    key.write_text("0123456789abcdef")
    monkeypatch.setenv("OLEANDERHITCH_NODE", "from-environment")
    monkeypatch.setenv("OLEANDERHITCH_DATA_CENTRE", "split-a")
    required = {"key_file": key}
    assert EntrySettings(**required).node == "from-environment"
    assert EntrySettings(node="from-option", **required).node == "from-option"


@pytest.mark.parametrize("text", ["", "short"])
def test_short_key_is_rejected(tmp_path, text):
    """Guard against a key that is easily guessed, with which anyone could connect."""
    key = tmp_path / "key"
    key.write_text(text)
    with pytest.raises(ValueError, match="16 bytes or more"):
        EntrySettings(node="n", data_centre="d", key_file=key)
