"""Set the intervals of node leases."""

from datetime import timedelta

HEARTBEAT_MS = 1_000
LEASE_MS = 3_000

# A node measures its lease from when it sent the heartbeat, the leader from
# when it received it; the margin covers clocks that run at different rates.
LEASE_MARGIN_MS = 100

# One heartbeat may be late before a node is suspected.
SUSPECT_AFTER_MS = 1_500

# Leaves time for two further stores before the lease runs out.
ANSWER_TIMEOUT_MS = 500
REDIRECT_PAUSE_MS = 100
REPUSH_MS = 1_000
GONE_KEPT_MS = 60_000
TICK_MS = 100

HEARTBEAT = timedelta(milliseconds=HEARTBEAT_MS)
LEASE_DURATION = timedelta(milliseconds=LEASE_MS)
LEASE_MARGIN = timedelta(milliseconds=LEASE_MARGIN_MS)
NODE_LEASE = LEASE_DURATION - LEASE_MARGIN
SUSPECT_AFTER = timedelta(milliseconds=SUSPECT_AFTER_MS)
ANSWER_TIMEOUT = timedelta(milliseconds=ANSWER_TIMEOUT_MS)
REDIRECT_PAUSE = timedelta(milliseconds=REDIRECT_PAUSE_MS)
REPUSH = timedelta(milliseconds=REPUSH_MS)
GONE_KEPT = timedelta(milliseconds=GONE_KEPT_MS)
TICK = timedelta(milliseconds=TICK_MS)
