"""Test that wrong settings are refused at start, each with its name."""

import pytest
from cleo.testers.command_tester import CommandTester

from oleanderhitch.process.commands.options import EXIT_INVALID_SETTINGS
from oleanderhitch.process.commands.store_command import StoreCommand
from oleanderhitch.process.settings import EntrySettings

ARGUMENTS = (
    "--node s --data-centre d --peer-listen localhost:1 --n-shards 0 "
    "--stores s1=1.2.3.4 --key-file /nonexistent"
)


def test_every_fault_is_listed():
    """Guard against an operator who corrects one fault a start."""
    tester = CommandTester(StoreCommand())
    assert tester.execute(ARGUMENTS) == EXIT_INVALID_SETTINGS
    lines = tester.io.fetch_error()
    for name in ("data-dir", "peer-listen", "n-shards", "stores", "key-file"):
        assert f"--{name} (OLEANDERHITCH_{name.upper().replace('-', '_')})" in lines


def test_flags_go_before_the_environment(monkeypatch, tmp_path):
    """Guard against a flag that an old environment variable overrides."""
    key = tmp_path / "key"
    key.write_text("0123456789abcdef")
    monkeypatch.setenv("OLEANDERHITCH_NODE", "from-environment")
    monkeypatch.setenv("OLEANDERHITCH_DATA_CENTRE", "split-a")
    given = {"key_file": key}
    assert EntrySettings(**given).node == "from-environment"
    assert EntrySettings(node="from-flag", **given).node == "from-flag"


@pytest.mark.parametrize("text", ["", "short"])
def test_a_weak_key_is_refused(tmp_path, text):
    """Guard against links that anybody can join."""
    key = tmp_path / "key"
    key.write_text(text)
    with pytest.raises(ValueError, match="16 bytes or more"):
        EntrySettings(node="n", data_centre="d", key_file=key)
