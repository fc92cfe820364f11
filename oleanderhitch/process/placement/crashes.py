"""Find out which requests an endpoint was running when it crashed.

A connection that breaks proves nothing: an answer may be lost on its way. The endpoint
has crashed if after it no connection can be made, another server answers at its
address, or the list names it no more or as started again.
"""

from datetime import datetime, timedelta

from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.placement.messages import AttemptResult
from oleanderhitch.process.placement.records import Endpoint, InterruptedRequest, Permit
from oleanderhitch.request.ids import RequestFingerprint
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId

# The list names a crashed endpoint for some seconds more.
CRASH_DETECTION_TIMEOUT = timedelta(seconds=10)
# Requests under way at one endpoint; more than these are not of interest.
N_INTERRUPTED_LIMIT = 256
# Results that show that the endpoint is not at its address.
ABSENCE_RESULTS = (AttemptResult.NOT_CONNECTED, AttemptResult.MISDIRECTED)


class EndpointCrashed(Value, frozen=True):
    """Logs that an endpoint has crashed and which requests it was running."""

    endpoint: EndpointId
    born_ms: int
    fingerprints: tuple[RequestFingerprint, ...]


def record_attempt_end(
    permit: Permit, result: AttemptResult, endpoint: Endpoint, now: datetime
) -> list[EndpointCrashed]:
    """Record how an attempt has ended; return the crash that this shows, if any."""
    if result is AttemptResult.CONNECTION_LOST:
        if len(endpoint.interrupted) < N_INTERRUPTED_LIMIT:
            interrupted = InterruptedRequest(permit.fingerprint, now)
            endpoint.interrupted.append(interrupted)
        return []
    if result in ABSENCE_RESULTS:
        return find_crash(endpoint, now)
    if result is AttemptResult.COMPLETED:
        # An endpoint that serves what it got after a connection broke is still there.
        endpoint.interrupted = [
            interrupted
            for interrupted in endpoint.interrupted
            if interrupted.at >= permit.granted_at
        ]
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


def find_crash(endpoint: Endpoint, now: datetime) -> list[EndpointCrashed]:
    """Return the crash of an endpoint that is absent, if it was running requests."""
    interrupted, endpoint.interrupted = endpoint.interrupted, []
    fingerprints = sorted(
        {
            request.fingerprint
            for request in interrupted
            if now - request.at <= CRASH_DETECTION_TIMEOUT
        }
    )
    if endpoint.is_leaving or not fingerprints:
        return []
    listed = endpoint.listed
    return [EndpointCrashed(listed.endpoint, listed.born_ms, tuple(fingerprints))]
