"""Name the headers of the platform and say which of them pass through."""

REQUEST_ID = "x-request-id"
DEADLINE = "x-deadline-ms"
EXPECT_INSTANCE = "x-expect-instance"
MODEL = "x-model"
TOKEN_USAGE = "x-token-usage"  # prompt tokens, most output tokens
LENGTH_HINT = "x-length-hint"  # the caller's estimate of the output tokens
PROMPT_PARTS = "x-prompt-prefix"  # parts of the prompt in order, ID:TOKENS
PROGRAM = "x-program-id"
TOKEN_BUDGET = "x-token-budget"  # for all turns of a program together
PREVIOUS_TURN = "x-previous-turn"
LAST_EVENT = "last-event-id"
SIGNATURE = "x-server-stamp"
NOT_RUN = "x-not-run"
AFFINITY_COOKIE = "X-Affinity-Key"

# Concern one connection only.
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
# The system's to set; a caller's own would claim memory or name another run.
SET_BY_SYSTEM = frozenset(
    {
        DEADLINE,
        EXPECT_INSTANCE,
        LAST_EVENT,
        "x-kv-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "x-request-priority",
        "x-expect-version",
    }
)
