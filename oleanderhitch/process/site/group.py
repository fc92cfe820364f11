"""Name the replicated group of a site and its limits."""

from datetime import timedelta

from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.replication.replica import (
    ReplicationLimits,
    ReplicationTiming,
)
from oleanderhitch.process.storage.core import StorageLimits

SITE_GROUP = GroupId("site")
MIB = 1024 * 1024

# Hosts of a site are about a millisecond apart, so that shorter timeouts than
# those between regions start no needless elections. The shortest one spans three
# heartbeats, of which a lossy link may delay one. A voting round takes two syncs
# and a round trip, 12 ms on the slowest disks, which a retry must not cut short.
SITE_TIMING = ReplicationTiming(
    heartbeat_interval=timedelta(milliseconds=100),
    election_timeout_min=timedelta(milliseconds=350),
    election_timeout_max=timedelta(milliseconds=550),
    election_retry_min=timedelta(milliseconds=60),
)
# A restart reads all segments, also what a snapshot has replaced in them; small
# ones are dropped soon after each snapshot. Six of them hold more than a log grows
# between two snapshots.
SITE_STORAGE_LIMITS = StorageLimits(
    segment_bytes=8 * MIB, snapshot_threshold_segments=6
)
# The log in memory and the state share the 150 MB or more of a store's host.
SITE_LIMITS = ReplicationLimits(
    n_trailing_entries=400,
    trailing_bytes=4 * MIB,
    log_bytes_per_snapshot=16 * MIB,
)
