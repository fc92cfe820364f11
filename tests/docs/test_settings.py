"""Guard against a settings reference that does not match the code."""

from pathlib import Path

import pytest

from oleanderhitch.process.settings import EntrySettings, StoreSettings

PAGE = (Path(__file__).parents[2] / "docs" / "reference" / "settings.md").read_text()
SECTIONS = {EntrySettings: "Entry host", StoreSettings: "Disk host"}


@pytest.mark.parametrize("settings", [EntrySettings, StoreSettings])
def test_every_setting_is_documented(settings):
    """Guard against an undocumented setting or a wrong default in the reference."""
    section = next(
        part for part in PAGE.split("\n## ") if part.startswith(SECTIONS[settings])
    )
    for name, field in settings.model_fields.items():
        flag = f"--{name.replace('_', '-')}"
        row = next(
            (line for line in section.splitlines() if line.startswith(f"| `{flag}` ")),
            "",
        )
        assert f"`OLEANDERHITCH_{name.upper()}`" in row, flag
        assert field.description in row, flag
        if not field.is_required() and field.default:
            assert str(field.default) in row, flag
