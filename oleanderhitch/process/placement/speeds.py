"""Estimate how fast endpoints read prompts and generate output, with all entry hosts.

Answers engines that differ in speed for good before many entry hosts, each of which
sees an engine once in several seconds. A host learns by itself how long the engines of
a service take, as a line over the size of the batch and one over the length of the
prompt. It reports by which ratio each endpoint deviates from these lines, and the
leader returns the mean ratios of all hosts.
"""

from collections.abc import Callable, Sequence
from datetime import UTC, datetime, timedelta
from statistics import median

from msgspec import Struct, field

from oleanderhitch.process.placement.messages import (
    EndpointSpeed,
    RampObservations,
    SpeedObservations,
    SpeedsReported,
)
from oleanderhitch.version.ids import EndpointId

# Engine speeds from the data sheets and deployment files of the first two sites, which
# count until speeds were observed: prefill rate, time per output token on an idle
# engine, and the part of it that each further request of the batch adds to it.
PREFILL_TOKENS_PER_MS = 145.0
DECODE_MS_PER_TOKEN = 1.0
BATCH_OVERHEAD_RATIO = 0.04
# Ratios are reported in thousandths.
RATIO_UNIT = 1_000
# Estimates of equal engines differ by up to 10% from noise and because a change of less
# than a tenth is not reported. Within this ratio of the median an engine counts as
# equal, so that requests spread over equal engines.
EQUAL_RATIO_MAX = 1.15
# A neighbour slows an engine down 2.5 times for 0.6 s at a time. An observation counts
# as at most this multiple of the known ratio, so that such times move it little.
OBSERVATION_RATIO_MAX = 1.5
# How long estimates of an earlier leader count that the present one has not returned.
UNCONFIRMED_SPEED_TTL = timedelta(seconds=30)
# Shorter prompts tell more of the time until the first event without the prefill.
PREFILL_SAMPLE_TOKENS_MIN = 1_000
# Observations that a line remembers: about 20 s of an entry host.
N_LINE_OBSERVATIONS = 100.0
# Observations of this host on which a line must rest before ratios to it are reported;
# they take about two seconds.
N_LINE_OBSERVATIONS_MIN = 10
# Weight of the assumed line, in observations.
N_ASSUMED_OBSERVATIONS = 2.0
# Waits for the work of other entry hosts and engines that are slow for good lie above
# the line. They count as this multiple of it, before and after the line is known.
ASSUMED_LINE_RATIO_MAX = 3.0
LINE_RATIO_MAX = 1.5
# Standard deviations of the batch size and of the prompt tokens that a slope needs.
BATCH_DEVIATION_MIN = 0.7
TOKENS_DEVIATION_MIN = 500.0
# Bounds of what a line may show. Overheads of a batch were 0.005 to 0.04, prefill rates
# 145 to 256 tokens a millisecond. Until the first event passed 12 ms without the
# prefill, and the time of up to 34 tokens that this event may have.
BATCH_OVERHEAD_RATIO_MAX = 0.1
PREFILL_RATIO_MAX = 4.0
FIRST_EVENT_MS_MAX = 100.0


class Sums(Struct):
    """Sums of recent observations, which decay with each new one."""

    n: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0
    n_observed: int = 0

    @property
    def is_known(self) -> bool:
        """Whether the line rests on observations rather than on what was assumed."""
        return self.n_observed >= N_LINE_OBSERVATIONS_MIN

    @property
    def limit_ratio(self) -> float:
        """How far above the line an observation may count."""
        return LINE_RATIO_MAX if self.is_known else ASSUMED_LINE_RATIO_MAX

    def add(self, x: float, y: float) -> None:
        """Add an observation."""
        decay = 1 - 1 / N_LINE_OBSERVATIONS
        self.n = self.n * decay + 1
        self.x = self.x * decay + x
        self.y = self.y * decay + y
        self.xx = self.xx * decay + x * x
        self.xy = self.xy * decay + x * y
        self.n_observed += 1

    def find_slope(self, deviation_min: float) -> float | None:
        """Return the least squares slope, None if all `x` are about the same."""
        variance = self.n * self.xx - self.x * self.x
        if variance < (self.n * deviation_min) ** 2:
            return None
        return (self.n * self.xy - self.x * self.y) / variance


def _make_sums(*points: tuple[float, float]) -> Sums:
    """Return sums that start with an assumed line through points."""
    sums = Sums()
    weight = N_ASSUMED_OBSERVATIONS / len(points)
    for x, y in points:
        sums.n += weight
        sums.x += weight * x
        sums.y += weight * y
        sums.xx += weight * x * x
        sums.xy += weight * x * y
    return sums


def _make_decode_sums() -> Sums:
    n = 10.0
    idle_ms = DECODE_MS_PER_TOKEN
    return _make_sums((0.0, idle_ms), (n, idle_ms * (1 + n * BATCH_OVERHEAD_RATIO)))


def _make_prefill_sums() -> Sums:
    n = 10_000.0
    return _make_sums((0.0, 0.0), (n, n / PREFILL_TOKENS_PER_MS))


class ServiceSpeeds(Struct):
    """The speeds of a service's median endpoint, as this entry host has learned them.

    `decode_ms` is the time of an output token in a batch of one, of which each further
    request adds the part `batch_overhead_ratio`. `prefill_ms` is the time for a prompt
    token, `first_event_ms` the time until the first event without the prefill.
    """

    decode_ms: float = DECODE_MS_PER_TOKEN
    batch_overhead_ratio: float = BATCH_OVERHEAD_RATIO
    prefill_ms: float = 1 / PREFILL_TOKENS_PER_MS
    first_event_ms: float = 0.0
    decode_sums: Sums = field(default_factory=_make_decode_sums)
    prefill_sums: Sums = field(default_factory=_make_prefill_sums)


class SpeedReports(Struct):
    """The ratios that the leader has returned, of listed endpoints and others.

    What an earlier leader has returned counts until a time unless this one replaces it.
    """

    confirmed: dict[EndpointId, EndpointSpeed] = field(default_factory=dict)
    unconfirmed: dict[EndpointId, EndpointSpeed] = field(default_factory=dict)
    unconfirmed_until: datetime = datetime.min.replace(tzinfo=UTC)


class EndpointSpeeds(Struct):
    """Times of an endpoint as ratios to those of the service's median endpoint.

    `decode_ratio` and `prefill_ratio` are for decisions. The numbers and sums are of
    ratios that were observed and not yet reported, in thousandths.
    """

    reported: EndpointSpeed | None = None
    decode_ratio: float = 1.0
    prefill_ratio: float = 1.0
    n_decode: int = 0
    decode_sum: int = 0
    n_prefill: int = 0
    prefill_sum: int = 0


def observe_decode(
    speeds: EndpointSpeeds, service: ServiceSpeeds, ms_per_token: float, n_further: int
) -> None:
    """Add the time of an output token in a batch with `n_further` other requests."""
    expected_ms = service.decode_ms * get_batch_ratio(service, n_further)
    sums = service.decode_sums
    limit_ms = expected_ms * sums.limit_ratio
    sums.add(n_further, min(ms_per_token / speeds.decode_ratio, limit_ms))
    slope = sums.find_slope(BATCH_DEVIATION_MIN)
    if slope is not None:
        idle_ms = (sums.y - slope * sums.x) / sums.n
        ratio = slope / idle_ms if idle_ms > 0 else BATCH_OVERHEAD_RATIO_MAX
        service.batch_overhead_ratio = min(max(ratio, 0.0), BATCH_OVERHEAD_RATIO_MAX)
    service.decode_ms = sums.y / (sums.n + service.batch_overhead_ratio * sums.x)
    if sums.is_known:
        known = RATIO_UNIT if speeds.reported is None else speeds.reported.decode
        speeds.n_decode += 1
        speeds.decode_sum += _limit_ratio(ms_per_token / expected_ms, known)


def get_batch_ratio(service: ServiceSpeeds, n_further: int) -> float:
    """Return by how much `n_further` other requests lengthen each output token."""
    return 1 + service.batch_overhead_ratio * n_further


def observe_prefill(
    speeds: EndpointSpeeds, service: ServiceSpeeds, n_tokens: int, latency_ms: float
) -> None:
    """Add the time until a first event for which no other prefill had to end."""
    expected_ms = service.first_event_ms + n_tokens * service.prefill_ms
    sums = service.prefill_sums
    limit_ms = expected_ms * sums.limit_ratio
    if not sums.is_known:
        limit_ms += FIRST_EVENT_MS_MAX
    sums.add(n_tokens, min(latency_ms / speeds.prefill_ratio, limit_ms))
    slope = sums.find_slope(TOKENS_DEVIATION_MIN)
    if slope is not None:
        assumed = 1 / PREFILL_TOKENS_PER_MS
        slope = max(slope, assumed / PREFILL_RATIO_MAX)
        service.prefill_ms = min(slope, assumed * PREFILL_RATIO_MAX)
    rest_ms = (sums.y - service.prefill_ms * sums.x) / sums.n
    service.first_event_ms = min(max(rest_ms, 0.0), FIRST_EVENT_MS_MAX)
    if sums.is_known and n_tokens >= PREFILL_SAMPLE_TOKENS_MIN:
        known = RATIO_UNIT if speeds.reported is None else speeds.reported.prefill
        speeds.n_prefill += 1
        speeds.prefill_sum += _limit_ratio(latency_ms / expected_ms, known)


def _limit_ratio(ratio: float, known: int) -> int:
    """Return a ratio in thousandths, limited to a multiple of the known one."""
    limited = min(ratio * RATIO_UNIT, known * OBSERVATION_RATIO_MAX)
    return round(max(limited, known / OBSERVATION_RATIO_MAX))


def take_observations(
    endpoint: EndpointId,
    born_ms: int,
    speeds: EndpointSpeeds,
    ramp: RampObservations | None,
) -> SpeedObservations | None:
    """Return what was observed since the last call, None if nothing was."""
    if not speeds.n_decode and not speeds.n_prefill and ramp is None:
        return None
    taken = SpeedObservations(
        endpoint,
        born_ms,
        speeds.n_decode,
        speeds.decode_sum,
        speeds.n_prefill,
        speeds.prefill_sum,
        ramp,
    )
    speeds.n_decode = speeds.decode_sum = speeds.n_prefill = speeds.prefill_sum = 0
    return taken


def record_reports(
    reports: SpeedReports, message: SpeedsReported, now: datetime
) -> None:
    """Record the ratios that the leader has returned."""
    if message.is_complete:
        reports.unconfirmed = reports.unconfirmed | reports.confirmed
        reports.unconfirmed_until = now + UNCONFIRMED_SPEED_TTL
        reports.confirmed = {}
    for reported in message.speeds:
        reports.confirmed[reported.endpoint] = reported


def find_report(
    reports: SpeedReports, endpoint: EndpointId, born_ms: int, now: datetime
) -> EndpointSpeed | None:
    """Return the report on an endpoint that was started at `born_ms`, None without."""
    if reports.unconfirmed and now >= reports.unconfirmed_until:
        reports.unconfirmed = {}
    found = reports.confirmed.get(endpoint) or reports.unconfirmed.get(endpoint)
    return found if found is not None and found.born_ms == born_ms else None


def update_ratios(all_speeds: Sequence[EndpointSpeeds]) -> None:
    """Set the ratios of a service's endpoints for decisions from what is reported."""
    decode = _compare(all_speeds, lambda reported: reported.decode)
    prefill = _compare(all_speeds, lambda reported: reported.prefill)
    for speeds, decode_ratio, prefill_ratio in zip(
        all_speeds, decode, prefill, strict=True
    ):
        speeds.decode_ratio, speeds.prefill_ratio = decode_ratio, prefill_ratio


def is_slow(speeds: EndpointSpeeds) -> bool:
    """Return whether an endpoint counts as slower than the median in either way."""
    return max(speeds.decode_ratio, speeds.prefill_ratio) > 1.0


def _compare(
    all_speeds: Sequence[EndpointSpeeds], get_ratio: Callable[[EndpointSpeed], int]
) -> list[float]:
    """Return the ratios to the median; about equal ones are 1.

    The leader reports no endpoint whose ratio has always been about 1.
    """
    known = [
        RATIO_UNIT if speeds.reported is None else get_ratio(speeds.reported)
        for speeds in all_speeds
    ]
    median_ratio = median(known)
    ratios = [ratio / median_ratio for ratio in known]
    return [
        1.0 if 1 / EQUAL_RATIO_MAX <= ratio <= EQUAL_RATIO_MAX else ratio
        for ratio in ratios
    ]
