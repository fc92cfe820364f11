"""Map programs to shards."""

import xxhash

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.program.checks import check_program_id
from oleanderhitch.program.ids import ProgramId


def get_root(program: ProgramId) -> ProgramId:
    """Return the root program of a sub-agent."""
    return ProgramId(program.partition("/")[0])


def get_shard(program: ProgramId, n_shards: int) -> int:
    """Return the shard number of a program, which all its sub-agents share.

    Shards are numbered from 0. Raise InvalidInputError if the id is malformed or there
    is less than one shard.
    """
    if n_shards < 1:
        raise InvalidInputError(f"number of shards is {n_shards}; at least 1 is needed")
    root = get_root(check_program_id(program))
    return xxhash.xxh3_64_intdigest(root.encode()) % n_shards
