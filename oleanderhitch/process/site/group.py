"""Name the replicated group of a site and its limits."""

from datetime import timedelta

from oleanderhitch.process.ids import GroupId
from oleanderhitch.process.replication.replica import Limits, Timing

SITE_GROUP = GroupId("site")
MIB = 1024 * 1024

# Hosts of a site are about a millisecond apart, so that shorter timeouts than
# those between regions start no needless elections.
SITE_TIMING = Timing(
    heartbeat_interval=timedelta(milliseconds=150),
    election_timeout_min=timedelta(milliseconds=500),
    election_timeout_max=timedelta(milliseconds=800),
)
# The log in memory and the state share the 150 MB or more of a store's host.
SITE_LIMITS = Limits(
    n_trailing_entries=400,
    trailing_bytes=4 * MIB,
    log_bytes_per_snapshot=16 * MIB,
)
