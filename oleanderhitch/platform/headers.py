"""Names of the platform's HTTP headers, and the headers that are not forwarded."""

REQUEST_ID = "x-request-id"
DEADLINE = "x-deadline-ms"  # remaining time, not a point in time
EXPECT_INSTANCE = "x-expect-instance"  # id of the endpoint that must run the request
MODEL = "x-model"
TOKEN_USAGE = "x-token-usage"  # prompt tokens and maximum output tokens
LENGTH_HINT = "x-length-hint"  # the caller's estimate of the output tokens
PROMPT_PARTS = "x-prompt-prefix"  # parts of the prompt in order, as ID:TOKENS
PROGRAM = "x-program-id"
FINISH = "x-finish-ms"  # time left until the program should be finished
TOKEN_BUDGET = "x-token-budget"  # shared by all turns of a program
PREVIOUS_TURN = "x-previous-turn"  # request id of the turn to continue
LAST_EVENT_ID = "last-event-id"
SIGNATURE = "x-server-stamp"  # in responses of endpoints that handled the request
LEAVING = "server-leaving"  # in all responses of endpoints that will stop
# Requests a second that an endpoint takes from all hosts, as long as it says so.
RATE_LIMIT = "server-limit"
PRIORITY = "x-request-priority"  # 0 to 9, where 0 is the most urgent
NOT_RUN = "x-not-run"  # in responses of endpoints that refused the request
AFFINITY_COOKIE = "X-Affinity-Key"
AUTHORIZATION = "authorization"  # the key of a client account, as Token KEY
ACCOUNT = "x-tenant"  # name of the client account, set by this system

# These apply to a single connection, so they are not forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Only this system may set these. With values of its own, a caller could reserve cache
# memory of an engine or refer to another request's execution.
SET_BY_SYSTEM = frozenset(
    {
        DEADLINE,
        EXPECT_INSTANCE,
        LAST_EVENT_ID,
        "x-kv-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        PRIORITY,
        "x-expect-version",
    }
)
