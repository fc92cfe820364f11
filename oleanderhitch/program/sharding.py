"""Choose the shard of a program."""

import xxhash

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.program.checks import check_program_id
from oleanderhitch.program.ids import ProgramId


def get_root(program: ProgramId) -> ProgramId:
    """Return the root program of a sub-agent."""
    return ProgramId(program.partition("/")[0])


def get_shard(program: ProgramId, n_shards: int) -> int:
    """Return the number of the shard of a program and all of its sub-agents.

    Numbers start at 0. Raises InvalidInputError for a malformed id or a count
    below one.
    """
    if n_shards < 1:
        raise InvalidInputError(f"number of shards is {n_shards}; at least 1 is needed")
    root = get_root(check_program_id(program))
    return xxhash.xxh3_64_intdigest(root.encode()) % n_shards
