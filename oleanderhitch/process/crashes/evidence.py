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
from oleanderhitch.process.crashes.messages import CONVICTION, CrashRecord
from oleanderhitch.request.ids import RequestFingerprint

# How long crashes are remembered. Content that was convicted may be sent once more
# after that; the next crash of it starts a new record.
QUARANTINE_DURATION = timedelta(minutes=10)
# A crash interrupts up to some hundred requests; the latest records are kept.
N_RECORDS_LIMIT = 512
MILLISECOND = timedelta(milliseconds=1)


class _Record(Struct):
    crashes: dict[str, int]
    cleared: set[str]
    crashed_at: datetime


class CrashEvidence(Struct):
    """The crash records of one node; `digest` stands for their content."""

    records: dict[RequestFingerprint, _Record] = field(default_factory=dict)
    digest: CrashesDigest = NO_CRASHES

    def merge(
        self, records: tuple[CrashRecord, ...], now: datetime
    ) -> set[RequestFingerprint]:
        """Add what another node knows; return the content that this convicts."""
        before = self.list_convicted()
        for record in records:
            crashed_at = now - record.age_ms * MILLISECOND
            if now - crashed_at < QUARANTINE_DURATION:
                self._merge_record(record, crashed_at)
        self._limit()
        self._update_digest()
        return self.list_convicted() - before

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
        expired = [
            fingerprint
            for fingerprint, record in self.records.items()
            if now - record.crashed_at >= QUARANTINE_DURATION
        ]
        for fingerprint in expired:
            del self.records[fingerprint]
        if expired:
            self._update_digest()
        return bool(expired)

    def list_records(self, now: datetime) -> tuple[CrashRecord, ...]:
        """Return all records."""
        return tuple(
            CrashRecord(
                fingerprint,
                dict(record.crashes),
                tuple(sorted(record.cleared)),
                max(0, int((now - record.crashed_at) / MILLISECOND)),
            )
            for fingerprint, record in self.records.items()
        )

    def list_points(self) -> dict[RequestFingerprint, int]:
        """Return the points against each content that has any."""
        points = {
            fingerprint: _count_points(record)
            for fingerprint, record in self.records.items()
        }
        return {name: n_points for name, n_points in points.items() if n_points}

    def list_convicted(self) -> set[RequestFingerprint]:
        """Return the content that is sent no more."""
        return {
            fingerprint
            for fingerprint, record in self.records.items()
            if _count_points(record) >= CONVICTION
        }

    def _merge_record(self, record: CrashRecord, crashed_at: datetime) -> None:
        known = self.records.get(record.fingerprint)
        if known is None:
            self.records[record.fingerprint] = _Record(
                dict(record.crashes), set(record.cleared), crashed_at
            )
            return
        for incarnation, points in record.crashes.items():
            known.crashes[incarnation] = max(points, known.crashes.get(incarnation, 0))
        known.cleared.update(record.cleared)
        known.crashed_at = max(known.crashed_at, crashed_at)

    def _limit(self) -> None:
        if len(self.records) <= N_RECORDS_LIMIT:
            return
        ranked = sorted(
            self.records.items(),
            key=lambda item: (
                _count_points(item[1]) >= CONVICTION,
                item[1].crashed_at,
            ),
        )
        for fingerprint, _ in ranked[: len(ranked) - N_RECORDS_LIMIT]:
            del self.records[fingerprint]

    def _update_digest(self) -> None:
        text = " ".join(
            f"{fingerprint}/{sorted(record.crashes.items())}/{sorted(record.cleared)}"
            for fingerprint, record in sorted(self.records.items())
        )
        digest = xxhash.xxh3_64_intdigest(text.encode())
        self.digest = CrashesDigest(digest) if self.records else NO_CRASHES


def _count_points(record: _Record) -> int:
    return sum(
        points
        for incarnation, points in record.crashes.items()
        if incarnation not in record.cleared
    )


def make_crash_evidence() -> CrashEvidence:
    """Return the evidence of a node that knows of no crash."""
    return CrashEvidence()
