"""Read an operator's configuration documents from a folder of YAML files."""

from collections.abc import Hashable
from pathlib import Path
from typing import Any

import yaml

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.version.checks import Fault, make_fault
from oleanderhitch.version.documents import DocumentDraft, make_draft
from oleanderhitch.version.exceptions import InvalidConfigurationError

YAML_SUFFIX = ".yaml"


class _DuplicateKeyError(yaml.MarkedYAMLError):
    """A mapping has a duplicate key."""


class _Loader(yaml.SafeLoader):
    """A safe loader that rejects duplicate keys.

    PyYAML silently keeps the last value of a duplicate key.
    """

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        """Return the mapping of a node; raise _DuplicateKeyError."""
        seen_keys: set[str] = set()
        for key, _ in node.value:
            if not isinstance(key, yaml.ScalarNode):
                continue
            if key.value in seen_keys:
                raise _DuplicateKeyError(
                    problem=f"key {key.value!r} occurs twice",
                    problem_mark=key.start_mark,
                )
            seen_keys.add(key.value)
        return super().construct_mapping(node, deep)


def read_folder(folder: Path) -> tuple[DocumentDraft, ...]:
    """Return the documents of a folder, each named after its file.

    Raise InvalidConfigurationError with the faults of all files, or InvalidInputError
    if the folder cannot be read.
    """
    try:
        paths = sorted(
            path for path in folder.iterdir() if path.suffix in {YAML_SUFFIX, ".yml"}
        )
    except OSError as error:
        raise InvalidInputError(
            f"expected a folder of YAML files, got {folder}: {error.strerror}"
        ) from None
    drafts: list[DocumentDraft] = []
    faults: list[Fault] = []
    for path in paths:
        result = _read_file(path)
        if isinstance(result, Fault):
            faults.append(result)
        else:
            drafts.append(result)
    if faults:
        raise InvalidConfigurationError(tuple(faults))
    return tuple(drafts)


def _read_file(path: Path) -> DocumentDraft | Fault:
    try:
        text = path.read_text(encoding="utf-8")
        declaration = yaml.load(text, Loader=_Loader)
        return make_draft(path.stem, declaration)
    except _DuplicateKeyError as error:
        return make_fault(
            "documents.E004",
            _format_place(path, error),
            str(error.problem),
            "each once",
        )
    except yaml.MarkedYAMLError as error:
        return make_fault(
            "documents.E003", _format_place(path, error), str(error.problem), "YAML"
        )
    except (OSError, yaml.YAMLError, UnicodeDecodeError, RecursionError) as error:
        return make_fault("documents.E003", path.name, str(error), "readable YAML")
    except TypeError as error:
        # YAML allows dates, sets and keys of mixed types, which JSON does not.
        return make_fault(
            "documents.E003", path.name, str(error), "texts, numbers and flags only"
        )


def _format_place(path: Path, error: yaml.MarkedYAMLError) -> str:
    mark = error.problem_mark
    return path.name if mark is None else f"{path.name}: line {mark.line + 1}"
