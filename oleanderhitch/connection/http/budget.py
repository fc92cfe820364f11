"""Bound the connections of callers by the file descriptors and memory of a process.

Answers crowds of callers that connect and send nothing, or slowly. Descriptors are
kept for files, for peers and, one for each caller, for endpoints.
"""

from datetime import datetime, timedelta

from msgspec import Struct, field

from oleanderhitch.connection.http.memory import (
    TrafficMemory,
    get_memory_budget,
    make_traffic_memory,
)
from oleanderhitch.values import Value
from oleanderhitch.version.routes.configuration import CallerLimits

# Of a process that is told neither limit.
DEFAULT_N_CONNECTIONS = 2000
# The log, the modules and the data files.
N_FILE_DESCRIPTORS = 200
# Peers, the list of endpoints, and the servers for operators, readiness and metrics.
N_SERVICE_DESCRIPTORS = 100
N_CONNECTIONS_MIN = 16
# Part of the descriptors for tunnels that other hosts use; each takes two.
TUNNEL_DESCRIPTORS_SHARE = 1 / 8
DEFAULT_N_TUNNELS = 256
# Part of the memory of a host that connections may take.
CONNECTION_MEMORY_SHARE = 0.2
# A silent connection takes 27 KB (two greenlets, socket, parser), measured with 390.
CONNECTION_BYTES = 40 * 1024
# Readiness and metrics have one or two clients each.
N_STATUS_CONNECTIONS = 32
# A check has no body and few headers.
STATUS_BUDGET_BYTES = 1024 * 1024
STATUS_LIMITS = CallerLimits(body_bytes=16 * 1024)

# A message that has not arrived whole by then, at this rate, is given up. Deadlines of
# callers are below the first.
RECEIVE_TIME = timedelta(seconds=60)
RECEIVE_BYTES_PER_S = 1024

LOG_WINDOW = timedelta(seconds=10)
N_LOG_LINES = 5


class ServerBudget(Value, frozen=True):
    """What the callers of one server may use."""

    memory: TrafficMemory
    n_connections: int = DEFAULT_N_CONNECTIONS


class LogWindow(Struct):
    """The log lines of one reason in the current window."""

    ends_at: datetime
    n_lines: int = 0
    n_suppressed: int = 0


class RefusalLog(Struct):
    """Decides which refusals are logged, so that a crowd can't fill the log."""

    windows: dict[str, LogWindow] = field(default_factory=dict)

    def find_n_suppressed(self, reason: str, now: datetime) -> int | None:
        """Return how many lines were left out since the last one, or None: no line."""
        window = self.windows.get(reason)
        if window is None or now >= window.ends_at:
            n_suppressed = 0 if window is None else window.n_suppressed
            self.windows[reason] = LogWindow(now + LOG_WINDOW, 1)
            return n_suppressed
        if window.n_lines < N_LOG_LINES:
            window.n_lines += 1
            return 0
        window.n_suppressed += 1
        return None


def is_too_slow(received_for: timedelta, n_bytes: int) -> bool:
    """Return whether a request arrives so slowly that its caller has given up."""
    return received_for > RECEIVE_TIME + timedelta(
        seconds=n_bytes / RECEIVE_BYTES_PER_S
    )


def get_n_connections(
    n_descriptors_limit: int | None, memory_limit_bytes: int | None
) -> int:
    """Return how many connections callers may have open at the same time."""
    bounds = [DEFAULT_N_CONNECTIONS]
    if n_descriptors_limit is not None:
        n_free = n_descriptors_limit - N_FILE_DESCRIPTORS - N_SERVICE_DESCRIPTORS
        n_free -= 2 * get_tunnels_limit(n_descriptors_limit)
        bounds.append(n_free // 2)
    if memory_limit_bytes is not None:
        bounds.append(
            int(memory_limit_bytes * CONNECTION_MEMORY_SHARE) // CONNECTION_BYTES
        )
    return max(N_CONNECTIONS_MIN, min(bounds))


def get_tunnels_limit(n_descriptors_limit: int | None) -> int:
    """Return how many tunnels to endpoints other hosts may have open."""
    if n_descriptors_limit is None:
        return DEFAULT_N_TUNNELS
    n_descriptors = int(n_descriptors_limit * TUNNEL_DESCRIPTORS_SHARE)
    return min(DEFAULT_N_TUNNELS, n_descriptors // 2)


def make_server_budget(
    memory_limit_bytes: int | None, n_descriptors_limit: int | None
) -> ServerBudget:
    """Return the budget for the callers of a process, from the limits of its host."""
    return ServerBudget(
        make_traffic_memory(get_memory_budget(memory_limit_bytes)),
        get_n_connections(n_descriptors_limit, memory_limit_bytes),
    )
