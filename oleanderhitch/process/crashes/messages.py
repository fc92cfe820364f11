"""What the nodes of a site tell each other about requests that crash endpoints."""

from enum import IntEnum

from oleanderhitch.request.ids import RequestFingerprint
from oleanderhitch.values import Value


class Suspicion(IntEnum):
    """How strongly a crash speaks against a request that the endpoint was running.

    STARTED: it had begun to run and had no output yet, as few have at any moment.
    UNDER_WAY: the endpoint sends nothing before it is done, so nothing tells what had
    begun from what had run well. QUEUED: it may not have begun. RUNNING: it had output,
    which is no proof that it was harmless: the next token may be the one that crashes.
    """

    RUNNING = 8
    QUEUED = 9
    UNDER_WAY = 10
    STARTED = 12


# Points at which content is sent no more: two endpoints crashed when it started, or
# three whatever it was doing.
CONVICTION = 24
# Points at which chance is out of the question: three crashed when it started.
LASTING_CONVICTION = 36


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
