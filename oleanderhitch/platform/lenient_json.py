"""Split a JSON document whose parts can't all be parsed.

A parser takes or rejects a document as a whole; it gives up at nesting that is too deep
and at numbers with too many digits. One such part then hides all others.
"""

import json
import re
from collections.abc import Iterator
from typing import Any

# Strings, and the characters that give a document its structure.
TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)
OPENING = frozenset("[{")
CLOSING = frozenset("]}")


def parse_or_none(text: str) -> Any:
    """Return the value of a JSON text, None if it can't be parsed."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return None


def split_members(text: str) -> dict[str, str]:
    """Return the members of a JSON object as texts, empty if it is none."""
    members: dict[str, str] = {}
    for member in _split(text, "{"):
        name, separator, value = member.partition(":")
        parsed_name = parse_or_none(name)
        if separator and isinstance(parsed_name, str):
            members[parsed_name] = value
    return members


def split_elements(text: str) -> list[str]:
    """Return the elements of a JSON array as texts, empty if it is none."""
    return list(_split(text, "["))


def _split(text: str, opening: str) -> Iterator[str]:
    """Yield what stands between the commas of the outermost brackets."""
    if not text.lstrip().startswith(opening):
        return
    depth = 0
    start = 0
    for token in TOKEN.finditer(text):
        character = token.group()
        if character in OPENING:
            depth += 1
            if depth == 1:
                start = token.end()
        elif depth == 1 and (character == "," or character in CLOSING):
            part = text[start : token.start()]
            if part.strip():
                yield part
            start = token.end()
        if character in CLOSING:
            depth -= 1
            if depth == 0:
                return
