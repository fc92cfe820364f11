"""Guard against files that are read incompletely or refused without a place."""

import pytest

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.configuration.files import read_folder
from oleanderhitch.version.exceptions import InvalidConfigurationError


def test_reads_documents_by_file_name(tmp_path):
    """Guard against a file that is skipped or gets the wrong document name."""
    (tmp_path / "rules.accounts.yaml").write_text("b: 1\na: [x]\n")
    (tmp_path / "README.md").write_text("not a declaration")
    (draft,) = read_folder(tmp_path)
    assert (draft.name, draft.content) == ("rules.accounts", '{"a":["x"],"b":1}')


@pytest.mark.parametrize(
    ("text", "check", "place"),
    [
        ("a: 1\nb: 2\na: 3\n", "documents.E004", "rules.yaml: line 3"),
        ("x:\n  - b: 2\n    b: 3\n", "documents.E004", "rules.yaml: line 3"),
        ("a: [1\n", "documents.E003", "rules.yaml: line 2"),
        ("a: 2026-01-01\n", "documents.E003", "rules.yaml"),
        ("a: !!python/object:os.system {}\n", "documents.E003", "rules.yaml: line 1"),
        ("? [1, 2]\n: 3\n", "documents.E003", "rules.yaml: line 1"),
    ],
)
def test_faults_have_a_place(tmp_path, text, check, place):
    """Guard against YAML that silently drops a key or constructs an object."""
    (tmp_path / "rules.yaml").write_text(text)
    with pytest.raises(InvalidConfigurationError) as caught:
        read_folder(tmp_path)
    (fault,) = caught.value.faults
    assert (fault.check, fault.place) == (check, place)


def test_faults_of_all_files_are_listed(tmp_path):
    """Guard against reporting the faults of one file per attempt."""
    for name in ("rules.yaml", "inventory.yaml"):
        (tmp_path / name).write_bytes(b"\xff")
    with pytest.raises(InvalidConfigurationError) as caught:
        read_folder(tmp_path)
    assert len(caught.value.faults) == 2


def test_missing_folder(tmp_path):
    """Guard against a traceback for a mistyped folder."""
    with pytest.raises(InvalidInputError, match="expected a folder"):
        read_folder(tmp_path / "none")
