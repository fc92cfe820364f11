"""Guard against overloaded, leaving and cold endpoints being chosen."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.cache import count_missing_tokens
from oleanderhitch.process.placement.core import (
    N_CACHES_ASKED,
    AskForCache,
    SendReply,
    handle,
)
from oleanderhitch.process.placement.health import SILENCE_LIMIT
from oleanderhitch.process.placement.latency import get_slowness, get_typical_ms
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    AttemptResult,
    CacheCapacitiesUpdated,
    CacheContentsReported,
    EndpointGranted,
    EndpointLoad,
    EndpointRefused,
    EndpointsListed,
    EventLatencyObserved,
    FirstChunkReceived,
    InferenceWorkload,
    PeerLoadsReported,
    PromptPart,
    ReleaseEndpoint,
    WithdrawRequest,
)
from oleanderhitch.process.placement.records import OTHERS_AGE_LIMIT, PlacementState
from oleanderhitch.request.ids import RequestId
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
    """Return placement that knows some endpoints."""
    state = PlacementState(HOME, "entry")
    handle(EndpointsListed(endpoints), state, NOW)
    return state


def make_shape(*parts: str) -> InferenceWorkload:
    """Return a prompt of parts of 10,000 tokens each."""
    return InferenceWorkload(
        10_000 * len(parts), 200, 100, tuple(PromptPart(part, 10_000) for part in parts)
    )


def acquire(
    name: str,
    shape: InferenceWorkload | None = None,
    rank: int = 0,
    tried: tuple[str, ...] = (),
    may_repeat: bool = False,
    affinity: str | None = None,
) -> AcquireEndpoint:
    """Return a request for an endpoint, due in five seconds."""
    return AcquireEndpoint(
        RequestId(name),
        SERVICE,
        shape,
        affinity,
        rank,
        tuple(EndpointId(one) for one in tried),
        may_repeat,
        NOW + timedelta(seconds=5),
        REPLY,
    )


def get_grant(effects: list[object]) -> EndpointGranted:
    """Return the only grant among effects."""
    (effect,) = effects
    assert isinstance(effect, SendReply)
    assert isinstance(effect.message, EndpointGranted)
    return effect.message


def test_shared_prompt_goes_where_it_was_read() -> None:
    """Reading the same prompt again wastes the engine's time."""
    state = make_state(make_endpoint("e1"), make_endpoint("e2"))
    first = get_grant(handle(acquire("1", make_shape("a", "b")), state, NOW))
    handle(FirstChunkReceived(first.permit), state, NOW)
    second = get_grant(handle(acquire("2", make_shape("a", "c")), state, NOW))
    assert second.endpoint == first.endpoint


def test_growing_session_stays_where_its_turns_were_read() -> None:
    """A session's part grows under one id; only what is new must be read."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    for shared in ("a", "b"):
        first = get_grant(handle(acquire(shared, make_shape(shared)), state, NOW))
        handle(FirstChunkReceived(first.permit), state, NOW)
    shape = InferenceWorkload(
        14_000, 100, 50, (PromptPart("a", 10_000), PromptPart("s", 4_000))
    )
    first = get_grant(handle(acquire("1", shape), state, NOW))
    handle(FirstChunkReceived(first.permit), state, NOW)
    grown = InferenceWorkload(
        15_000, 100, 50, (PromptPart("a", 10_000), PromptPart("s", 5_000))
    )
    cache = state.endpoints[first.endpoint.endpoint].cache
    assert count_missing_tokens(cache, grown) == 1_000
    again = get_grant(handle(acquire("2", grown), state, NOW))
    assert again.endpoint == first.endpoint


def test_unrelated_prompts_are_spread() -> None:
    """One engine must not do all the work."""
    state = make_state(make_endpoint("e1"), make_endpoint("e2"))
    first = get_grant(handle(acquire("1", make_shape("a")), state, NOW))
    second = get_grant(handle(acquire("2", make_shape("b")), state, NOW))
    assert second.endpoint != first.endpoint


def test_leaving_and_tried_endpoints_get_nothing() -> None:
    """An endpoint that leaves must get no new work."""
    leaving = replace(make_endpoint("e1"), is_leaving=True)
    state = make_state(leaving, make_endpoint("e2"), make_endpoint("e3"))
    grant = get_grant(handle(acquire("1", tried=("e2",)), state, NOW))
    assert grant.endpoint.endpoint == "e3"


def test_urgent_request_is_served_first_when_room_returns() -> None:
    """Less urgent work must not delay more urgent work."""
    state = make_state(make_endpoint("e1", n_slots=1))
    shape = make_shape("a")
    running = get_grant(handle(acquire("1", shape), state, NOW))
    assert handle(acquire("2", shape, rank=2), state, NOW) == []
    assert handle(acquire("3", shape, rank=0), state, NOW) == []
    done = ReleaseEndpoint(running.permit, AttemptResult.COMPLETED)
    assert get_grant(handle(done, state, NOW)).request == "3"


def test_request_is_refused_when_its_time_has_come() -> None:
    """A caller must learn early that nothing will serve it."""
    state = make_state()
    assert handle(acquire("1"), state, NOW) == []
    (effect,) = handle(Tick(), state, NOW + timedelta(seconds=5))
    assert isinstance(effect, SendReply)
    assert isinstance(effect.message, EndpointRefused)


def test_withdrawn_request_gets_no_permit() -> None:
    """A permit for a request that is gone would never come back."""
    state = make_state()
    handle(acquire("1"), state, NOW)
    handle(WithdrawRequest(RequestId("1")), state, NOW)
    assert handle(EndpointsListed((make_endpoint("e1"),)), state, NOW) == []


def test_unreachable_endpoint_is_avoided_for_a_while() -> None:
    """The list names a crashed endpoint for some seconds more."""
    state = make_state(make_endpoint("e1"), make_endpoint("e2", n_slots=9))
    first = get_grant(handle(acquire("1"), state, NOW))
    failed = ReleaseEndpoint(first.permit, AttemptResult.NOT_CONNECTED)
    handle(failed, state, NOW)
    for number in range(3):
        grant = get_grant(handle(acquire(f"again-{number}"), state, NOW))
        assert grant.endpoint.endpoint != first.endpoint.endpoint


def test_slowed_endpoint_gets_less_work() -> None:
    """An endpoint that neighbours slow down must not hold up its share."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    slow = get_grant(handle(acquire("1", make_shape("a")), state, NOW))
    fast = get_grant(handle(acquire("2", make_shape("b")), state, NOW))
    for _ in range(4):
        for grant, pause_ms in ((slow, 120), (fast, 30)):
            pause = timedelta(milliseconds=pause_ms)
            handle(EventLatencyObserved(grant.permit, pause), state, NOW)
    for number in range(3):
        request = acquire(f"more-{number}", make_shape(f"c{number}"))
        grant = get_grant(handle(request, state, NOW))
        assert grant.endpoint == fast.endpoint


def test_work_of_other_entries_counts() -> None:
    """Entries that count only their own work choose the same endpoint."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    busy = PeerLoadsReported((EndpointLoad(EndpointId("e1"), 5, 30_000),))
    handle(busy, state, NOW)
    for number in range(3):
        request = acquire(f"{number}", make_shape("a"))
        assert get_grant(handle(request, state, NOW)).endpoint.endpoint == "e2"
    full = PeerLoadsReported((EndpointLoad(EndpointId("e2"), 9, 0),))
    handle(full, state, NOW)
    grant = get_grant(handle(acquire("x", make_shape("a")), state, NOW))
    assert grant.endpoint.endpoint == "e1"


def test_loads_told_long_ago_are_forgotten() -> None:
    """An entry cut off from the stores must not trust what it heard before."""
    state = make_state(make_endpoint("e1", 2))
    handle(PeerLoadsReported((EndpointLoad(EndpointId("e1"), 2, 0),)), state, NOW)
    assert handle(acquire("1", make_shape("a")), state, NOW) == []
    later = NOW + OTHERS_AGE_LIMIT + timedelta(milliseconds=1)
    assert get_grant(handle(Tick(), state, later)).request == "1"


def test_restarted_endpoint_has_an_empty_cache() -> None:
    """An endpoint that starts again under its id knows nothing of before."""
    state = make_state(make_endpoint("e1"), make_endpoint("e2"))
    first = get_grant(handle(acquire("1", make_shape("a")), state, NOW))
    name = first.endpoint.endpoint
    handle(ReleaseEndpoint(first.permit, AttemptResult.COMPLETED), state, NOW)
    reborn = tuple(
        replace(one.listed, born_ms=5) if key == name else one.listed
        for key, one in state.endpoints.items()
    )
    handle(EndpointsListed(reborn), state, NOW)
    assert not state.endpoints[name].cache.parts


def test_starting_entry_asks_what_engines_hold() -> None:
    """An entry that starts must not send sessions away from their prompts."""
    state = make_state(make_endpoint("a", 9), make_endpoint("b", 9))
    asked = handle(CacheCapacitiesUpdated({SERVICE: 900_000}), state, NOW)
    assert [type(effect) for effect in asked] == [AskForCache, AskForCache]
    assert handle(CacheCapacitiesUpdated({SERVICE: 900_000}), state, NOW) == []
    shape = make_shape("shared", "own")
    handle(CacheContentsReported(EndpointId("b"), 0, shape.parts), state, NOW)
    granted = get_grant(handle(acquire("r1", shape), state, NOW))
    assert granted.endpoint.endpoint == "b"


def test_new_engine_is_not_asked() -> None:
    """An engine that starts later holds nothing, and asking costs it time."""
    state = make_state(make_endpoint("a"))
    handle(CacheCapacitiesUpdated({SERVICE: 900_000}), state, NOW)
    listed = EndpointsListed((make_endpoint("a"), make_endpoint("b")))
    assert handle(listed, state, NOW) == []


def test_parts_of_an_earlier_start_are_not_taken() -> None:
    """An engine that started again under its name holds nothing of before."""
    state = make_state(make_endpoint("a"))
    handle(CacheContentsReported(EndpointId("a"), 5, make_shape("x").parts), state, NOW)
    assert not state.endpoints[EndpointId("a")].cache.parts


def test_declared_memory_bounds_the_estimate() -> None:
    """A prompt that is still held must not be taken for evicted."""
    state = make_state(make_endpoint("a", 90))
    handle(CacheCapacitiesUpdated({SERVICE: 900_000}), state, NOW)
    for number in range(90):
        handle(acquire(f"r{number}", make_shape(f"p{number}")), state, NOW)
    cache = state.endpoints[EndpointId("a")].cache
    assert count_missing_tokens(cache, make_shape("p0")) == 0
    handle(CacheCapacitiesUpdated({SERVICE: 100_000}), state, NOW)
    assert count_missing_tokens(cache, make_shape("p0")) == 10_000


def test_new_engine_shares_the_load_of_those_with_warm_caches() -> None:
    """Requests must not pile up on the engines that a release left in place."""
    state = make_state(make_endpoint("warm", 64), make_endpoint("new", 64))
    shape = make_shape("shared")
    handle(CacheContentsReported(EndpointId("warm"), 0, shape.parts), state, NOW)
    chosen = []
    for number in range(40):
        granted = get_grant(handle(acquire(f"r{number}", shape), state, NOW))
        handle(FirstChunkReceived(granted.permit), state, NOW)
        chosen.append(granted.endpoint.endpoint)
    assert chosen[:4] == ["warm"] * 4
    assert 12 <= chosen.count("new") <= 28


def test_full_batch_is_no_slowdown() -> None:
    """An engine with more work than its peers must not be taken for a slow one."""
    state = make_state(make_endpoint("e1", 90), make_endpoint("e2", 90))
    load = PeerLoadsReported((EndpointLoad(EndpointId("e1"), 50, 0),))
    handle(load, state, NOW)
    first = get_grant(handle(acquire("1", make_shape("a"), tried=("e2",)), state, NOW))
    second = get_grant(handle(acquire("2", make_shape("b"), tried=("e1",)), state, NOW))
    for grant, pause_ms in ((first, 54), (second, 18)):
        pause = timedelta(milliseconds=pause_ms)
        handle(EventLatencyObserved(grant.permit, pause), state, NOW)
    paces = [endpoint.pace for endpoint in state.endpoints.values()]
    typical_ms = get_typical_ms(paces, NOW)
    assert [get_slowness(pace, typical_ms, NOW) for pace in paces] == [1.0, 1.0]


def test_silent_endpoint_gets_no_more_work_while_others_answer() -> None:
    """Requests must not follow each other to an endpoint that has gone silent."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    first = get_grant(handle(acquire("1", tried=("e2",)), state, NOW))
    other = get_grant(handle(acquire("2", tried=("e1",)), state, NOW))
    late = NOW + SILENCE_LIMIT + timedelta(milliseconds=1)
    done = ReleaseEndpoint(other.permit, AttemptResult.COMPLETED)
    handle(done, state, late)
    for number in range(5):
        granted = get_grant(handle(acquire(f"more-{number}"), state, late))
        assert granted.endpoint.endpoint == "e2"
    # Nothing else is left for a request that the other one refused.
    last = get_grant(handle(acquire("3", tried=("e2",)), state, late))
    assert last.endpoint == first.endpoint


def test_idle_endpoint_is_not_silent() -> None:
    """An endpoint without work has nothing to say."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    first = get_grant(handle(acquire("1", tried=("e2",)), state, NOW))
    handle(ReleaseEndpoint(first.permit, AttemptResult.COMPLETED), state, NOW)
    later = NOW + 10 * SILENCE_LIMIT
    chosen = {
        get_grant(handle(acquire(f"{n}"), state, later)).endpoint.endpoint
        for n in range(2)
    }
    assert chosen == {"e1", "e2"}


def test_endpoint_that_left_a_call_unanswered_is_avoided_for_a_while() -> None:
    """The repeated call must not meet the same silence."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    first = get_grant(handle(acquire("1"), state, NOW))
    handle(ReleaseEndpoint(first.permit, AttemptResult.SILENT), state, NOW)
    again = get_grant(handle(acquire("1"), state, NOW))
    assert again.endpoint != first.endpoint


def test_failing_endpoint_gets_no_work_that_would_be_lost() -> None:
    """An endpoint that resets part of its calls must not keep its share of them."""
    state = make_state(make_endpoint("grey", 9), make_endpoint("sound", 9))
    for number in range(2):
        granted = get_grant(handle(acquire(f"{number}", tried=("sound",)), state, NOW))
        handle(ReleaseEndpoint(granted.permit, AttemptResult.FAILED), state, NOW)
    for number in range(8):
        granted = get_grant(handle(acquire(f"more-{number}"), state, NOW))
        assert granted.endpoint.endpoint == "sound"


def test_failures_fade() -> None:
    """An endpoint must get work again once its fault is over."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    first = get_grant(handle(acquire("1"), state, NOW))
    handle(ReleaseEndpoint(first.permit, AttemptResult.FAILED), state, NOW)
    later = NOW + timedelta(seconds=20)
    chosen = [
        get_grant(handle(acquire(f"{n}"), state, later)).endpoint.endpoint
        for n in range(4)
    ]
    assert set(chosen) == {"e1", "e2"}


def test_all_endpoints_failing_still_serve() -> None:
    """Failures everywhere must not stop the service."""
    state = make_state(make_endpoint("e1", 9))
    for number in range(5):
        granted = get_grant(handle(acquire(f"{number}"), state, NOW))
        handle(ReleaseEndpoint(granted.permit, AttemptResult.FAILED), state, NOW)


def test_calls_on_an_object_follow_each_other() -> None:
    """A service is faster on an object that it has handled lately."""
    state = make_state(make_endpoint("e1", 9), make_endpoint("e2", 9))
    first = get_grant(handle(acquire("1", affinity="17"), state, NOW))
    handle(ReleaseEndpoint(first.permit, AttemptResult.COMPLETED), state, NOW)
    other = get_grant(handle(acquire("2", tried=("e1",)), state, NOW))
    handle(ReleaseEndpoint(other.permit, AttemptResult.COMPLETED), state, NOW)
    second = get_grant(handle(acquire("3", affinity="17"), state, NOW))
    assert second.endpoint == first.endpoint
    # A queue costs more than the object saves.
    third = get_grant(handle(acquire("4", affinity="17"), state, NOW))
    assert third.endpoint != first.endpoint


def test_starting_entry_asks_a_bounded_number_of_engines() -> None:
    """A large fleet must not be flooded by every entry that starts."""
    far = [
        replace(make_endpoint(f"far-{n}"), data_centre=DataCentreName("far"))
        for n in range(N_CACHES_ASKED)
    ]
    state = make_state(*far, make_endpoint("near"))
    asked = handle(CacheCapacitiesUpdated({SERVICE: 900_000}), state, NOW)
    assert len(asked) == N_CACHES_ASKED
    assert asked[0] == AskForCache(make_endpoint("near"))
