"""Id, timing and limits of the replicated group of a site."""

from datetime import timedelta

from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.replication.replica import (
    ReplicationLimits,
    ReplicationTiming,
)
from oleanderhitch.process.storage.core import StorageLimits

SITE_GROUP = GroupId("site")
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
# enough to keep the log this short.
SITE_LIMITS = ReplicationLimits(
    n_trailing_entries=400,
    trailing_bytes=2 * MIB,
    log_bytes_per_snapshot=2 * MIB,
)
