"""Ids, timing and limits of the replicated groups of a site."""

from datetime import timedelta

import xxhash

from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.replication.replica import (
    ReplicationLimits,
    ReplicationTiming,
)
from oleanderhitch.process.storage.core import StorageLimits
from oleanderhitch.program.ids import ProgramId

# Has the routing configuration. The registered stores are part of each group.
SITE_GROUP = GroupId("site")
# The turns and budgets of programs. The number never changes, since a program stays in
# its group; with more groups than stores, leadership can be spread evenly.
N_TURN_GROUPS = 8
TURN_GROUPS = tuple(GroupId(f"turns-{number}") for number in range(N_TURN_GROUPS))
SITE_GROUPS = (SITE_GROUP, *TURN_GROUPS)
MIB = 1024 * 1024

# Round trips within a site take about 1 ms, so timeouts shorter than between regions
# cause no needless elections. The shortest spans three heartbeats, one of which a lossy
# link may delay. A retry must not start during a voting round, which takes two disk
# syncs and a round trip: 12 ms on the slowest disks.
SITE_TIMING = ReplicationTiming(
    heartbeat_interval=timedelta(milliseconds=100),
    election_timeout_min=timedelta(milliseconds=350),
    election_timeout_max=timedelta(milliseconds=550),
    election_retry_min=timedelta(milliseconds=60),
)
# A restart reads all segments, including entries that a snapshot has replaced. Small
# segments are deleted soon after each snapshot; six of them hold more than the log
# grows between two snapshots.
SITE_STORAGE_LIMITS = StorageLimits(segment_bytes=MIB, snapshot_threshold_segments=6)
# The contents of turns are in memory only as part of the log, and as long as no
# snapshot has stored them. A snapshot writes only what is new, so that it is cheap
# enough to keep the log this short. Entries that are not committed can be in no
# snapshot; a store may lead all groups, each with the limit and one more command.
SITE_LIMITS = ReplicationLimits(
    n_trailing_entries=400,
    trailing_bytes=2 * MIB,
    log_bytes_per_snapshot=2 * MIB,
    uncommitted_bytes=4 * MIB,
)


def get_turn_group(program: ProgramId) -> GroupId:
    """Return the group that has the turns and the budget of a program."""
    return TURN_GROUPS[xxhash.xxh3_64_intdigest(program.encode()) % N_TURN_GROUPS]
