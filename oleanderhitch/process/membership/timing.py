"""Intervals and timeouts of node leases."""

from datetime import timedelta

HEARTBEAT_INTERVAL_MS = 1_000
LEASE_DURATION_MS = 3_000

# A node's lease starts when it sends the heartbeat, the leader's record of it when the
# heartbeat arrives. The margin covers clocks that run at different rates.
LEASE_MARGIN_MS = 100

# A node is suspected after one late heartbeat.
SUSPICION_TIMEOUT_MS = 1_500

# Leaves time to try two more stores before the lease expires.
REPLY_TIMEOUT_MS = 500
REDIRECT_DELAY_MS = 100
PUSH_RETRY_INTERVAL_MS = 1_000
GONE_NODE_RETENTION_MS = 60_000
TICK_INTERVAL_MS = 100

HEARTBEAT_INTERVAL = timedelta(milliseconds=HEARTBEAT_INTERVAL_MS)
LEASE_DURATION = timedelta(milliseconds=LEASE_DURATION_MS)
LEASE_MARGIN = timedelta(milliseconds=LEASE_MARGIN_MS)
NODE_LEASE_DURATION = LEASE_DURATION - LEASE_MARGIN
SUSPICION_TIMEOUT = timedelta(milliseconds=SUSPICION_TIMEOUT_MS)
REPLY_TIMEOUT = timedelta(milliseconds=REPLY_TIMEOUT_MS)
REDIRECT_DELAY = timedelta(milliseconds=REDIRECT_DELAY_MS)
PUSH_RETRY_INTERVAL = timedelta(milliseconds=PUSH_RETRY_INTERVAL_MS)
GONE_NODE_RETENTION = timedelta(milliseconds=GONE_NODE_RETENTION_MS)
TICK_INTERVAL = timedelta(milliseconds=TICK_INTERVAL_MS)
