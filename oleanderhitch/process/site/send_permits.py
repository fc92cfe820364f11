"""Share the rate limits that endpoints name among all entry hosts.

Answers many entry hosts before an endpoint in need: its limit holds for all of them
together, so one place has to count. The leader grants each send to a limited endpoint;
the limit itself bounds how many questions it gets.
"""

from datetime import datetime, timedelta

import xxhash
from msgspec import Struct, field

from oleanderhitch.process.placement.messages import (
    EndpointLimit,
    ExhaustedEndpoint,
    SendPermitReply,
    SendPermitRequest,
)
from oleanderhitch.process.site.messages import NO_LIMITS, LimitsDigest
from oleanderhitch.version.ids import EndpointId

# Sends that an endpoint may get at once after a pause, as a part of its limit.
BURST_DURATION = timedelta(milliseconds=500)
# An endpoint ends its limit by an answer without one, so it has to get some requests
# even if it takes none.
REQUESTS_PER_S_MIN = 0.25
# Endpoints without a request for this long are forgotten; the next question of an entry
# host names their limit again.
LIMIT_TTL = timedelta(seconds=60)
MILLISECOND = timedelta(milliseconds=1)


class _LimitedEndpoint(Struct):
    born_ms: int
    requests_per_s: float | None
    observed_at: datetime
    # When the endpoint would be idle again if it took each send for the whole interval
    # that its limit leaves between two.
    busy_until: datetime


class SendPermits(Struct):
    """The limits of endpoints and the sends that entry hosts were granted."""

    endpoints: dict[EndpointId, _LimitedEndpoint] = field(default_factory=dict)
    digest: LimitsDigest = NO_LIMITS

    def observe(self, limit: EndpointLimit, now: datetime) -> bool:
        """Record what an entry host has observed; return whether the limit is new."""
        observed_at = now - limit.age_ms * MILLISECOND
        known = self.endpoints.get(limit.endpoint)
        if known is None or limit.born_ms > known.born_ms:
            self.endpoints[limit.endpoint] = _LimitedEndpoint(
                limit.born_ms, limit.requests_per_s, observed_at, now
            )
            self._update_digest()
            return True
        if limit.born_ms < known.born_ms or observed_at < known.observed_at:
            return False
        known.observed_at = observed_at
        if known.requests_per_s == limit.requests_per_s:
            return False
        known.requests_per_s = limit.requests_per_s
        self._update_digest()
        return True

    def grant(self, request: SendPermitRequest, now: datetime) -> SendPermitReply:
        """Grant a send to the first endpoint that takes one, or say when they will."""
        exhausted: list[ExhaustedEndpoint] = []
        for limit in request.limits:
            wait = self._take(self.endpoints[limit.endpoint], now)
            if wait is None:
                return SendPermitReply(
                    request.number, True, limit.endpoint, tuple(exhausted)
                )
            wait_ms = int(wait / MILLISECOND) + 1
            exhausted.append(ExhaustedEndpoint(limit.endpoint, wait_ms))
        return SendPermitReply(request.number, True, None, tuple(exhausted))

    def list_limits(self, now: datetime) -> tuple[EndpointLimit, ...]:
        """Return the limits that are known, ended ones included."""
        return tuple(
            EndpointLimit(
                name,
                endpoint.born_ms,
                endpoint.requests_per_s,
                int(max(now - endpoint.observed_at, timedelta(0)) / MILLISECOND),
            )
            for name, endpoint in sorted(self.endpoints.items())
        )

    def expire(self, now: datetime) -> None:
        """Forget endpoints of which nothing was observed for LIMIT_TTL."""
        expired = [
            name
            for name, endpoint in self.endpoints.items()
            if now - endpoint.observed_at > LIMIT_TTL
        ]
        for name in expired:
            del self.endpoints[name]
        if expired:
            self._update_digest()

    def _take(self, endpoint: _LimitedEndpoint, now: datetime) -> timedelta | None:
        """Count a send; return None, or how long to wait if the limit is reached."""
        if endpoint.requests_per_s is None:
            return None
        wait = endpoint.busy_until - BURST_DURATION - now
        if wait > timedelta(0):
            return wait
        interval = timedelta(
            seconds=1 / max(endpoint.requests_per_s, REQUESTS_PER_S_MIN)
        )
        endpoint.busy_until = max(endpoint.busy_until, now) + interval
        return None

    def _update_digest(self) -> None:
        text = " ".join(
            f"{name}/{endpoint.born_ms}/{endpoint.requests_per_s}"
            for name, endpoint in sorted(self.endpoints.items())
        )
        self.digest = LimitsDigest(xxhash.xxh3_64_intdigest(text.encode()))
