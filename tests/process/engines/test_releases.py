"""Guard against prefixes of ended programs that stay cached and others released."""

from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.process.engines.messages import (
    CachedProgramsRead,
    CacheEvent,
    CacheEventsRead,
    CacheReleased,
    CallEngine,
    EngineCallFailed,
    EngineDescription,
    EnginesChanged,
    LoadRead,
    ReadCachedPrograms,
    ReadCacheEvents,
    ReadLoad,
    ReleaseCache,
)
from oleanderhitch.process.engines.polling import core as polling
from oleanderhitch.process.engines.polling.messages import (
    CachedProgramsListed,
    NotifySubscribers,
)
from oleanderhitch.process.engines.releases import core as releases
from oleanderhitch.process.engines.releases.messages import (
    CheckPrograms,
    ConfirmationRecorded,
    ListOpenReleases,
    ProgramsChecked,
    RecordConfirmation,
    ReleasesListed,
)
from oleanderhitch.process.messages import Tick
from oleanderhitch.program.messages import Release
from standins.process.engine.cache import (
    PrefixCache,
    list_events,
    release_prefix,
    store_prefix,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
STEP = timedelta(milliseconds=200)
ENGINES = ("e0", "e1")
PROGRAMS = tuple(f"p{n}" for n in range(6))
PREFIX = (("user", "x" * 40),)


class ReleasesHarness:
    """Runs polling and releases against engines and one program shard."""

    def __init__(self):
        self.now = START
        self.caches = {
            name: PrefixCache(10_000, timedelta(milliseconds=500), 3)
            for name in ENGINES
        }
        self.running = set()
        self.ended = set()
        self.open_releases = set()
        self.is_reachable = {name: True for name in ENGINES}
        self.loses_responses = False
        self.is_shard_reachable = True
        self.polling = polling.make_polling_state()
        self.releases = releases.make_releases_state()
        self.n_calls = 0
        self.configure(ENGINES)

    def configure(self, names):
        """Apply a configuration with these engines."""
        engines = tuple(
            EngineDescription(name, f"{name}:1", (), True) for name in names
        )
        self.send_to_polling(EnginesChanged(engines))
        self.send_to_releases(EnginesChanged(engines))

    def store(self, program, engine):
        """Store a program's prefix, as a request does, also after the program's end."""
        if program not in self.ended:
            self.running.add(program)
        store_prefix(self.caches[engine], program, PREFIX, self.now)

    def end(self, program, recorded_engines):
        """End a running program; its shard lists a release per recorded engine."""
        if program in self.running:
            self.running.remove(program)
            self.ended.add(program)
            self.open_releases |= {(program, engine) for engine in recorded_engines}

    def send_to_polling(self, message):
        """Deliver a message to polling and perform the effects."""
        for effect in polling.handle(message, self.polling, self.now):
            if isinstance(effect, NotifySubscribers):
                self.send_to_releases(effect.message)
            else:
                self.send_to_polling(self.call(effect))

    def send_to_releases(self, message):
        """Deliver a message to releases and perform the effects."""
        for effect in releases.handle(message, self.releases, self.now):
            if isinstance(effect, CallEngine):
                self.n_calls += 1
                assert effect.request.program in self.ended, "program still runs"
                self.send_to_releases(self.call(effect))
            elif self.is_shard_reachable:
                self.send_to_releases(self.query_shard(effect))

    def query_shard(self, effect):
        """Return the shard's reply to a query."""
        if isinstance(effect, ListOpenReleases):
            listed = tuple(
                Release(program, engine, 1) for program, engine in self.open_releases
            )
            return ReleasesListed("g", listed)
        if isinstance(effect, RecordConfirmation):
            self.open_releases.discard((effect.program, effect.endpoint))
            return ConfirmationRecorded(effect.program, effect.endpoint)
        assert isinstance(effect, CheckPrograms)
        ended = tuple(p for p in effect.programs if p not in self.running)
        running = tuple(p for p in effect.programs if p in self.running)
        return ProgramsChecked(ended, running)

    def call(self, effect):
        """Return the result of a call to an engine."""
        request = effect.request
        if not self.is_reachable[request.endpoint]:
            return EngineCallFailed(request, False, "unreachable")
        result = self.execute(request, self.caches[request.endpoint])
        if self.loses_responses:
            return EngineCallFailed(request, True, "answer lost")
        return result

    def execute(self, request, cache):
        """Execute a request at an engine and return its result."""
        name = request.endpoint
        if isinstance(request, ReadLoad):
            return LoadRead(name, 0, 0, timedelta(0))
        if isinstance(request, ReadCacheEvents):
            events, last = list_events(cache, request.after, self.now)
            cache_events = tuple(
                CacheEvent(event.sequence_number, event.program, event.kind == "stored")
                for event in events
            )
            return CacheEventsRead(name, request.after, cache_events, last)
        if isinstance(request, ReadCachedPrograms):
            return CachedProgramsRead(name, frozenset(cache.prefixes))
        assert isinstance(request, ReleaseCache)
        release_prefix(cache, request.program, self.now)
        return CacheReleased(name, request.program, True)

    def advance(self, n_steps=1):
        """Advance the clock and send ticks."""
        for _ in range(n_steps):
            self.now += STEP
            self.send_to_polling(Tick())
            self.send_to_releases(Tick())

    def recover(self):
        """End all failures and advance the clock until retries are done."""
        self.is_reachable = {name: True for name in ENGINES}
        self.loses_responses = False
        self.is_shard_reachable = True
        self.advance(500)


PROGRAM = st.sampled_from(PROGRAMS)
ENGINE = st.sampled_from(ENGINES)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("store"), PROGRAM, ENGINE),
        st.tuples(st.just("end"), PROGRAM, st.sets(ENGINE)),
        st.tuples(st.just("reach"), ENGINE, st.booleans()),
        st.tuples(st.just("lose"), st.booleans()),
        st.tuples(st.just("shard"), st.booleans()),
        st.tuples(st.just("configure"), st.sets(ENGINE)),
        st.tuples(st.just("wait"), st.integers(1, 30)),
    ),
    max_size=30,
)


def run_steps(harness, steps):
    """Run the steps of a generated history on a harness."""
    for verb, *arguments in steps:
        if verb == "reach":
            harness.is_reachable[arguments[0]] = arguments[1]
        elif verb == "lose":
            harness.loses_responses = arguments[0]
        elif verb == "shard":
            harness.is_shard_reachable = arguments[0]
        elif verb == "wait":
            harness.advance(arguments[0])
        else:
            getattr(harness, verb)(*arguments)
            harness.advance()


@given(STEPS)
def test_ended_programs_are_released_and_running_ones_are_not(steps):
    """Guard against ended programs that stay cached and running ones released."""
    harness = ReleasesHarness()
    run_steps(harness, steps)
    harness.configure(ENGINES)
    harness.recover()
    cached = {name: set(cache.prefixes) for name, cache in harness.caches.items()}
    assert all(programs <= harness.running for programs in cached.values()), cached
    assert harness.open_releases == set()
    assert harness.releases.open_releases == {}
    polled = {
        name: engine.cached_programs for name, engine in harness.polling.engines.items()
    }
    assert polled == cached


def test_removed_engine_counts_as_released():
    """Guard against releases at removed engines that accumulate."""
    harness = ReleasesHarness()
    harness.store("p0", "e0")
    harness.is_reachable["e0"] = False
    harness.end("p0", {"e0"})
    harness.advance(50)
    assert harness.open_releases == {("p0", "e0")}
    harness.configure(("e1",))
    harness.advance(100)
    assert harness.open_releases == {("p0", "e0")}, "the configuration may arrive late"
    harness.advance(100)
    assert harness.open_releases == set()


def test_running_stream_delays_the_confirmation():
    """Guard against a prefix that a stream stores after its confirmed release."""
    harness = ReleasesHarness()
    harness.store("p0", "e0")
    harness.end("p0", {"e0"})
    execute = harness.execute

    def refuse(request, cache):
        if isinstance(request, ReleaseCache):
            return CacheReleased(request.endpoint, request.program, False)
        return execute(request, cache)

    harness.execute = refuse
    harness.advance(20)
    assert harness.open_releases == {("p0", "e0")}
    harness.execute = execute
    harness.recover()
    assert harness.open_releases == set()


def test_calls_to_unreachable_engine_back_off():
    """Guard against a flood of calls to an unreachable engine."""
    harness = ReleasesHarness()
    harness.store("p0", "e0")
    harness.is_reachable["e0"] = False
    harness.end("p0", {"e0"})
    harness.advance(300)
    assert harness.n_calls <= 14


def test_removed_engine_is_reported_without_cached_programs():
    """Guard against subscribers that still use the cache of a removed engine."""
    state = polling.make_polling_state()
    engine = EngineDescription("e0", "e0:1", (), True)
    polling.handle(EnginesChanged((engine,)), state, START)
    effects = polling.handle(EnginesChanged(()), state, START)
    assert effects == [NotifySubscribers(CachedProgramsListed("e0", frozenset()))]


def test_gap_causes_an_immediate_read_of_cached_programs():
    """Guard against a state that stays wrong until the next periodic read."""
    state = polling.make_polling_state()
    polling.handle(
        EnginesChanged((EngineDescription("e0", "e0:1", (), True),)), state, START
    )
    polling.handle(Tick(), state, START)
    polling.handle(CacheEventsRead("e0", 0, (), 4), state, START)
    polling.handle(CachedProgramsRead("e0", frozenset()), state, START)
    polling.handle(Tick(), state, START)
    polling.handle(CachedProgramsRead("e0", frozenset()), state, START)
    requests = [effect.request for effect in polling.handle(Tick(), state, START)]
    assert ReadCachedPrograms("e0") not in requests
    later = START + STEP
    cache_events = (CacheEvent(6, "p1", True),)
    polling.handle(CacheEventsRead("e0", 4, cache_events, 6), state, later)
    requests = [effect.request for effect in polling.handle(Tick(), state, later)]
    assert ReadCachedPrograms("e0") in requests
