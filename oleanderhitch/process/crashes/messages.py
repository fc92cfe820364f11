"""What the nodes of a site tell each other about requests that crash endpoints."""

from enum import IntEnum

from oleanderhitch.request.ids import RequestFingerprint
from oleanderhitch.values import Value


class Suspicion(IntEnum):
    """How strongly a crash speaks against a request that the endpoint was running.

    STARTED: it had begun to run and had no output yet. QUEUED: nothing shows whether it
    had begun. RUNNING: it had run well until then. A third of CONVICTION each, or less.
    """

    RUNNING = 1
    QUEUED = 2
    STARTED = 4


# Points at which content is sent no more: three endpoints crashed when it started.
CONVICTION = 3 * Suspicion.STARTED


class CrashTrace(Value, frozen=True):
    """A crash of an endpoint that was running a content, with its points.

    The ages are the times since the request was sent and since its connection broke.
    """

    n_points: int
    sent_age_ms: int
    age_ms: int


class CrashRecord(Value, frozen=True):
    """The crashes of endpoints that were running a content.

    `crashes` has them by the incarnation of the endpoint. Those that `cleared` names
    count no more, since the content has been served after them.
    """

    fingerprint: RequestFingerprint
    crashes: dict[str, CrashTrace]
    cleared: tuple[str, ...] = ()


class CrashesObserved(Value, frozen=True):
    """Reports crashes that this entry host has found."""

    records: tuple[CrashRecord, ...]
