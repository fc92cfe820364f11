"""Names, help texts and labels of all metrics."""

from enum import Enum

from oleanderhitch.values import Value


class MetricName(Value, frozen=True):
    """Exposed name of a metric, its help text and the name of its label, if any."""

    name: str
    help: str
    label: str = ""


class Latency(Enum):
    """Latencies, exposed as summaries in seconds."""

    PROGRAM = MetricName(
        "oleanderhitch_program_latency_seconds",
        "Time from the start of a program to its end.",
    )
    FIRST_TOKEN = MetricName(
        "oleanderhitch_first_token_seconds",
        "Time from the arrival of a call to the first piece of its answer.",
    )
    BETWEEN_TOKENS = MetricName(
        "oleanderhitch_between_tokens_seconds",
        "Time between two pieces of an answer.",
    )
    QUEUE_WAIT = MetricName(
        "oleanderhitch_queue_wait_seconds",
        "Time that a call waits in its pool's queue.",
    )
    ADDED_TIME = MetricName(
        "oleanderhitch_added_time_seconds",
        "Time of a request that is neither queue nor endpoint.",
    )


class Counter(Enum):
    """Counts that only increase."""

    REQUESTS = MetricName(
        "oleanderhitch_requests_total", "Requests by outcome.", "outcome"
    )
    ATTEMPTS = MetricName(
        "oleanderhitch_attempts_total", "Attempts by how they ended.", "result"
    )
    RESUMED_STREAMS = MetricName(
        "oleanderhitch_resumed_streams_total",
        "Streams that went on over a new connection.",
    )
    HEDGES = MetricName("oleanderhitch_hedges_total", "Second attempts in parallel.")
    REFUSALS = MetricName(
        "oleanderhitch_refusals_total", "Calls refused before they ran.", "reason"
    )
    CALLER_REFUSALS = MetricName(
        "oleanderhitch_caller_refusals_total",
        "Requests and connections that a server did not serve.",
        "reason",
    )
    PROMPT_TOKENS = MetricName(
        "oleanderhitch_prompt_tokens_total", "Prompt tokens sent to engines."
    )
    CACHED_TOKENS = MetricName(
        "oleanderhitch_cached_tokens_total", "Prompt tokens that engines had cached."
    )
    OUTPUT_TOKENS = MetricName(
        "oleanderhitch_output_tokens_total", "Tokens that engines generated."
    )
    RELEASES = MetricName(
        "oleanderhitch_releases_total", "Releases of engine memory.", "result"
    )
    ORDERS = MetricName(
        "oleanderhitch_orders_total", "Orders to engines by result.", "result"
    )
    CACHE_EVENT_GAPS = MetricName(
        "oleanderhitch_cache_event_gaps_total", "Gaps in the cache events of engines."
    )
    PREFIXES = MetricName(
        "oleanderhitch_shared_prefixes_total",
        "Prompts with a shared prefix by what is known of it at their endpoint.",
        "knowledge",
    )
    ELECTIONS = MetricName(
        "oleanderhitch_elections_total", "Changes of a group's leader.", "group"
    )
    PEER_BYTES = MetricName(
        "oleanderhitch_peer_bytes_total", "Bytes sent to other nodes."
    )
    OPERATOR_CALLS = MetricName(
        "oleanderhitch_operator_calls_total", "Calls of operators.", "status"
    )
    CREDITS = MetricName(
        "oleanderhitch_credits_total",
        "Requests of accounts with a limit by how their wait for a credit ended.",
        "result",
    )
    CREDITS_LENT = MetricName(
        "oleanderhitch_credits_lent_total",
        "Credits of accounts with a limit that this leader has lent.",
    )
    DROPPED_SPANS = MetricName(
        "oleanderhitch_dropped_spans_total", "Spans that found no room."
    )


class Gauge(Enum):
    """Values that increase and decrease."""

    REQUESTS_IN_PROGRESS = MetricName(
        "oleanderhitch_requests_in_progress", "Requests that run in this process."
    )
    QUEUE_LENGTH = MetricName(
        "oleanderhitch_queue_length", "Calls that wait, by pool.", "pool"
    )
    OPEN_RELEASES = MetricName(
        "oleanderhitch_open_releases", "Releases that no engine has confirmed."
    )
    CONFIGURATION_VERSION = MetricName(
        "oleanderhitch_configuration_version", "Version of the configuration in use."
    )
    SLOW_ENDPOINTS = MetricName(
        "oleanderhitch_slow_endpoints",
        "Endpoints that count as slower than the median of their service.",
    )
    RAMPING_ENDPOINTS = MetricName(
        "oleanderhitch_ramping_endpoints",
        "Endpoints that have started or failed and take a limited number of requests.",
    )
    CREDITS_HELD = MetricName(
        "oleanderhitch_credits_held",
        "Unused credits of accounts with a limit at the last question to the leader.",
    )
    LEADER = MetricName(
        "oleanderhitch_leader", "1 where this process leads the group.", "group"
    )
    PROCESS_MEMORY = MetricName(
        "oleanderhitch_process_memory_bytes", "Resident memory of this process."
    )
    LOOP_DELAY = MetricName(
        "oleanderhitch_loop_delay_seconds",
        "Longest delay of the event loop in the last second.",
    )
    LINK_QUEUE_LENGTH = MetricName(
        "oleanderhitch_link_queue_length",
        "Messages that wait for the slowest link to another store.",
    )
    LEASE_AGE = MetricName(
        "oleanderhitch_lease_age_seconds",
        "Time since the routing of this host was last known to be the newest.",
    )
    GROUP_LOG_BYTES = MetricName(
        "oleanderhitch_group_log_bytes",
        "Log of this process's replica in memory.",
        "group",
    )
    GROUP_SNAPSHOT_BYTES = MetricName(
        "oleanderhitch_group_snapshot_bytes",
        "Newest snapshot of this process's replica.",
        "group",
    )
    HELD_BYTES = MetricName(
        "oleanderhitch_held_bytes",
        "Share of the memory that requests and responses hold.",
        "kind",
    )
    CALLER_CONNECTIONS = MetricName(
        "oleanderhitch_caller_connections", "Open connections of a server.", "server"
    )
    GROUP_TURNS = MetricName(
        "oleanderhitch_group_turns", "Stored turns of programs.", "group"
    )


Metric = Latency | Counter | Gauge
