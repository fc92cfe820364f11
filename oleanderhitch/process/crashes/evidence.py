"""Collect the evidence of all entry hosts against requests that crash endpoints.

Answers the content that comes again at any host: no host alone sees the crashes that
the repetitions at the others cause. Every node keeps all records; to merge two sets is
to unite them, in any order and as often as may be, so that a new leader has them from
the first hello of any entry host.
"""

from datetime import datetime, timedelta

import xxhash
from msgspec import Struct, field

from oleanderhitch.process.crashes.ids import NO_CRASHES, CrashesDigest
from oleanderhitch.process.crashes.messages import (
    CONVICTION,
    LASTING_CONVICTION,
    CrashRecord,
    CrashTrace,
)
from oleanderhitch.request.ids import RequestFingerprint

# How long a convicted content is remembered, and one with a lasting conviction is not
# sent. After that it may be sent again; the next crash of it starts a new record.
MEMORY_DURATION = timedelta(minutes=10)
# How long content is remembered that has not been convicted: most only ran beside it.
SUSPICION_DURATION = timedelta(minutes=2)
# How often old records are looked for, which takes a look at each.
EXPIRY_INTERVAL = timedelta(seconds=1)
# After the first conviction one more send shows whether it was by chance.
FIRST_QUARANTINE_DURATION = timedelta(seconds=30)
# A crash interrupts up to some hundred requests; those with the most points are kept.
N_RECORDS_LIMIT = 512
MILLISECOND = timedelta(milliseconds=1)


class _Crash(Struct):
    n_points: int
    sent_at: datetime
    at: datetime


class _Record(Struct):
    crashes: dict[str, _Crash] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)

    @property
    def crashed_at(self) -> datetime:
        """The time of the last crash."""
        return max(crash.at for crash in self.crashes.values())


class CrashEvidence(Struct):
    """The crash records of one node; `digest` stands for their content."""

    records: dict[RequestFingerprint, _Record] = field(default_factory=dict)
    digest: CrashesDigest = NO_CRASHES
    expired_at: datetime | None = None

    def merge(
        self, records: tuple[CrashRecord, ...], now: datetime
    ) -> frozenset[RequestFingerprint]:
        """Add what another node knows; return the content that this quarantines."""
        if not records:
            return frozenset()
        before = self.list_quarantined(now)
        for record in records:
            ages = [trace.age_ms for trace in record.crashes.values()]
            if ages and min(ages) * MILLISECOND < MEMORY_DURATION:
                self._merge_record(record, now)
        self._drop_expired(now)
        self._limit()
        self._update_digest()
        return self.list_quarantined(now) - before

    def clear(self, fingerprint: RequestFingerprint) -> bool:
        """Discount all crashes of content that was served; return whether any counted.

        Crashes that come to be known later still count.
        """
        record = self.records.get(fingerprint)
        if record is None or record.cleared.issuperset(record.crashes):
            return False
        record.cleared.update(record.crashes)
        self._update_digest()
        return True

    def expire(self, now: datetime) -> bool:
        """Forget crashes of long ago; return whether there were any."""
        if self.expired_at is not None and now - self.expired_at < EXPIRY_INTERVAL:
            return False
        self.expired_at = now
        if not self._drop_expired(now):
            return False
        self._update_digest()
        return True

    def list_records(self, now: datetime) -> tuple[CrashRecord, ...]:
        """Return all records."""
        return tuple(
            CrashRecord(
                fingerprint,
                {
                    incarnation: CrashTrace(
                        crash.n_points,
                        _get_age_ms(crash.sent_at, now),
                        _get_age_ms(crash.at, now),
                    )
                    for incarnation, crash in record.crashes.items()
                },
                tuple(sorted(record.cleared)),
            )
            for fingerprint, record in self.records.items()
        )

    def list_suspected(self) -> frozenset[RequestFingerprint]:
        """Return the content that has any points against it."""
        return frozenset(
            fingerprint
            for fingerprint, record in self.records.items()
            if _count_points(record)
        )

    def list_quarantined(self, now: datetime) -> frozenset[RequestFingerprint]:
        """Return the content that is not sent at the moment."""
        return frozenset(
            fingerprint
            for fingerprint, record in self.records.items()
            if _is_quarantined(record, now)
        )

    def _merge_record(self, record: CrashRecord, now: datetime) -> None:
        known = self.records.setdefault(record.fingerprint, _Record())
        for incarnation, trace in record.crashes.items():
            crash = known.crashes.get(incarnation)
            if crash is None:
                known.crashes[incarnation] = _Crash(
                    trace.n_points,
                    now - trace.sent_age_ms * MILLISECOND,
                    now - trace.age_ms * MILLISECOND,
                )
            else:
                crash.n_points = max(crash.n_points, trace.n_points)
        known.cleared.update(record.cleared)

    def _drop_expired(self, now: datetime) -> bool:
        expired = [
            fingerprint
            for fingerprint, record in self.records.items()
            if now - record.crashed_at >= _get_memory_duration(record)
        ]
        for fingerprint in expired:
            del self.records[fingerprint]
        return bool(expired)

    def _limit(self) -> None:
        if len(self.records) <= N_RECORDS_LIMIT:
            return
        # The order is the same on all nodes, so that they keep the same records and do
        # not send each other what the other has dropped.
        ranked = sorted(
            self.records.items(), key=lambda item: (_count_points(item[1]), item[0])
        )
        for fingerprint, _ in ranked[: len(ranked) - N_RECORDS_LIMIT]:
            del self.records[fingerprint]

    def _update_digest(self) -> None:
        text = " ".join(
            f"{fingerprint}/{_describe(record)}/{sorted(record.cleared)}"
            for fingerprint, record in sorted(self.records.items())
        )
        digest = xxhash.xxh3_64_intdigest(text.encode())
        self.digest = CrashesDigest(digest) if self.records else NO_CRASHES


def _get_memory_duration(record: _Record) -> timedelta:
    is_convicted = _count_points(record) >= CONVICTION
    return MEMORY_DURATION if is_convicted else SUSPICION_DURATION


def _is_quarantined(record: _Record, now: datetime) -> bool:
    n_points = _count_points(record)
    is_lasting = n_points >= LASTING_CONVICTION
    duration = MEMORY_DURATION if is_lasting else FIRST_QUARANTINE_DURATION
    return n_points >= CONVICTION and now - record.crashed_at < duration


def _count_points(record: _Record) -> int:
    """Return the points of crashes one after the other.

    Content that many callers ask for runs on many endpoints. If these crash together,
    as with their rack, that is one crash; only content that is sent again afterwards
    and takes down the next one is suspected more.
    """
    n_points = 0
    last_crash_at: datetime | None = None
    counting = (
        crash
        for incarnation, crash in record.crashes.items()
        if incarnation not in record.cleared
    )
    for crash in sorted(counting, key=lambda crash: crash.at):
        if last_crash_at is None or crash.sent_at >= last_crash_at:
            n_points += crash.n_points
            last_crash_at = crash.at
    return n_points


def _describe(record: _Record) -> list[tuple[str, int]]:
    return sorted((name, crash.n_points) for name, crash in record.crashes.items())


def _get_age_ms(at: datetime, now: datetime) -> int:
    return max(0, int((now - at) / MILLISECOND))


def make_crash_evidence() -> CrashEvidence:
    """Return the evidence of a node that knows of no crash."""
    return CrashEvidence()
