"""Guard against endpoints that get more than the rate limit that they name.

Pattern: many entry hosts before an endpoint in need, which names one limit for all of
them together.
"""

from collections import defaultdict
from datetime import UTC, datetime, timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.core import SendReply, handle
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    AttemptResult,
    EndpointGranted,
    EndpointRateLimited,
    EndpointsListed,
    FirstChunkReceived,
    InferenceWorkload,
    PromptPart,
    ReleaseEndpoint,
)
from oleanderhitch.process.placement.records import PlacementState
from oleanderhitch.request.ids import RequestId
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName

NOW = datetime(2026, 1, 1, tzinfo=UTC)
HOME = DataCentreName("home")
SERVICE = ServiceName("s")
REPLY = make_mailbox("test")
MS = timedelta(milliseconds=1)
ANSWER_DELAY = 3 * MS
WORK_DURATION = 100 * MS
TICK_INTERVAL = 50 * MS
# The limits are named from the start; the check begins when the users' rule does, and
# its bound is theirs: in some 4 s half as much again as the limit allows, and five.
CHECKED_FROM = timedelta(seconds=3)
WINDOW = timedelta(seconds=4)


def get_allowed(requests_per_s: float) -> float:
    """Return how many requests an endpoint may get in WINDOW."""
    return 1.5 * requests_per_s * WINDOW.total_seconds() + 5


class LimitedFleet:
    """Entry hosts, without a network, before endpoints of which some name a limit."""

    def __init__(self, n_hosts: int, limits: dict[str, float | None]) -> None:
        self._random = Random(1)
        self._limits = limits
        listed = tuple(
            ListedEndpoint(
                EndpointId(name), SERVICE, HostAddress("10.0.0.1:80"), HOME, 48, False
            )
            for name in limits
        )
        self._hosts = [
            PlacementState(HOME, f"entry-{number}", Random(number))
            for number in range(n_hosts)
        ]
        for host in self._hosts:
            handle(EndpointsListed(listed), host, NOW)
        self._due: list[tuple[datetime, int, PlacementState, object]] = []
        self._numbers = count()
        self.sends: defaultdict[str, list[datetime]] = defaultdict(list)
        self.asked_at: dict[str, datetime] = {}
        self.waits: dict[str, timedelta] = {}

    def play(self, requests_per_s: float, duration: timedelta) -> None:
        """Let requests arrive at uneven hosts for a time."""
        at = NOW
        weights = [1 + number % 4 for number in range(len(self._hosts))]
        while at < NOW + duration:
            (host,) = self._random.choices(self._hosts, weights)
            self._schedule(at, host, self._make_request(at))
            at += timedelta(seconds=self._random.expovariate(requests_per_s))
        for host in self._hosts:
            for number in range(int(duration / TICK_INTERVAL)):
                self._schedule(NOW + number * TICK_INTERVAL, host, Tick())
        while self._due:
            at, _, host, message = heappop(self._due)
            for effect in handle(message, host, at):
                self._perform(effect, host, at)

    def find_most(self, endpoint: str) -> int:
        """Return the most sends to an endpoint in WINDOW."""
        sends = [at for at in self.sends[endpoint] if at >= NOW + CHECKED_FROM]
        return max(
            (sum(1 for at in sends if start <= at < start + WINDOW) for start in sends),
            default=0,
        )

    def _make_request(self, at: datetime) -> AcquireEndpoint:
        name = f"r{next(self._numbers)}"
        self.asked_at[name] = at
        workload = InferenceWorkload(
            14_000, 200, 100, (PromptPart("shared", 12_000), PromptPart(name, 2_000))
        )
        deadline = at + timedelta(seconds=2)
        return AcquireEndpoint(
            RequestId(name), SERVICE, workload, None, 0, (), False, deadline, REPLY
        )

    def _schedule(self, at: datetime, host: PlacementState, message: object) -> None:
        heappush(self._due, (at, next(self._numbers), host, message))

    def _perform(self, effect: object, host: PlacementState, at: datetime) -> None:
        if not isinstance(effect, SendReply):
            return
        granted = effect.message
        if not isinstance(granted, EndpointGranted):
            return
        name = granted.endpoint.endpoint
        self.sends[name].append(at)
        self.waits[granted.request] = at - self.asked_at[granted.request]
        limit, permit = self._limits[name], granted.permit
        if limit is not None or granted.is_rate_limited:
            self._schedule(at + ANSWER_DELAY, host, EndpointRateLimited(permit, limit))
        self._schedule(at + ANSWER_DELAY, host, FirstChunkReceived(permit))
        released = ReleaseEndpoint(permit, AttemptResult.COMPLETED)
        self._schedule(at + WORK_DURATION, host, released)


@pytest.mark.parametrize("n_hosts", [6, 60])
def test_limited_endpoints_get_no_more_than_they_name(n_hosts: int) -> None:
    """Guard against a limit that no host reads, or that each host keeps alone (LIMIT).

    A single host sees a fraction of what an endpoint gets from all.
    """
    limits = {"e1": 4.0, "e2": 6.5, "e3": 2.0, "e4": None, "e5": None}
    fleet = LimitedFleet(n_hosts, limits)
    fleet.play(60.0, timedelta(seconds=15))
    for name, limit in limits.items():
        if limit is not None:
            assert fleet.find_most(name) <= get_allowed(limit), name
    # Endpoints without a limit have room for the rest.
    assert len(fleet.waits) == len(fleet.asked_at)
    assert max(fleet.waits.values()) < 100 * MS
