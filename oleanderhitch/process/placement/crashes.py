"""Find out which requests an endpoint was running when it crashed.

A connection that breaks proves nothing: an answer may be lost on its way. The endpoint
has crashed if several connections break at once, or if after it no connection can be
made, another server answers at its address, or the list names it no more or as started
again. It counts as crashed too if the same content loses its connection there twice in
a row: an endpoint that is back before anybody else asks for it shows nothing else.
"""

from datetime import datetime, timedelta

from oleanderhitch.process.crashes.messages import (
    CrashRecord,
    CrashTrace,
    Suspicion,
)
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.placement.messages import (
    AttemptProgress,
    AttemptResult,
    ReleaseEndpoint,
)
from oleanderhitch.process.placement.records import (
    Endpoint,
    InterruptedRequest,
    Permit,
)
from oleanderhitch.request.ids import RequestFingerprint
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId

# The list names a crashed endpoint for some seconds more.
CRASH_DETECTION_TIMEOUT = timedelta(seconds=10)
# The connections of a process that ends break within a few round trips.
SIMULTANEOUS_INTERVAL = timedelta(milliseconds=50)
# Requests under way at one endpoint; more than these are not of interest.
N_INTERRUPTED_LIMIT = 256
# Results that show that the endpoint is not at its address.
ABSENCE_RESULTS = (AttemptResult.NOT_CONNECTED, AttemptResult.MISDIRECTED)
MILLISECOND = timedelta(milliseconds=1)


class EndpointCrashed(Value, frozen=True):
    """Logs and shares that an endpoint has crashed and what it was running."""

    endpoint: EndpointId
    records: tuple[CrashRecord, ...]


class ContentServed(Value, frozen=True):
    """Shares that content was served which endpoints were running when they crashed."""

    fingerprint: RequestFingerprint


def record_attempt_end(
    permit: Permit, message: ReleaseEndpoint, endpoint: Endpoint, now: datetime
) -> list[EndpointCrashed]:
    """Record how an attempt has ended; return the crash that this shows, if any."""
    if message.result is AttemptResult.CONNECTION_LOST:
        is_repeated = _was_lost_before(permit, endpoint)
        suspicion = _get_suspicion(permit, message.progress)
        interrupted = InterruptedRequest(
            permit.fingerprint, suspicion, permit.granted_at, now
        )
        if len(endpoint.interrupted) < N_INTERRUPTED_LIMIT:
            endpoint.interrupted.append(interrupted)
        is_crash = is_repeated or _has_crashed(endpoint, now)
        return find_crash(endpoint, now, is_repeated) if is_crash else []
    if message.result in ABSENCE_RESULTS:
        return find_crash(endpoint, now)
    if message.result is AttemptResult.COMPLETED:
        _record_presence(permit.granted_at, endpoint)
    return []


def find_listed_crashes(
    previous: dict[EndpointId, Endpoint],
    listed: tuple[ListedEndpoint, ...],
    now: datetime,
) -> list[EndpointCrashed]:
    """Return the crashes that a new list shows."""
    born_ms = {endpoint.endpoint: endpoint.born_ms for endpoint in listed}
    return [
        crash
        for name, endpoint in previous.items()
        if born_ms.get(name) != endpoint.listed.born_ms
        for crash in find_crash(endpoint, now)
    ]


def find_crash(
    endpoint: Endpoint, now: datetime, is_back: bool = False
) -> list[EndpointCrashed]:
    """Return the crash of an endpoint that is absent, if it was running requests.

    One that is back under its id, or was found before, may crash more than once, and
    its crashes have names of their own.
    """
    is_back = is_back or endpoint.crash_found_at is not None
    interrupted, endpoint.interrupted = endpoint.interrupted, []
    recent = [
        request
        for request in interrupted
        if now - request.at <= CRASH_DETECTION_TIMEOUT
    ]
    if endpoint.is_leaving or not recent:
        return []
    endpoint.crash_found_at = now
    listed = endpoint.listed
    incarnation = f"{listed.endpoint}/{listed.born_ms}"
    records = tuple(
        CrashRecord(
            request.fingerprint,
            {
                _name_crash(incarnation, request, is_back): CrashTrace(
                    int(request.suspicion),
                    int((now - request.sent_at) / MILLISECOND),
                    int((now - request.at) / MILLISECOND),
                )
            },
        )
        for request in recent
    )
    return [EndpointCrashed(listed.endpoint, records)]


def _name_crash(incarnation: str, request: InterruptedRequest, is_back: bool) -> str:
    if not is_back:
        return incarnation
    return f"{incarnation}/{int(request.at.timestamp() / MILLISECOND.total_seconds())}"


def _was_lost_before(permit: Permit, endpoint: Endpoint) -> bool:
    """Return whether the content lost an earlier connection to the same endpoint.

    Nothing that was sent after that was served there, or the loss would be forgotten.
    """
    return any(
        request.fingerprint == permit.fingerprint and request.at <= permit.granted_at
        for request in endpoint.interrupted
    )


def _get_suspicion(permit: Permit, progress: AttemptProgress) -> Suspicion:
    if progress is AttemptProgress.OUTPUT:
        return Suspicion.RUNNING
    if progress is AttemptProgress.HEAD:
        return Suspicion.STARTED
    return Suspicion.QUEUED if permit.is_engine else Suspicion.UNDER_WAY


def _has_crashed(endpoint: Endpoint, now: datetime) -> bool:
    if endpoint.crash_found_at is not None:
        return True
    recent = [
        request
        for request in endpoint.interrupted
        if now - request.at <= SIMULTANEOUS_INTERVAL
    ]
    return len(recent) > 1


def _record_presence(granted_at: datetime, endpoint: Endpoint) -> None:
    """Record that an endpoint has served what it got at a time, so it is there."""
    if endpoint.crash_found_at is not None and granted_at > endpoint.crash_found_at:
        endpoint.crash_found_at = None
    endpoint.interrupted = [
        interrupted
        for interrupted in endpoint.interrupted
        if interrupted.at >= granted_at
    ]
