"""Validate and parse program ids, which are paths such as 'root/child'."""

import re

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.program.ids import ProgramId

# Each level reserves part of its parent's budget. Deeper nesting indicates runaway
# recursion of sub-agents.
DEPTH_LIMIT_LEVELS = 8
ID_LIMIT_CHARACTERS = 256
_SEGMENT = r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}"
_PROGRAM_ID = re.compile(rf"{_SEGMENT}(/{_SEGMENT})*")


def find_program_id_fault(text: str) -> str | None:
    """Return a description of what is wrong with a program id, or None."""
    if len(text) > ID_LIMIT_CHARACTERS:
        return f"has {len(text)} characters; at most {ID_LIMIT_CHARACTERS} are allowed"
    if _PROGRAM_ID.fullmatch(text) is None:
        return (
            "must be 1 to 64 letters, digits, '.', '_', ':' or '-', begin with a "
            "letter or digit, and name a sub-agent after a '/'"
        )
    if get_depth(ProgramId(text)) > DEPTH_LIMIT_LEVELS:
        return f"is nested deeper than {DEPTH_LIMIT_LEVELS} levels"
    return None


def check_program_id(text: str) -> ProgramId:
    """Return the text as a program id; raise InvalidInputError if malformed."""
    fault = find_program_id_fault(text)
    if fault is not None:
        raise InvalidInputError(f"program id {text[:80]!r} {fault}")
    return ProgramId(text)


def get_depth(program: ProgramId) -> int:
    """Return the nesting level of a program; a root program has level 1."""
    return program.count("/") + 1


def find_parent_id(program: ProgramId) -> ProgramId | None:
    """Return the id of the parent, or None for a root program."""
    parent, separator, _ = program.rpartition("/")
    return ProgramId(parent) if separator else None
