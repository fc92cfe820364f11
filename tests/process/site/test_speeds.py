"""Guard against entry hosts that each learn the speeds of endpoints alone.

Plays entry hosts before engines that differ, and their leader, without a network.
"""

from collections import Counter
from datetime import datetime, timedelta
from random import Random

import pytest
from msgspec.structs import replace

from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement import messages
from oleanderhitch.process.placement.core import handle as handle_placement
from oleanderhitch.process.placement.effects import ReportSpeedCounts, SendReply
from oleanderhitch.process.placement.records import (
    N_ENTRY_HOSTS_MANY,
    PlacementState,
)
from oleanderhitch.process.placement.speeds import UNCONFIRMED_SPEED_TTL
from oleanderhitch.process.site.messages import EMPTY_ROUTING, NO_SPEEDS
from oleanderhitch.process.site.speed_totals import make_speed_totals
from oleanderhitch.process.site.subscribers import make_subscribers
from oleanderhitch.process.site.subscription.core import (
    ReportPeerLoads,
    ReportSpeeds,
    SeedsConfigured,
    SendHello,
    StatusReceived,
    SubscriptionState,
    handle,
)
from oleanderhitch.request.ids import PermitId
from oleanderhitch.version.ids import EndpointId
from tests.process.placement.test_core import (
    HOME,
    NOW,
    REPLY,
    SERVICE,
    acquire,
    get_grant,
    make_endpoint,
)
from tests.process.site.test_fleet import _Reply

LEADER = NodeId("s1")
N_HOSTS = 25
N_ENGINES = 12
TOKENS_PER_EVENT = 16
ROUND = timedelta(milliseconds=500)
# True speeds of an engine, other than those that the code assumes.
PREFILL_TOKENS_PER_MS = 250.0
DECODE_MS = 0.9
BATCH_RATIO = 0.007
FIRST_EVENT_MS = 12.0
NOISE = 2.5
NOISE_SHARE = 0.07
N_TURNS = 3
ENGINES = tuple(make_endpoint(f"e{number}", 12) for number in range(N_ENGINES))


class Site:
    """Entry hosts that send turns in rounds, each sees an engine once in seconds."""

    def __init__(self, slowness: dict[str, float]) -> None:
        self.random = Random(1)
        self.time = NOW
        self.slowness = slowness
        self.n_running: Counter[str] = Counter()
        self.n_most: Counter[str] = Counter()
        self.turns: dict[str, list[tuple[PermitId, str, float]]] = {}
        self.leader = make_subscribers(
            lambda: EMPTY_ROUTING, lambda: (LEADER,), lambda: LEADER, self
        )
        self.leader.confirm_current()
        self.counts: Counter[str] = Counter()
        self.hosts = []
        for number in range(N_HOSTS):
            placement = PlacementState(HOME, f"h{number}", Random(number))
            placement.tokens_per_event = {SERVICE: TOKENS_PER_EVENT}
            handle_placement(messages.EndpointsListed(ENGINES), placement, NOW)
            subscription = SubscriptionState(NodeId(f"h{number}"))
            self.hosts.append((placement, subscription))
            self._subscribe(placement, subscription, SeedsConfigured((LEADER,)))
            self._subscribe(placement, subscription, Tick())

    def now(self) -> datetime:
        """Return the time of the site."""
        return self.time

    def play(self, n_rounds: int) -> None:
        """Let each host send turns once a round, which end in the next one."""
        for _ in range(n_rounds):
            for number, (placement, _) in enumerate(self.hosts):
                self.time += ROUND / N_HOSTS
                for turn in self.turns.pop(placement.permit_prefix, []):
                    self._end_turn(placement, turn)
                for _ in range(N_TURNS):
                    self._send_turn(placement)
                if number % 5 == 0:
                    self._report_all()

    def _report_all(self) -> None:
        for placement, subscription in self.hosts:
            (reply,) = handle_placement(messages.GetLoads(REPLY), placement, self.time)
            assert isinstance(reply, SendReply)
            self._subscribe(placement, subscription, reply.message)
            self._subscribe(placement, subscription, Tick())

    def _send_turn(self, placement: PlacementState) -> None:
        n_tokens = self.random.randrange(1_000, 9_000)
        part = messages.PromptPart(str(self.random.random()), n_tokens)
        workload = messages.InferenceWorkload(n_tokens, 200, 100, (part,))
        request = replace(acquire("r", workload), deadline=self.time + ROUND)
        granted = get_grant(handle_placement(request, placement, self.time))
        name = granted.endpoint.endpoint
        self.counts[name] += 1
        self.n_running[name] += 1
        self.n_most[name] = max(self.n_most[name], self.n_running[name])
        slowness = self.slowness.get(name, 1.0)
        slowness *= NOISE if self.random.random() < NOISE_SHARE else 1.0
        first_ms = slowness * (FIRST_EVENT_MS + n_tokens / PREFILL_TOKENS_PER_MS)
        at = self.time + timedelta(milliseconds=first_ms)
        handle_placement(messages.FirstChunkReceived(granted.permit), placement, at)
        turns = self.turns.setdefault(placement.permit_prefix, [])
        turns.append((granted.permit, name, slowness))

    def _end_turn(
        self, placement: PlacementState, turn: tuple[PermitId, str, float]
    ) -> None:
        permit, name, slowness = turn
        batch_ratio = 1 + BATCH_RATIO * (self.n_running[name] - 1)
        event_ms = slowness * DECODE_MS * batch_ratio * TOKENS_PER_EVENT
        latency = timedelta(milliseconds=event_ms * self.random.uniform(0.9, 1.1))
        handle_placement(
            messages.EventLatencyObserved(permit, latency), placement, self.time
        )
        released = messages.ReleaseEndpoint(permit, messages.AttemptResult.COMPLETED)
        handle_placement(released, placement, self.time)
        self.n_running[name] -= 1

    def _subscribe(
        self, placement: PlacementState, state: SubscriptionState, message: object
    ) -> None:
        for effect in handle(message, state, self.time):
            if isinstance(effect, ReportSpeeds):
                change = effect.change
                report = messages.SpeedsReported(change.speeds, change.is_complete)
                handle_placement(report, placement, self.time)
            elif isinstance(effect, ReportPeerLoads):
                loads = messages.PeerLoadsReported(effect.loads, effect.n_entry_hosts)
                handle_placement(loads, placement, self.time)
            elif isinstance(effect, SendHello):
                statuses: list[object] = []
                self.leader.handle_hello(effect.hello, _Reply(LEADER, statuses))
                for status in statuses:
                    assert isinstance(status, StatusReceived)
                    self._subscribe(placement, state, status)


def test_all_hosts_learn_which_engines_are_slow_for_good() -> None:
    """Guard against hosts that learn a slow engine each for itself, and forget it."""
    slowness = {f"e{number}": 2.2 for number in range(3)}
    site = Site(slowness)
    site.play(30)
    site.counts.clear()
    site.play(20)
    n_slow = sum(site.counts[name] for name in slowness) / len(slowness)
    assert n_slow < 0.3 * site.counts.total() / N_ENGINES
    for placement, _ in site.hosts:
        service = placement.service_speeds[SERVICE]
        assert service.decode_ms == pytest.approx(DECODE_MS, rel=0.25)
        first_ms = service.first_event_ms + 5_000 * service.prefill_ms
        expected_ms = FIRST_EVENT_MS + 5_000 / PREFILL_TOKENS_PER_MS
        assert first_ms == pytest.approx(expected_ms, rel=0.25)
        for name, endpoint in placement.endpoints.items():
            speeds = endpoint.speeds
            ratios = (speeds.decode_ratio, speeds.prefill_ratio)
            if name in slowness:
                # They are avoided, and observed too seldom for the whole difference.
                assert min(ratios) > 1.3
            else:
                assert ratios == (1.0, 1.0)


def test_equal_engines_keep_equal_speeds() -> None:
    """Guard against noise that ends the choice among alike engines."""
    site = Site({})
    site.play(60)
    ratios = [
        ratio
        for placement, _ in site.hosts
        for endpoint in placement.endpoints.values()
        for ratio in (endpoint.speeds.decode_ratio, endpoint.speeds.prefill_ratio)
    ]
    assert ratios.count(1.0) > 0.98 * len(ratios)


def test_speeds_are_sent_only_when_they_change() -> None:
    """Guard against a list of all speeds in every status."""
    totals = make_speed_totals(NOW)
    endpoints = [EndpointId(f"e{number}") for number in range(100)]
    for name in endpoints:
        totals.observe(messages.SpeedObservations(name, 7, 400, 880_000, 0, 0), NOW)
    first = totals.find_change(NO_SPEEDS, NOW)
    assert first is not None
    assert first.is_complete
    assert len(first.speeds) == 100
    assert first.speeds[0].decode == pytest.approx(2_200, rel=0.1)
    assert totals.find_change(first.version, NOW) is None
    totals.observe(messages.SpeedObservations(endpoints[3], 7, 400, 900_000, 0, 0), NOW)
    assert totals.find_change(first.version, NOW) is None
    totals.observe(messages.SpeedObservations(endpoints[3], 7, 400, 400_000, 0, 0), NOW)
    totals.observe(messages.SpeedObservations(endpoints[4], 6, 90, 1, 0, 0), NOW)
    change = totals.find_change(first.version, NOW)
    assert change is not None
    assert not change.is_complete
    assert [speed.endpoint for speed in change.speeds] == [endpoints[3]]


def test_endpoint_that_is_not_observed_returns_to_the_median() -> None:
    """Guard against an engine that stays avoided after it has recovered."""
    totals = make_speed_totals(NOW)
    name = EndpointId("e1")
    totals.observe(messages.SpeedObservations(name, 7, 60, 120_000, 0, 0), NOW)
    known = totals.find_change(NO_SPEEDS, NOW)
    assert known is not None
    for number in range(150):
        at = NOW + timedelta(seconds=number)
        change = totals.find_change(known.version, at)
        known = change or known
        if number == 90:
            assert known.speeds[0].decode < 1_150
    assert not totals.endpoints


def test_speeds_outlast_the_leader_that_learned_them_for_a_while() -> None:
    """Guard against hosts that forget all speeds when the leader changes."""
    endpoint = replace(make_endpoint("e1"), born_ms=7)
    others = tuple(make_endpoint(f"e{number}") for number in (2, 3))
    state = PlacementState(HOME, "h", n_entry_hosts=N_ENTRY_HOSTS_MANY)
    handle_placement(messages.EndpointsListed((endpoint, *others)), state, NOW)
    slow = messages.EndpointSpeed(endpoint.endpoint, 7, 2_000, 1_000)
    effects = handle_placement(messages.SpeedsReported((slow,), True), state, NOW)
    assert effects == [ReportSpeedCounts(n_slow=1, n_ramping=0)]
    speeds = state.endpoints[endpoint.endpoint].speeds
    handle_placement(messages.SpeedsReported((), True), state, NOW)
    assert speeds.decode_ratio == 2.0
    late = NOW + UNCONFIRMED_SPEED_TTL
    # No change of any speed has to come for it: a site may be quiet for long.
    loads = messages.PeerLoadsReported((), N_ENTRY_HOSTS_MANY)
    handle_placement(loads, state, late)
    assert speeds.decode_ratio == 1.0
    handle_placement(messages.SpeedsReported((slow,), False), state, late)
    restarted = replace(endpoint, born_ms=8)
    handle_placement(messages.EndpointsListed((restarted, *others)), state, late)
    assert state.endpoints[endpoint.endpoint].speeds.decode_ratio == 1.0


def test_few_hosts_go_by_their_own_observations() -> None:
    """Guard against shared speeds where each host sees each endpoint itself."""
    endpoint = replace(make_endpoint("e1"), born_ms=7)
    others = tuple(make_endpoint(f"e{number}") for number in (2, 3))
    slow = messages.EndpointSpeed(endpoint.endpoint, 7, 2_000, 1_000)
    ratios = []
    for n_hosts in (N_ENTRY_HOSTS_MANY, N_ENTRY_HOSTS_MANY - 1):
        state = PlacementState(HOME, "h", n_entry_hosts=n_hosts)
        handle_placement(messages.EndpointsListed((endpoint, *others)), state, NOW)
        handle_placement(messages.SpeedsReported((slow,), True), state, NOW)
        ratios.append(state.endpoints[endpoint.endpoint].speeds.decode_ratio)
    assert ratios == [2.0, 1.0]
