"""Describe how two documents differ, one line per changed value."""

import json
from collections.abc import Iterator, Mapping
from typing import Any

VALUE_LIMIT_CHARACTERS = 60


def diff_documents(
    name: str, before: str | None, after: str | None, limit_lines: int
) -> tuple[str, ...]:
    """Return at most the given number of lines and how many more there are."""
    if before is None:
        return (f"{name}: added",)
    if after is None:
        return (f"{name}: removed",)
    lines = list(_diff(f"{name}:", _load(before), _load(after)))
    return truncate_lines(lines, limit_lines)


def truncate_lines(lines: list[str], limit_lines: int) -> tuple[str, ...]:
    """Return the first lines and a line that counts the others."""
    if len(lines) <= limit_lines:
        return tuple(lines)
    n_more = len(lines) - limit_lines
    return (*lines[:limit_lines], f"... and {n_more} more changes")


def _load(content: str) -> Any:
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        return content


def _diff(path: str, before: Any, after: Any) -> Iterator[str]:
    before = _name_entries(before)
    after = _name_entries(after)
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for key in [*before, *(key for key in after if key not in before)]:
            yield from _diff_entry(f"{path} {key}", key, before, after)
    elif before != after:
        yield f"{path} {_format(before)} -> {_format(after)}"


def _diff_entry(
    path: str, key: Any, before: Mapping[Any, Any], after: Mapping[Any, Any]
) -> Iterator[str]:
    if key not in after:
        yield f"{path} removed"
    elif key not in before:
        yield f"{path} added {_format(after[key])}"
    else:
        yield from _diff(path, before[key], after[key])


def _name_entries(value: Any) -> Any:
    # A list of named entries is compared by name, so that an insertion does
    # not show every later entry as changed.
    if not isinstance(value, list) or not value:
        return value
    names = [entry.get("name") if isinstance(entry, dict) else None for entry in value]
    if not all(isinstance(name, str) for name in names):
        return value
    if len(set(names)) != len(names):
        return value
    return dict(zip(names, value, strict=True))


def _format(value: Any) -> str:
    text = json.dumps(value, ensure_ascii=False, sort_keys=True)
    if len(text) > VALUE_LIMIT_CHARACTERS:
        return text[:VALUE_LIMIT_CHARACTERS] + "..."
    return text
