"""Format the difference of two documents, one line per changed value."""

import json
from collections.abc import Iterator, Mapping
from typing import Any

VALUE_LIMIT_CHARACTERS = 60


def diff_documents(
    name: str, before: str | None, after: str | None, n_lines_limit: int
) -> tuple[str, ...]:
    """Return a line per difference, truncated to a number of lines."""
    if before is None:
        return (f"{name}: added",)
    if after is None:
        return (f"{name}: removed",)
    lines = list(_diff_values(f"{name}:", _parse_json(before), _parse_json(after)))
    return truncate_lines(lines, n_lines_limit)


def truncate_lines(lines: list[str], n_lines_limit: int) -> tuple[str, ...]:
    """Return the first lines, followed by a line that counts the omitted ones."""
    if len(lines) <= n_lines_limit:
        return tuple(lines)
    n_more = len(lines) - n_lines_limit
    return (*lines[:n_lines_limit], f"... and {n_more} more changes")


def _parse_json(content: str) -> Any:
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        return content


def _diff_values(path: str, before: Any, after: Any) -> Iterator[str]:
    before = _index_by_name(before)
    after = _index_by_name(after)
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for key in [*before, *(key for key in after if key not in before)]:
            yield from _diff_key(f"{path} {key}", key, before, after)
    elif before != after:
        yield f"{path} {_format(before)} -> {_format(after)}"


def _diff_key(
    path: str, key: Any, before: Mapping[Any, Any], after: Mapping[Any, Any]
) -> Iterator[str]:
    if key not in after:
        yield f"{path} removed"
    elif key not in before:
        yield f"{path} added {_format(after[key])}"
    else:
        yield from _diff_values(path, before[key], after[key])


def _index_by_name(value: Any) -> Any:
    # Lists of named entries are compared by name; by position, one insertion would
    # report every later entry as changed.
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
