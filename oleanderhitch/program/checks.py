"""Check the identifiers of programs."""

import re

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.program.ids import ProgramId

# Each sub-agent keeps its parent's budget reserved; a chain deeper than this is
# a recursion that went out of hand.
DEPTH_LIMIT = 8
ID_LIMIT_CHARACTERS = 256
_SEGMENT = r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}"
_PROGRAM_ID = re.compile(rf"{_SEGMENT}(/{_SEGMENT})*")


def find_program_id_fault(text: str) -> str | None:
    """Return what is wrong with a program id, or None."""
    if len(text) > ID_LIMIT_CHARACTERS:
        return f"has {len(text)} characters; at most {ID_LIMIT_CHARACTERS} are allowed"
    if _PROGRAM_ID.fullmatch(text) is None:
        return (
            "must be 1 to 64 letters, digits, '.', '_', ':' or '-', begin with a "
            "letter or digit, and name a sub-agent after a '/'"
        )
    if get_depth(ProgramId(text)) > DEPTH_LIMIT:
        return f"is nested deeper than {DEPTH_LIMIT} levels"
    return None


def check_program_id(text: str) -> ProgramId:
    """Return the program id; raise InvalidInputError when it is malformed."""
    fault = find_program_id_fault(text)
    if fault is not None:
        raise InvalidInputError(f"program id {text[:80]!r} {fault}")
    return ProgramId(text)


def get_depth(program: ProgramId) -> int:
    """Return how many programs stand above and at this one."""
    return program.count("/") + 1


def find_parent_id(program: ProgramId) -> ProgramId | None:
    """Return the id of the parent, or None for a root program."""
    parent, separator, _ = program.rpartition("/")
    return ProgramId(parent) if separator else None
