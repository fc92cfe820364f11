"""Guard against a choice of endpoints that ignores cache, load, health or affinity."""

from collections import Counter
from datetime import UTC, datetime, timedelta
from random import Random

import pytest
from msgspec.structs import replace

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.crashes.messages import Suspicion
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.cache import count_uncached_tokens
from oleanderhitch.process.placement.core import (
    N_CACHE_QUERIES_LIMIT,
    UNLISTED_MEMORY_DURATION,
    handle,
)
from oleanderhitch.process.placement.crashes import EndpointCrashed
from oleanderhitch.process.placement.effects import (
    AskLeader,
    LogEndpointLeaving,
    QueryCache,
    SendReply,
)
from oleanderhitch.process.placement.health import SILENCE_TIMEOUT
from oleanderhitch.process.placement.latency import find_median_ms, get_slowdown
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    AttemptProgress,
    AttemptResult,
    CacheCapacitiesUpdated,
    CacheContentsReported,
    CrashesReported,
    EndHolder,
    EndpointGranted,
    EndpointLeaving,
    EndpointLoad,
    EndpointRateLimited,
    EndpointRefused,
    EndpointsListed,
    EventLatencyObserved,
    FirstChunkReceived,
    InferenceWorkload,
    PeerLoadsReported,
    PromptPart,
    ReleaseEndpoint,
    SendPermitReply,
    StopAnnounced,
)
from oleanderhitch.process.placement.records import PEER_LOAD_TTL, PlacementState
from oleanderhitch.request.ids import HolderId, RequestFingerprint
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName

NOW = datetime(2026, 1, 1, tzinfo=UTC)
HOME = DataCentreName("home")
SERVICE = ServiceName("s")
REPLY = make_mailbox("test")


def make_endpoint(name: str, n_slots: int = 2) -> ListedEndpoint:
    """Return an endpoint of the service."""
    return ListedEndpoint(
        EndpointId(name), SERVICE, HostAddress("10.0.0.1:80"), HOME, n_slots, False
    )


def make_state(*endpoints: ListedEndpoint) -> PlacementState:
    """Return a placement state with the endpoints."""
    state = PlacementState(HOME, "entry")
    handle(EndpointsListed(endpoints), state, NOW)
    return state


def make_workload(*parts: str) -> InferenceWorkload:
    """Return a workload whose prompt has parts of 10,000 tokens each."""
    return InferenceWorkload(
        10_000 * len(parts), 200, 100, tuple(PromptPart(part, 10_000) for part in parts)
    )


def acquire(
    name: str,
    workload: InferenceWorkload | None = None,
    rank: int = 0,
    tried: tuple[str, ...] = (),
    is_retryable: bool = False,
    affinity_key: str | None = None,
    content: str = "content",
) -> AcquireEndpoint:
    """Return a request for an endpoint with a deadline in five seconds."""
    return AcquireEndpoint(
        HolderId(name),
        SERVICE,
        workload,
        affinity_key,
        rank,
        tuple(EndpointId(endpoint) for endpoint in tried),
        is_retryable,
        NOW + timedelta(seconds=5),
        REPLY,
        RequestFingerprint(content),
    )


def get_grant(effects: list[object]) -> EndpointGranted:
    """Return the only grant among effects."""
    (effect,) = effects
    assert isinstance(effect, SendReply)
    assert isinstance(effect.message, EndpointGranted)
    return effect.message


def test_shared_prompt_goes_to_the_endpoint_that_cached_it() -> None:
    """Guard against computing a shared prompt part again on another engine."""
    state = make_state(make_endpoint("e1"), make_endpoint("e2"))
    first = get_grant(handle(acquire("1", make_workload("a", "b")), state, NOW))
    handle(FirstChunkReceived(first.permit), state, NOW)
    second = get_grant(handle(acquire("2", make_workload("a", "c")), state, NOW))
    assert second.endpoint == first.endpoint


def test_growing_session_stays_where_its_turns_are_cached() -> None:
    """Guard against computing the earlier turns of a session again as it grows."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    for shared in ("a", "b"):
        first = get_grant(handle(acquire(shared, make_workload(shared)), state, NOW))
        handle(FirstChunkReceived(first.permit), state, NOW)
    workload = InferenceWorkload(
        14_000, 100, 50, (PromptPart("a", 10_000), PromptPart("s", 4_000))
    )
    first = get_grant(handle(acquire("1", workload), state, NOW))
    handle(FirstChunkReceived(first.permit), state, NOW)
    grown = InferenceWorkload(
        15_000, 100, 50, (PromptPart("a", 10_000), PromptPart("s", 5_000))
    )
    cache = state.endpoints[first.endpoint.endpoint].cache
    assert count_uncached_tokens(cache, grown) == 1_000
    again = get_grant(handle(acquire("2", grown), state, NOW))
    assert again.endpoint == first.endpoint


def test_unrelated_prompts_are_spread() -> None:
    """Guard against sending prompts without shared parts all to one engine."""
    state = make_state(make_endpoint("e1"), make_endpoint("e2"))
    first = get_grant(handle(acquire("1", make_workload("a")), state, NOW))
    second = get_grant(handle(acquire("2", make_workload("b")), state, NOW))
    assert second.endpoint != first.endpoint


def test_leaving_and_tried_endpoints_get_nothing() -> None:
    """Guard against requests at an endpoint that is leaving or was tried."""
    leaving = replace(make_endpoint("e1"), is_leaving=True)
    state = make_state(leaving, make_endpoint("e2"), make_endpoint("e3"))
    grant = get_grant(handle(acquire("1", tried=("e2",)), state, NOW))
    assert grant.endpoint.endpoint == "e3"


def test_endpoint_that_announces_its_stop_gets_nothing_more() -> None:
    """Guard against requests at an endpoint that leaves before the list shows it.

    Waiting requests count too, and so does a list that is still outdated.
    """
    state = make_state(make_endpoint("e1"))
    grant = get_grant(handle(acquire("1"), state, NOW))
    (logged,) = handle(EndpointLeaving(grant.permit), state, NOW)
    assert logged == LogEndpointLeaving(EndpointId("e1"))
    assert handle(EndpointLeaving(grant.permit), state, NOW) == []
    assert handle(acquire("2"), state, NOW) == []
    released = ReleaseEndpoint(grant.permit, AttemptResult.COMPLETED)
    assert handle(released, state, NOW) == []
    assert handle(EndpointsListed((make_endpoint("e1"),)), state, NOW) == []
    effects = handle(EndpointsListed((make_endpoint("e2"),)), state, NOW)
    assert get_grant(effects).endpoint.endpoint == "e2"


def test_nothing_prefers_an_endpoint_that_has_announced_its_stop() -> None:
    """Guard against work that goes back to a leaving endpoint for what it knows there.

    A warm cache, an affinity key, a retry, or a send that the leader has granted, asked
    before the announcement.
    """
    state = make_state(make_endpoint("e1", 20))
    warm = make_workload("a")
    grant = get_grant(handle(acquire("1", warm, affinity_key="k"), state, NOW))
    handle(acquire("2", affinity_key="k"), state, NOW)
    handle(EndpointRateLimited(grant.permit, 9.0), state, NOW)
    (asked,) = handle(acquire("3"), state, NOW)
    assert isinstance(asked, AskLeader)
    handle(EndpointLeaving(grant.permit), state, NOW)
    reply = SendPermitReply(asked.request.number, True, EndpointId("e1"))
    assert handle(reply, state, NOW) == []
    endpoints = (make_endpoint("e1", 20), make_endpoint("e2", 20))
    granted = [get_grant(handle(EndpointsListed(endpoints), state, NOW))]
    for number, retry in enumerate((False, True)):
        for workload, key in ((warm, None), (None, "k")):
            message = acquire(f"{number}{key}", workload, 0, (), retry, key)
            granted.append(get_grant(handle(message, state, NOW)))
    assert {item.endpoint.endpoint for item in granted} == {"e2"}


def test_stop_announced_in_a_cache_listing_counts() -> None:
    """Guard against requests at an engine that leaves before any of them asks it.

    What the engine has said before its last start does not count.
    """
    state = make_state(replace(make_endpoint("e1"), born_ms=7))
    assert handle(StopAnnounced(EndpointId("e1"), 5), state, NOW) == []
    assert handle(StopAnnounced(EndpointId("e1"), 7), state, NOW) == [
        LogEndpointLeaving(EndpointId("e1"))
    ]
    assert handle(StopAnnounced(EndpointId("e1"), 7), state, NOW) == []
    assert handle(acquire("1"), state, NOW) == []


def test_endpoint_that_was_started_again_is_not_leaving() -> None:
    """Guard against an endpoint that gets no work since its last start announced it."""
    state = make_state(make_endpoint("e1"))
    grant = get_grant(handle(acquire("1"), state, NOW))
    again = replace(make_endpoint("e1"), born_ms=5)
    handle(EndpointsListed((again,)), state, NOW)
    assert handle(EndpointLeaving(grant.permit), state, NOW) == []
    assert get_grant(handle(acquire("2"), state, NOW)).endpoint == again


@pytest.mark.parametrize("workload", [None, make_workload("own")])
def test_many_entry_hosts_do_not_meet_at_one_endpoint(
    workload: InferenceWorkload | None,
) -> None:
    """Guard against a herd: all hosts learn the same loads and choose the same way.

    Endpoints refuse connections beyond their limit while others are idle.
    """
    names = [f"e{number}" for number in range(10)]
    endpoints = tuple(make_endpoint(name, 6) for name in names)
    loads = tuple(EndpointLoad(EndpointId(name), 2, 0) for name in names)
    counts = Counter[str]()
    for number in range(200):
        state = PlacementState(HOME, f"entry-{number}", Random(number))
        handle(EndpointsListed(endpoints), state, NOW)
        handle(PeerLoadsReported(loads), state, NOW)
        grant = get_grant(handle(acquire("1", workload), state, NOW))
        counts[grant.endpoint.endpoint] += 1
    assert len(counts) == len(names)
    assert max(counts.values()) <= 2 * 200 / len(names)


def test_cheaper_and_nearer_endpoints_are_preferred() -> None:
    """Guard against spreading over endpoints that are busier or farther away."""
    far = replace(make_endpoint("far", 6), data_centre=DataCentreName("far"))
    busy, idle = make_endpoint("busy", 6), make_endpoint("idle", 6)
    load = EndpointLoad(EndpointId("busy"), 3, 0)
    for number in range(50):
        state = PlacementState(HOME, f"entry-{number}", Random(number))
        handle(EndpointsListed((busy, far, idle)), state, NOW)
        handle(PeerLoadsReported((load,)), state, NOW)
        grant = get_grant(handle(acquire("1", make_workload("a")), state, NOW))
        assert grant.endpoint == idle


def test_urgent_request_is_granted_the_next_free_slot() -> None:
    """Guard against a free slot for the longest wait instead of the lowest rank."""
    state = make_state(make_endpoint("e1", n_slots=1))
    workload = make_workload("a")
    running = get_grant(handle(acquire("1", workload), state, NOW))
    assert handle(acquire("2", workload, rank=2), state, NOW) == []
    assert handle(acquire("3", workload, rank=0), state, NOW) == []
    done = ReleaseEndpoint(running.permit, AttemptResult.COMPLETED)
    assert get_grant(handle(done, state, NOW)).holder == "3"


def test_waiting_request_is_refused_at_its_deadline() -> None:
    """Guard against a refusal that comes too late for the caller to retry."""
    state = make_state()
    assert handle(acquire("1"), state, NOW) == []
    (effect,) = handle(Tick(), state, NOW + timedelta(seconds=5))
    assert isinstance(effect, SendReply)
    assert isinstance(effect.message, EndpointRefused)


def test_withdrawn_request_gets_no_permit() -> None:
    """Guard against a permit of a withdrawn request, which would never be released."""
    state = make_state()
    handle(acquire("1"), state, NOW)
    handle(EndHolder(HolderId("1")), state, NOW)
    assert handle(EndpointsListed((make_endpoint("e1"),)), state, NOW) == []


def test_unreachable_endpoint_is_avoided_for_a_while() -> None:
    """Guard against requests at a crashed endpoint that is still on the list."""
    state = make_state(make_endpoint("e1"), make_endpoint("e2", n_slots=9))
    first = get_grant(handle(acquire("1"), state, NOW))
    failed = ReleaseEndpoint(first.permit, AttemptResult.NOT_CONNECTED)
    handle(failed, state, NOW)
    for number in range(3):
        grant = get_grant(handle(acquire(f"again-{number}"), state, NOW))
        assert grant.endpoint.endpoint != first.endpoint.endpoint


def test_slowed_endpoint_gets_less_work() -> None:
    """Guard against an endpoint that keeps its share despite high event latency."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    slow = get_grant(handle(acquire("1", make_workload("a")), state, NOW))
    fast = get_grant(handle(acquire("2", make_workload("b")), state, NOW))
    for _ in range(4):
        for grant, latency_ms in ((slow, 120), (fast, 30)):
            latency = timedelta(milliseconds=latency_ms)
            handle(EventLatencyObserved(grant.permit, latency), state, NOW)
    for number in range(3):
        request = acquire(f"more-{number}", make_workload(f"c{number}"))
        grant = get_grant(handle(request, state, NOW))
        assert grant.endpoint == fast.endpoint


def test_load_of_other_entry_hosts_counts() -> None:
    """Guard against entry hosts that count only their own load and all select one."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    busy = PeerLoadsReported((EndpointLoad(EndpointId("e1"), 5, 30_000),))
    handle(busy, state, NOW)
    for number in range(3):
        request = acquire(f"{number}", make_workload("a"))
        assert get_grant(handle(request, state, NOW)).endpoint.endpoint == "e2"
    full = PeerLoadsReported((EndpointLoad(EndpointId("e2"), 9, 0),))
    handle(full, state, NOW)
    grant = get_grant(handle(acquire("x", make_workload("a")), state, NOW))
    assert grant.endpoint.endpoint == "e1"


def test_outdated_peer_loads_are_ignored() -> None:
    """Guard against relying on the last report of stores that were lost."""
    state = make_state(make_endpoint("e1", 2))
    handle(PeerLoadsReported((EndpointLoad(EndpointId("e1"), 2, 0),)), state, NOW)
    assert handle(acquire("1", make_workload("a")), state, NOW) == []
    later = NOW + PEER_LOAD_TTL + timedelta(milliseconds=1)
    assert get_grant(handle(Tick(), state, later)).holder == "1"


def test_restarted_endpoint_has_an_empty_cache() -> None:
    """Guard against assuming cached parts at an endpoint that has restarted."""
    state = make_state(make_endpoint("e1"), make_endpoint("e2"))
    first = get_grant(handle(acquire("1", make_workload("a")), state, NOW))
    name = first.endpoint.endpoint
    handle(ReleaseEndpoint(first.permit, AttemptResult.COMPLETED), state, NOW)
    restarted = tuple(
        replace(one.listed, born_ms=5) if key == name else one.listed
        for key, one in state.endpoints.items()
    )
    handle(EndpointsListed(restarted), state, NOW)
    assert not state.endpoints[name].cache.parts


def test_starting_entry_host_queries_engine_caches() -> None:
    """Guard against a starting entry host that ignores what the engines have cached."""
    state = make_state(make_endpoint("a", 9), make_endpoint("b", 9))
    queries = handle(CacheCapacitiesUpdated({SERVICE: 900_000}), state, NOW)
    assert [type(effect) for effect in queries] == [QueryCache, QueryCache]
    assert handle(CacheCapacitiesUpdated({SERVICE: 900_000}), state, NOW) == []
    workload = make_workload("shared", "own")
    handle(CacheContentsReported(EndpointId("b"), 0, workload.parts), state, NOW)
    granted = get_grant(handle(acquire("r1", workload), state, NOW))
    assert granted.endpoint.endpoint == "b"


def test_new_engine_is_not_queried() -> None:
    """Guard against queries that delay a new engine, whose cache is empty."""
    state = make_state(make_endpoint("a"))
    handle(CacheCapacitiesUpdated({SERVICE: 900_000}), state, NOW)
    listed = EndpointsListed((make_endpoint("a"), make_endpoint("b")))
    assert handle(listed, state, NOW) == []


def test_cache_report_of_an_earlier_start_is_ignored() -> None:
    """Guard against a cache estimate from a report from before a restart."""
    state = make_state(make_endpoint("a"))
    handle(
        CacheContentsReported(EndpointId("a"), 5, make_workload("x").parts), state, NOW
    )
    assert not state.endpoints[EndpointId("a")].cache.parts


def test_configured_cache_capacity_bounds_the_estimate() -> None:
    """Guard against an estimate that ignores the configured cache capacity."""
    state = make_state(make_endpoint("a", 90))
    handle(CacheCapacitiesUpdated({SERVICE: 900_000}), state, NOW)
    for number in range(90):
        handle(acquire(f"r{number}", make_workload(f"p{number}")), state, NOW)
    cache = state.endpoints[EndpointId("a")].cache
    assert count_uncached_tokens(cache, make_workload("p0")) == 0
    handle(CacheCapacitiesUpdated({SERVICE: 100_000}), state, NOW)
    assert count_uncached_tokens(cache, make_workload("p0")) == 10_000


def test_new_engine_shares_the_load_of_those_with_warm_caches() -> None:
    """Guard against requests that all go to the engines with warm caches."""
    state = make_state(make_endpoint("warm", 64), make_endpoint("new", 64))
    workload = make_workload("shared")
    handle(CacheContentsReported(EndpointId("warm"), 0, workload.parts), state, NOW)
    chosen = []
    for number in range(40):
        granted = get_grant(handle(acquire(f"r{number}", workload), state, NOW))
        handle(FirstChunkReceived(granted.permit), state, NOW)
        chosen.append(granted.endpoint.endpoint)
    assert chosen[:4] == ["warm"] * 4
    assert 12 <= chosen.count("new") <= 28


def test_large_batch_is_not_a_slowdown() -> None:
    """Guard against counting the latency of a large batch as a slowdown."""
    state = make_state(make_endpoint("e1", 90), make_endpoint("e2", 90))
    load = PeerLoadsReported((EndpointLoad(EndpointId("e1"), 50, 0),))
    handle(load, state, NOW)
    first = get_grant(
        handle(acquire("1", make_workload("a"), tried=("e2",)), state, NOW)
    )
    second = get_grant(
        handle(acquire("2", make_workload("b"), tried=("e1",)), state, NOW)
    )
    for grant, latency_ms in ((first, 54), (second, 18)):
        latency = timedelta(milliseconds=latency_ms)
        handle(EventLatencyObserved(grant.permit, latency), state, NOW)
    averages = [endpoint.latency for endpoint in state.endpoints.values()]
    median_ms = find_median_ms(averages, NOW)
    assert [get_slowdown(average, median_ms, NOW) for average in averages] == [1.0, 1.0]


def test_unresponsive_endpoint_gets_no_requests_while_others_respond() -> None:
    """Guard against further requests at an endpoint that has stopped responding."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    first = get_grant(handle(acquire("1", tried=("e2",)), state, NOW))
    other_grant = get_grant(handle(acquire("2", tried=("e1",)), state, NOW))
    late = NOW + SILENCE_TIMEOUT + timedelta(milliseconds=1)
    done = ReleaseEndpoint(other_grant.permit, AttemptResult.COMPLETED)
    handle(done, state, late)
    for number in range(5):
        granted = get_grant(handle(acquire(f"more-{number}"), state, late))
        assert granted.endpoint.endpoint == "e2"
    # The unresponsive endpoint is the only one left for a request that tried the other.
    last = get_grant(handle(acquire("3", tried=("e2",)), state, late))
    assert last.endpoint == first.endpoint


def test_idle_endpoint_does_not_count_as_unresponsive() -> None:
    """Guard against an endpoint without requests that counts as unresponsive."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    first = get_grant(handle(acquire("1", tried=("e2",)), state, NOW))
    handle(ReleaseEndpoint(first.permit, AttemptResult.COMPLETED), state, NOW)
    later = NOW + 10 * SILENCE_TIMEOUT
    chosen = {
        get_grant(handle(acquire(f"{n}"), state, later)).endpoint.endpoint
        for n in range(2)
    }
    assert chosen == {"e1", "e2"}


def test_endpoint_that_did_not_respond_is_avoided_for_a_while() -> None:
    """Guard against a retry at the endpoint that did not respond."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    first = get_grant(handle(acquire("1"), state, NOW))
    handle(ReleaseEndpoint(first.permit, AttemptResult.SILENT), state, NOW)
    again = get_grant(handle(acquire("1"), state, NOW))
    assert again.endpoint != first.endpoint


def test_requests_that_cannot_be_retried_avoid_a_failing_endpoint() -> None:
    """Guard against lost work at an endpoint that resets some connections."""
    state = make_state(make_endpoint("grey", 9), make_endpoint("sound", 9))
    for number in range(2):
        granted = get_grant(handle(acquire(f"{number}", tried=("sound",)), state, NOW))
        handle(ReleaseEndpoint(granted.permit, AttemptResult.FAILED), state, NOW)
    for number in range(8):
        granted = get_grant(handle(acquire(f"more-{number}"), state, NOW))
        assert granted.endpoint.endpoint == "sound"


def test_failures_lose_weight_over_time() -> None:
    """Guard against an endpoint that gets no requests after its fault is over."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    first = get_grant(handle(acquire("1"), state, NOW))
    handle(ReleaseEndpoint(first.permit, AttemptResult.FAILED), state, NOW)
    later = NOW + timedelta(seconds=20)
    chosen = [
        get_grant(handle(acquire(f"{n}"), state, later)).endpoint.endpoint
        for n in range(4)
    ]
    assert set(chosen) == {"e1", "e2"}


def test_failing_endpoint_is_used_if_it_is_the_only_one() -> None:
    """Guard against refusing requests because all endpoints have failed attempts."""
    state = make_state(make_endpoint("e1", 9))
    for number in range(5):
        granted = get_grant(handle(acquire(f"{number}"), state, NOW))
        handle(ReleaseEndpoint(granted.permit, AttemptResult.FAILED), state, NOW)


def test_calls_with_one_affinity_key_go_to_one_endpoint() -> None:
    """Guard against calls with one affinity key that are spread over endpoints."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    first = get_grant(handle(acquire("1", affinity_key="17"), state, NOW))
    handle(ReleaseEndpoint(first.permit, AttemptResult.COMPLETED), state, NOW)
    other_grant = get_grant(handle(acquire("2", tried=("e1",)), state, NOW))
    handle(ReleaseEndpoint(other_grant.permit, AttemptResult.COMPLETED), state, NOW)
    second = get_grant(handle(acquire("3", affinity_key="17"), state, NOW))
    assert second.endpoint == first.endpoint
    # Queueing behind a running call costs more than the affinity saves.
    third = get_grant(handle(acquire("4", affinity_key="17"), state, NOW))
    assert third.endpoint != first.endpoint


def test_starting_entry_host_queries_a_bounded_number_of_engines() -> None:
    """Guard against queries to every engine of a large deployment at a start."""
    far = [
        replace(make_endpoint(f"far-{n}"), data_centre=DataCentreName("far"))
        for n in range(N_CACHE_QUERIES_LIMIT)
    ]
    state = make_state(*far, make_endpoint("near"))
    queries = handle(CacheCapacitiesUpdated({SERVICE: 900_000}), state, NOW)
    assert len(queries) == N_CACHE_QUERIES_LIMIT
    assert queries[0] == QueryCache(make_endpoint("near"))


def interrupt(state: PlacementState, content: str) -> None:
    """Let the only endpoint take a request and break its connection."""
    granted = get_grant(handle(acquire(content, content=content), state, NOW))
    released = ReleaseEndpoint(granted.permit, AttemptResult.CONNECTION_LOST)
    assert handle(released, state, NOW) == []


@pytest.mark.parametrize(
    "result", [AttemptResult.NOT_CONNECTED, AttemptResult.MISDIRECTED]
)
def test_crash_is_found_with_the_requests_that_ran(result: AttemptResult) -> None:
    """Guard against a crash that no log line connects with what the endpoint ran."""
    state = make_state(make_endpoint("e1"))
    interrupt(state, "a")
    probe = get_grant(handle(acquire("probe", content="c"), state, NOW))
    (crash,) = handle(ReleaseEndpoint(probe.permit, result), state, NOW)
    assert isinstance(crash, EndpointCrashed)
    assert [record.fingerprint for record in crash.records] == ["a"]
    assert crash.records[0].crashes["e1/0"].n_points == Suspicion.UNDER_WAY


def test_crash_is_found_by_the_list() -> None:
    """Guard against a crash that is missed since the endpoint is back before a try."""
    for listed in ((), (replace(make_endpoint("e1"), born_ms=7),)):
        state = make_state(make_endpoint("e1"))
        interrupt(state, "a")
        effects = handle(EndpointsListed(listed), state, NOW)
        (crash,) = (item for item in effects if isinstance(item, EndpointCrashed))
        assert [record.fingerprint for record in crash.records] == ["a"]


def hide_for_a_while(state: PlacementState, endpoint: ListedEndpoint) -> None:
    """Let the list name an endpoint no more, and name it again."""
    handle(EndpointsListed(()), state, NOW)
    handle(EndpointsListed((endpoint,)), state, NOW + timedelta(seconds=2))


def test_endpoint_keeps_its_limit_while_the_list_does_not_name_it() -> None:
    """Guard against sends above a limit after an entry could not be read."""
    endpoint = replace(make_endpoint("e1"), born_ms=7)
    state = make_state(endpoint)
    granted = get_grant(handle(acquire("1"), state, NOW))
    handle(EndpointRateLimited(granted.permit, 2.0), state, NOW)
    hide_for_a_while(state, endpoint)
    assert state.endpoints[EndpointId("e1")].rate_limit.requests_per_s == 2.0


def test_limit_named_while_the_list_does_not_name_the_endpoint_counts() -> None:
    """Guard against an answer that is ignored since its endpoint is not listed."""
    endpoint = replace(make_endpoint("e1"), born_ms=7)
    state = make_state(endpoint)
    granted = get_grant(handle(acquire("1"), state, NOW))
    handle(EndpointsListed(()), state, NOW)
    handle(EndpointRateLimited(granted.permit, 2.0), state, NOW)
    handle(EndpointsListed((endpoint,)), state, NOW)
    assert state.endpoints[EndpointId("e1")].rate_limit.requests_per_s == 2.0


def test_endpoint_keeps_its_announced_stop_while_it_is_not_listed() -> None:
    """Guard against requests to a leaving endpoint after an unreadable entry."""
    endpoint = replace(make_endpoint("e1"), born_ms=7)
    state = make_state(endpoint)
    granted = get_grant(handle(acquire("1"), state, NOW))
    handle(EndpointLeaving(granted.permit), state, NOW)
    hide_for_a_while(state, endpoint)
    assert handle(acquire("2"), state, NOW) == []


def test_endpoint_keeps_its_cache_and_its_requests_while_it_is_not_listed() -> None:
    """Guard against an engine that counts as empty and idle after a bad entry."""
    endpoint = replace(make_endpoint("e1"), born_ms=7)
    state = make_state(endpoint)
    workload = make_workload("a")
    granted = get_grant(handle(acquire("1", workload), state, NOW))
    running = get_grant(handle(acquire("2", workload), state, NOW))
    handle(EndpointsListed(()), state, NOW)
    handle(ReleaseEndpoint(granted.permit, AttemptResult.COMPLETED), state, NOW)
    handle(EndpointsListed((endpoint,)), state, NOW)
    record = state.endpoints[EndpointId("e1")]
    assert record.permits == {running.permit}
    assert count_uncached_tokens(record.cache, workload) == 0


def test_endpoint_that_was_started_again_has_nothing_of_the_earlier_one() -> None:
    """Guard against a limit or an announced stop of an endpoint that is gone."""
    endpoint = replace(make_endpoint("e1"), born_ms=7)
    state = make_state(endpoint)
    granted = get_grant(handle(acquire("1"), state, NOW))
    handle(EndpointLeaving(granted.permit), state, NOW)
    hide_for_a_while(state, replace(endpoint, born_ms=8))
    assert get_grant(handle(acquire("2"), state, NOW)).endpoint.born_ms == 8


def test_endpoint_that_stays_away_is_forgotten() -> None:
    """Guard against memory that grows with each endpoint that ever was."""
    state = make_state(replace(make_endpoint("e1"), born_ms=7))
    handle(EndpointsListed(()), state, NOW)
    handle(EndpointsListed(()), state, NOW + UNLISTED_MEMORY_DURATION)
    assert not state.unlisted


def test_call_that_nobody_else_sees_is_suspected_from_its_second_loss() -> None:
    """Guard against an endpoint that one call crashes again and again, unnoticed."""
    state = make_state(make_endpoint("e1"))
    crashes: dict[str, int] = {}
    for number in range(4):
        at = NOW + timedelta(seconds=4 * number)
        granted = get_grant(handle(acquire(f"{number}", content="a"), state, at))
        lost_at = at + timedelta(milliseconds=30)
        lost = ReleaseEndpoint(granted.permit, AttemptResult.CONNECTION_LOST)
        for effect in handle(lost, state, lost_at):
            assert isinstance(effect, EndpointCrashed)
            for record in effect.records:
                for name, trace in record.crashes.items():
                    crashes[name] = trace.n_points
        assert len(crashes) == (number + 1 if number else 0)
    assert set(crashes.values()) == {Suspicion.UNDER_WAY}


def test_lost_answers_with_one_served_between_them_are_no_crash() -> None:
    """Guard against suspicion of what many callers ask for while answers are lost."""
    state = make_state(make_endpoint("e1", 9))
    for number in range(5):
        at = NOW + timedelta(seconds=number)
        lost = get_grant(handle(acquire(f"l{number}", content="a"), state, at))
        released = ReleaseEndpoint(lost.permit, AttemptResult.CONNECTION_LOST)
        assert handle(released, state, at) == []
        later = at + timedelta(milliseconds=10)
        served = get_grant(handle(acquire(f"s{number}", content="b"), state, later))
        handle(ReleaseEndpoint(served.permit, AttemptResult.COMPLETED), state, later)


def test_lost_answer_is_no_crash() -> None:
    """Guard against suspicion of a request whose answer was only lost on its way."""
    state = make_state(make_endpoint("e1"))
    interrupt(state, "a")
    later = NOW + timedelta(milliseconds=1)
    served = get_grant(handle(acquire("b", content="b"), state, later))
    handle(ReleaseEndpoint(served.permit, AttemptResult.COMPLETED), state, later)
    assert handle(EndpointsListed(()), state, later) == []


def test_end_of_a_leaving_endpoint_is_no_crash() -> None:
    """Guard against suspicion of what ran when an endpoint left as announced."""
    state = make_state(make_endpoint("e1"))
    interrupt(state, "a")
    leaving = replace(make_endpoint("e1"), is_leaving=True)
    handle(EndpointsListed((leaving,)), state, NOW)
    assert handle(EndpointsListed(()), state, NOW) == []


def test_connections_that_break_at_once_are_a_crash() -> None:
    """Guard against a crash that is found only when the next request fails."""
    state = make_state(make_endpoint("e1", n_slots=3))
    grants = [
        get_grant(handle(acquire(name, content=name), state, NOW)) for name in "abc"
    ]
    found = []
    for granted in grants:
        released = ReleaseEndpoint(granted.permit, AttemptResult.CONNECTION_LOST)
        for effect in handle(released, state, NOW):
            assert isinstance(effect, EndpointCrashed)
            found.extend(record.fingerprint for record in effect.records)
    assert found == ["a", "b", "c"]


@pytest.mark.parametrize(
    ("workload", "progress", "suspicion"),
    [
        (make_workload("a"), AttemptProgress.NOTHING, Suspicion.QUEUED),
        (make_workload("a"), AttemptProgress.HEAD, Suspicion.STARTED),
        (make_workload("a"), AttemptProgress.OUTPUT, Suspicion.RUNNING),
        (None, AttemptProgress.NOTHING, Suspicion.UNDER_WAY),
    ],
)
def test_content_that_had_just_begun_is_suspected_most(
    workload: InferenceWorkload | None, progress: AttemptProgress, suspicion: Suspicion
) -> None:
    """Guard against suspicion of all that ran beside the content that crashes."""
    state = make_state(make_endpoint("e1"))
    granted = get_grant(handle(acquire("1", workload), state, NOW))
    lost = ReleaseEndpoint(granted.permit, AttemptResult.CONNECTION_LOST, progress)
    handle(lost, state, NOW)
    (crash,) = (
        effect
        for effect in handle(EndpointsListed(()), state, NOW)
        if isinstance(effect, EndpointCrashed)
    )
    assert crash.records[0].crashes["e1/0"].n_points == suspicion


def test_quarantined_content_is_refused_at_once_also_while_it_waits() -> None:
    """Guard against a send that was under way when the content was convicted."""
    state = make_state(make_endpoint("e1", n_slots=1))
    handle(acquire("0", content="sound"), state, NOW)
    handle(acquire("1", content="sound"), state, NOW)
    assert handle(acquire("2", content="bad"), state, NOW) == []
    bad = frozenset({RequestFingerprint("bad")})
    for effects in (
        handle(CrashesReported(bad, bad), state, NOW),
        handle(acquire("3", content="bad"), state, NOW),
    ):
        (effect,) = effects
        assert isinstance(effect, SendReply)
        assert isinstance(effect.message, EndpointRefused)
        assert effect.message.is_quarantined
