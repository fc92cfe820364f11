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
from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.effects import AskLeader, SendReply
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    AttemptResult,
    CacheContentsReported,
    EndpointGranted,
    EndpointLimit,
    EndpointRateLimited,
    EndpointsListed,
    FirstChunkReceived,
    InferenceWorkload,
    LimitsReported,
    PeerLoadsReported,
    PromptPart,
    ReleaseEndpoint,
    SendPermitReply,
    SendPermitRequest,
)
from oleanderhitch.process.placement.rate_limits import list_observed_limits
from oleanderhitch.process.placement.records import PlacementState
from oleanderhitch.process.placement.speeds import PREFILL_TOKENS_PER_MS
from oleanderhitch.process.site.send_permits import (
    LIMIT_TTL,
    SendPermits,
)
from oleanderhitch.request.ids import HolderId, RequestFingerprint
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName

NOW = datetime(2026, 1, 1, tzinfo=UTC)
HOME = DataCentreName("home")
SERVICE = ServiceName("s")
REPLY = make_mailbox("test")
MS = timedelta(milliseconds=1)
ANSWER_DELAY = 3 * MS
WORK_DURATION = 100 * MS
LINK_DELAY = MS
REQUEST_TIMEOUT = timedelta(seconds=2)
HELLO_INTERVAL = 600 * MS
TICK_INTERVAL = 50 * MS
# The limits are named from the start; the check begins when the users' rule does, and
# its bound is theirs: in some 4 s half as much again as the limit allows, and five.
CHECKED_FROM = timedelta(seconds=3)
WINDOW = timedelta(seconds=4)


def get_allowed(requests_per_s: float) -> float:
    """Return how many requests an endpoint may get in WINDOW."""
    return 1.5 * requests_per_s * WINDOW.total_seconds() + 5


class _Status:
    """Stands for a hello and the leader's status, which are made when they are due."""


class LimitedFleet:
    """Entry hosts, without a network, before endpoints of which some name a limit."""

    def __init__(
        self,
        n_hosts: int,
        limits: dict[str, float | None],
        leader_lost_at: datetime | None = None,
    ) -> None:
        self._random = Random(1)
        self._leader = SendPermits()
        self._leader_lost_at = leader_lost_at
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
            handle(PeerLoadsReported((), n_hosts), host, NOW)
        self._due: list[tuple[datetime, int, PlacementState, object]] = []
        self._numbers = count()
        self.sends: defaultdict[str, list[datetime]] = defaultdict(list)
        self._next_start = NOW
        self.asked_at: dict[str, datetime] = {}
        self.waits: dict[str, timedelta] = {}
        self._sessions: list[PromptPart] = []
        self._parts: dict[str, PromptPart] = {}
        self._granted: defaultdict[str, list[str]] = defaultdict(list)

    def add_sessions(self, cached: dict[str, list[PromptPart]]) -> None:
        """Let requests belong to sessions whose prompts endpoints have cached."""
        shared = PromptPart("shared", 12_000)
        for name, parts in cached.items():
            self._sessions.extend(parts)
            for host in self._hosts:
                reported = CacheContentsReported(EndpointId(name), 0, (shared, *parts))
                handle(reported, host, NOW)

    def get_sessions_at(self, endpoint: str) -> list[PromptPart]:
        """Return the session of each request that an endpoint got."""
        return [self._parts[request] for request in self._granted[endpoint]]

    def play(self, requests_per_s: float, duration: timedelta) -> None:
        """Let requests arrive at uneven hosts for a time."""
        start = self._next_start
        at = start
        self._next_start = end = start + duration
        weights = [1 + number % 4 for number in range(len(self._hosts))]
        while at < end:
            (host,) = self._random.choices(self._hosts, weights)
            self._schedule(at, host, self._make_request(at))
            at += timedelta(seconds=self._random.expovariate(requests_per_s))
        for host in self._hosts:
            for number in range(int((duration + REQUEST_TIMEOUT) / TICK_INTERVAL)):
                self._schedule(start + number * TICK_INTERVAL, host, Tick())
            for number in range(int(duration / HELLO_INTERVAL)):
                self._schedule(start + number * HELLO_INTERVAL, host, _Status())
        while self._due:
            at, _, host, message = heappop(self._due)
            if isinstance(message, _Status):
                if not self._has_leader(at):
                    continue
                for limit in list_observed_limits(host, at):
                    self._leader.observe(limit, at)
                message = LimitsReported(self._leader.list_limits(at))
            for effect in handle(message, host, at):
                self._perform(effect, host, at)

    def end_limit(self, endpoint: str) -> None:
        """Let an endpoint name no limit any more."""
        self._limits[endpoint] = None

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
        part = PromptPart(name, 2_000)
        if self._sessions:
            part = self._random.choice(self._sessions)
        self._parts[name] = part
        workload = InferenceWorkload(
            12_000 + part.n_tokens, 200, 100, (PromptPart("shared", 12_000), part)
        )
        return AcquireEndpoint(
            HolderId(name),
            SERVICE,
            workload,
            None,
            0,
            (),
            False,
            at + REQUEST_TIMEOUT,
            REPLY,
            RequestFingerprint(name),
        )

    def _schedule(self, at: datetime, host: PlacementState, message: object) -> None:
        heappush(self._due, (at, next(self._numbers), host, message))

    def _has_leader(self, at: datetime) -> bool:
        return self._leader_lost_at is None or at < self._leader_lost_at

    def _ask_leader(
        self, request: SendPermitRequest, host: PlacementState, at: datetime
    ) -> None:
        if not self._has_leader(at):
            return
        for limit in request.limits:
            self._leader.observe(limit, at + LINK_DELAY)
        reply = self._leader.grant(request, at + LINK_DELAY)
        self._schedule(at + 2 * LINK_DELAY, host, reply)

    def _perform(self, effect: object, host: PlacementState, at: datetime) -> None:
        if isinstance(effect, AskLeader):
            self._ask_leader(effect.request, host, at)
        if not isinstance(effect, SendReply):
            return
        granted = effect.message
        if not isinstance(granted, EndpointGranted):
            return
        name = granted.endpoint.endpoint
        self.sends[name].append(at)
        self._granted[name].append(granted.holder)
        self.waits[granted.holder] = at - self.asked_at[granted.holder]
        limit, permit = self._limits[name], granted.permit
        if limit is not None or granted.is_rate_limited:
            self._schedule(at + ANSWER_DELAY, host, EndpointRateLimited(permit, limit))
        read_ms = host.permits[permit].n_pending_prefill_tokens / PREFILL_TOKENS_PER_MS
        first_at = at + ANSWER_DELAY + read_ms * MS
        self._schedule(first_at, host, FirstChunkReceived(permit))
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


def test_limits_hold_while_there_is_no_leader() -> None:
    """Guard against hosts that each take the whole limit when nobody counts for all."""
    limits = {"e1": 4.0, "e2": 6.5, "e3": None}
    fleet = LimitedFleet(20, limits, leader_lost_at=NOW + timedelta(seconds=6))
    fleet.play(60.0, timedelta(seconds=15))
    for name, limit in limits.items():
        if limit is not None:
            assert fleet.find_most(name) <= get_allowed(limit), name
            after = [at for at in fleet.sends[name] if at > NOW + timedelta(seconds=8)]
            assert after, "the limit is not used at all without a leader"
    assert len(fleet.waits) == len(fleet.asked_at)
    assert max(fleet.waits.values()) < 300 * MS


def test_limit_is_used_whole_if_there_is_no_other_endpoint() -> None:
    """Guard against requests that are refused while an endpoint takes them.

    The hosts have uneven shares of the requests, so equal shares of the limit would
    leave some of it unused.
    """
    fleet = LimitedFleet(6, {"e1": 20.0, "e2": 20.0})
    fleet.play(36.0, timedelta(seconds=10))
    assert len(fleet.waits) == len(fleet.asked_at)
    assert max(fleet.waits.values()) < timedelta(seconds=1)


def test_endpoint_without_a_limit_any_more_gets_all_again() -> None:
    """Guard against a limit that stays in force after its endpoint has ended it."""
    fleet = LimitedFleet(6, {"e1": 1.0, "e2": None})
    fleet.play(20.0, timedelta(seconds=4))
    fleet.end_limit("e1")
    fleet.play(20.0, timedelta(seconds=8))
    # Its next request comes within a second, and all hosts hear of the answer within
    # another; from then on it gets about half of the requests.
    late = [at for at in fleet.sends["e1"] if at > NOW + timedelta(seconds=7)]
    assert len(late) > 0.3 * 20.0 * 5


def test_scarce_sends_go_to_those_who_gain_most_by_them() -> None:
    """Guard against a limit that requests use up which are as well off elsewhere.

    An endpoint in need has the prompts of some sessions. If any other request may take
    its few sends, those sessions compute their prompts again elsewhere, which loads the
    endpoints that are left.
    """
    fleet = LimitedFleet(1, {"e1": 5.0, "e2": None})
    sessions = [PromptPart(f"session-{number}", 1_500) for number in range(400)]
    fleet.add_sessions({"e1": sessions[::2], "e2": sessions[1::2]})
    fleet.play(100.0, timedelta(seconds=6))
    is_warm = [part in sessions[::2] for part in fleet.get_sessions_at("e1")]
    assert sum(is_warm) > 0.8 * len(is_warm)


def make_limit(
    requests_per_s: float | None, born_ms: int = 1, age_ms: int = 0
) -> EndpointLimit:
    """Return what an entry host has observed of the limit of an endpoint."""
    return EndpointLimit(EndpointId("e1"), born_ms, requests_per_s, age_ms)


def test_older_observation_does_not_replace_a_newer_one() -> None:
    """Guard against a limit that comes back from a host that has not seen its end."""
    permits = SendPermits()
    assert permits.observe(make_limit(4.0), NOW)
    assert permits.observe(make_limit(None), NOW + MS)
    assert not permits.observe(make_limit(4.0, age_ms=500), NOW + 2 * MS)
    asked = SendPermitRequest(1, (make_limit(4.0),))
    for _ in range(20):
        reply = permits.grant(asked, NOW + 3 * MS)
        assert reply == SendPermitReply(1, True, EndpointId("e1"))


def test_restarted_endpoint_starts_without_its_earlier_limit() -> None:
    """Guard against the limit of an endpoint that was started again under its id."""
    permits = SendPermits()
    permits.observe(make_limit(1.0), NOW)
    assert permits.observe(make_limit(9.0, born_ms=2), NOW)
    assert not permits.observe(make_limit(1.0), NOW + MS)
    (limit,) = permits.list_limits(NOW)
    assert (limit.born_ms, limit.requests_per_s) == (2, 9.0)


def test_limit_of_zero_is_asked_about_now_and_then() -> None:
    """Guard against an endpoint that never gets the request that ends its limit."""
    permits = SendPermits()
    permits.observe(make_limit(0.0), NOW)
    asked = SendPermitRequest(1, (make_limit(0.0),))
    assert permits.grant(asked, NOW).endpoint is not None
    refused = permits.grant(asked, NOW + MS)
    assert refused.endpoint is None
    wait = refused.exhausted[0].wait_ms * MS
    assert permits.grant(asked, NOW + MS + wait).endpoint is not None
    permits.expire(NOW + LIMIT_TTL + MS)
    assert permits.list_limits(NOW) == ()
