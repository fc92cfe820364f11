"""Average the speeds of endpoints that all entry hosts observe.

Answers many entry hosts that each see an endpoint once in several seconds, too seldom
to tell a slow engine from one whose neighbour is busy for half a second. The cost of a
hello grows with what the host has observed, that of a status with what has changed.
"""

from collections import OrderedDict
from datetime import datetime, timedelta

from msgspec import Struct, field

from oleanderhitch.process.placement.messages import EndpointSpeed, SpeedObservations
from oleanderhitch.process.placement.speeds import RATIO_UNIT
from oleanderhitch.process.site.messages import SpeedsChange, SpeedsVersion
from oleanderhitch.process.site.ramps import Ramp, RampChange
from oleanderhitch.version.ids import EndpointId

# A noisy neighbour slows all observations of half a second, so that their number does
# not make a mean certain. Over this time it varies by a few percent. With 5 s, requests
# avoided engines whose neighbour had been busy, and equal engines were slower by 5 to
# 10% in trials.
HALF_LIFE = timedelta(seconds=15)
# Observations of the median speed, or for the prefill of the speed of the decode, that
# are assumed of each endpoint: more than there are while a neighbour is noisy. One that
# gets no requests since it was slow returns to the median, so that requests show
# whether it still is: after 60 observations of twice the time, within 90 s.
N_ASSUMED_OBSERVATIONS = 20.0
# Smaller changes are not sent.
CHANGE_MIN = 0.1
# Endpoints with fewer observations left, decayed, are forgotten.
N_OBSERVATIONS_MIN = 0.1
# How often the means are checked that change since there are no observations.
REVIEW_INTERVAL = timedelta(seconds=1)


class _Mean(Struct):
    """A decaying mean of ratios in thousandths, and the one that was published last."""

    n: float = 0.0
    total: float = 0.0
    updated_at: datetime | None = None
    published: int = RATIO_UNIT

    def add(self, n: int, total: int, now: datetime) -> None:
        """Add the sum of `n` observations."""
        if self.updated_at is not None:
            age = max(now - self.updated_at, timedelta(0))
            decay = float(0.5 ** (age / HALF_LIFE))
            self.n *= decay
            self.total *= decay
        self.n += n
        self.total += total
        self.updated_at = now

    def estimate(self, assumed: float) -> float:
        """Return the mean together with the observations that are assumed."""
        total = self.total + N_ASSUMED_OBSERVATIONS * assumed
        return total / (self.n + N_ASSUMED_OBSERVATIONS)

    def publish(self, mean: float) -> bool:
        """Publish a mean if it has changed by a tenth; return whether it has."""
        if abs(mean - self.published) <= CHANGE_MIN * self.published:
            return False
        self.published = max(1, round(mean))
        return True


class _Endpoint(Struct):
    """The speeds of an endpoint, changed last in the version `number`."""

    born_ms: int
    number: int = 0
    decode: _Mean = field(default_factory=_Mean)
    prefill: _Mean = field(default_factory=_Mean)
    ramp: Ramp = field(default_factory=Ramp)
    published_allowed: int = 0

    def publish(self) -> bool:
        """Publish what has changed; return whether anything has."""
        decode = self.decode.estimate(RATIO_UNIT)
        is_decode_new = self.decode.publish(decode)
        # A slow machine is slow at both, and its prefill is observed more seldom.
        is_prefill_new = self.prefill.publish(self.prefill.estimate(decode))
        is_ramp_new = self.ramp.n_allowed != self.published_allowed
        self.published_allowed = self.ramp.n_allowed
        return is_decode_new or is_prefill_new or is_ramp_new


class SpeedTotals(Struct):
    """The speeds of all endpoints, last changed last, as one leader learns them."""

    term: int
    number: int = 0
    endpoints: OrderedDict[EndpointId, _Endpoint] = field(default_factory=OrderedDict)
    reviewed_at: datetime | None = None

    def observe(self, observed: SpeedObservations, now: datetime) -> RampChange:
        """Add what an entry host has observed; return what it changes of a ramp."""
        endpoint = self.endpoints.get(observed.endpoint)
        if endpoint is None or observed.born_ms > endpoint.born_ms:
            endpoint = self.endpoints[observed.endpoint] = _Endpoint(observed.born_ms)
            self.endpoints.move_to_end(observed.endpoint, last=False)
        elif observed.born_ms < endpoint.born_ms:
            return RampChange.NONE
        endpoint.decode.add(observed.n_decode, observed.decode_sum, now)
        endpoint.prefill.add(observed.n_prefill, observed.prefill_sum, now)
        change = RampChange.NONE
        if observed.ramp is not None:
            change = endpoint.ramp.observe(observed.ramp, now)
        self._publish(observed.endpoint, endpoint)
        return change

    def find_change(self, known: SpeedsVersion, now: datetime) -> SpeedsChange | None:
        """Return what has changed since a version, None if nothing has."""
        self._review(now)
        version = SpeedsVersion(self.term, self.number)
        if known == version:
            return None
        is_complete = known.term != self.term
        known_number = 0 if is_complete else known.number
        speeds = []
        for name, endpoint in reversed(self.endpoints.items()):
            if endpoint.number <= known_number:
                break
            speeds.append(
                EndpointSpeed(
                    name,
                    endpoint.born_ms,
                    endpoint.decode.published,
                    endpoint.prefill.published,
                    endpoint.published_allowed,
                )
            )
        return SpeedsChange(version, is_complete, tuple(speeds))

    def _review(self, now: datetime) -> None:
        """Let the speeds of endpoints return that are not observed any more."""
        if self.reviewed_at is not None and now - self.reviewed_at < REVIEW_INTERVAL:
            return
        self.reviewed_at = now
        for name, endpoint in list(self.endpoints.items()):
            endpoint.decode.add(0, 0, now)
            endpoint.prefill.add(0, 0, now)
            n_left = max(endpoint.decode.n, endpoint.prefill.n)
            endpoint.ramp.end_if_idle(now)
            is_changed = self._publish(name, endpoint)
            is_ramping = endpoint.ramp.n_allowed > 0
            if n_left < N_OBSERVATIONS_MIN and not is_changed and not is_ramping:
                del self.endpoints[name]

    def _publish(self, name: EndpointId, endpoint: _Endpoint) -> bool:
        if not endpoint.publish():
            return False
        self.number += 1
        endpoint.number = self.number
        self.endpoints.move_to_end(name)
        return True


def make_speed_totals(now: datetime) -> SpeedTotals:
    """Return the totals of a leader that starts now."""
    return SpeedTotals(int(now.timestamp() * 1000))
