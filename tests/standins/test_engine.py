"""Guard against an engine stand-in with an unrealistic batch, cache or report."""

from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.process.mailbox import make_mailbox
from standins.process.engine.batch import step
from standins.process.engine.cache import (
    PrefixCache,
    count_cached_tokens,
    list_events,
    store_prefix,
)
from standins.process.engine.core import handle
from standins.process.engine.state import EngineSettings, make_engine_state
from standins.request.messages import (
    ApplyOrder,
    Chunk,
    GetCacheEvents,
    GetLoad,
    ReleaseCache,
    Response,
    SubmitStream,
    Usage,
)
from standins.request.states import OrderKind
from standins.request.text import make_text

START = datetime(2026, 1, 1, tzinfo=UTC)
PROMPT = (("user", "x" * 400),)


class EngineHarness:
    """Runs an engine by a simulated clock and records the messages that it sends."""

    def __init__(self, **settings):
        self.state = make_engine_state(EngineSettings(**settings))
        self.now = START
        self.received = {}

    def send(self, message):
        """Handle a message at the current time."""
        self.deliver(handle(message, self.state, self.now))

    def deliver(self, effects):
        """Record what each address receives and when."""
        for effect in effects:
            address_id = id(effect.address)
            self.received.setdefault(address_id, []).append((self.now, effect.message))

    def submit(self, stream_id, program="p", priority=0, n_tokens=4, messages=PROMPT):
        """Start a stream and return its reply address."""
        reply_mailbox = make_mailbox(stream_id)
        self.send(
            SubmitStream(
                stream_id,
                program,
                "standin",
                messages,
                n_tokens,
                priority,
                reply_mailbox,
            )
        )
        return reply_mailbox

    def run(self):
        """Run steps until no stream is left."""
        while self.state.next_step_at is not None:
            self.now = max(self.now, self.state.next_step_at)
            self.deliver(step(self.state, self.now))

    def list_received(self, reply_address, message_type):
        """Return the messages of a type with the times at which they were received."""
        received = self.received.get(id(reply_address), [])
        return [
            (received_at, message)
            for received_at, message in received
            if isinstance(message, message_type)
        ]

    def send_request(self, make_message):
        """Return the response to a query."""
        reply_mailbox = make_mailbox("query")
        self.send(make_message(reply_mailbox))
        return self.list_received(reply_mailbox, Response)[-1][1]


def measure_token_time(n_streams):
    """Return the mean seconds between tokens with `n_streams` at once."""
    harness = EngineHarness(n_slots=32, prefill_tokens_per_s=1e9)
    reply_addresses = [
        harness.submit(f"s{n}", f"p{n}", n_tokens=20) for n in range(n_streams)
    ]
    harness.run()
    times = [
        received_at
        for received_at, _ in harness.list_received(reply_addresses[0], Chunk)
    ]
    return (times[-1] - times[1]) / (len(times) - 2)


def test_token_time_grows_with_the_batch():
    """Guard against an engine that is as fast under load as without."""
    assert measure_token_time(1) < measure_token_time(8) < measure_token_time(32)


def test_waiting_streams_start_in_order_of_priority():
    """Guard against an engine that serves in the order of arrival only."""
    harness = EngineHarness(n_slots=1)
    reply_addresses = [
        harness.submit(f"s{n}", f"p{n}", priority=9 - n) for n in range(4)
    ]
    harness.run()
    ended_at = [
        harness.list_received(address, Usage)[0][0] for address in reply_addresses
    ]
    assert ended_at[0] < ended_at[3] < ended_at[2] < ended_at[1]


def test_prefill_takes_time_only_for_tokens_that_are_not_cached():
    """Guard against a cache without effect."""
    harness = EngineHarness(prefill_tokens_per_s=1000.0)
    first = harness.submit("s1")
    harness.run()
    usage = harness.list_received(first, Usage)[0][1]
    assert usage == Usage(100, 0, 4)
    assert harness.list_received(first, Chunk)[0][0] - START == timedelta(seconds=0.1)
    second_at = harness.now
    second = harness.submit("s2")
    harness.run()
    assert harness.list_received(second, Usage)[0][1].cached_tokens == 100
    assert harness.list_received(second, Chunk)[0][0] == second_at


@given(
    st.lists(
        st.tuples(st.sampled_from("abcdef"), st.integers(1, 60)),
        min_size=1,
        max_size=40,
    )
)
def test_cache_never_exceeds_its_capacity(stored_prefixes):
    """Guard against tokens that are counted wrongly or never freed."""
    cache = PrefixCache(50, timedelta(0), 0)
    for program, n_tokens in stored_prefixes:
        store_prefix(cache, program, (("user", "x" * 4 * n_tokens),), START)
        counted = sum(
            count_cached_tokens(cache, name, prefix)
            for name, prefix in cache.prefixes.items()
        )
        assert cache.n_tokens == counted <= 50
    cached_programs = set()
    for event in list_events(cache, 0, START)[0]:
        (cached_programs.add if event.kind == "stored" else cached_programs.discard)(
            event.program
        )
    assert cached_programs == set(cache.prefixes)


def test_cache_events_are_delayed_and_have_gaps():
    """Guard against consumers that are only tested with immediate, complete events."""
    harness = EngineHarness(n_events_per_gap=3, event_lag=timedelta(seconds=1))
    for number in range(6):
        harness.submit(f"s{number}", f"p{number}")
        harness.run()
    make_query = lambda address: GetCacheEvents(0, address)  # noqa: E731
    ended_at = harness.now
    assert harness.send_request(make_query).body["last"] < 5
    harness.now = ended_at + timedelta(seconds=1)
    numbers = [
        event["number"] for event in harness.send_request(make_query).body["events"]
    ]
    assert numbers == [1, 2, 4, 5]


def test_load_report_lags():
    """Guard against schedulers that are only tested with up-to-date reports."""
    harness = EngineHarness(load_lag=timedelta(seconds=2))
    harness.submit("s1", n_tokens=1000)
    assert harness.send_request(GetLoad).body["n_running"] == 0
    harness.now += timedelta(seconds=2)
    assert harness.send_request(GetLoad).body == {
        "n_running": 1,
        "n_waiting": 0,
        "age_ms": 2000,
    }


def apply_order(harness, fencing_number, model):
    """Return the status of the response to an order."""
    make_order = lambda address: ApplyOrder(  # noqa: E731
        fencing_number, OrderKind.LOAD_MODEL, model, address
    )
    return harness.send_request(make_order).status


def test_outdated_orders_are_refused_only_with_the_fencing_check():
    """Guard against a fencing test that passes on an engine without the check."""
    checking = EngineHarness(checks_fencing=True)
    assert [apply_order(checking, n, "m") for n in (5, 4, 5, 6)] == [200, 409, 200, 200]
    ignoring = EngineHarness(checks_fencing=False)
    assert [apply_order(ignoring, n, "m") for n in (5, 4)] == [200, 200]


def test_release_of_a_running_program_is_not_confirmed():
    """Guard against a confirmed release whose stream stores the prefix again."""
    harness = EngineHarness()
    harness.submit("s1")
    make_release = lambda address: ReleaseCache("p", address)  # noqa: E731
    assert harness.send_request(make_release).body == {"released": False}
    harness.run()
    assert harness.send_request(make_release).body == {"released": True}
    assert not harness.state.cache.prefixes


@given(st.integers(0, 50), st.integers(0, 50))
def test_text_depends_only_on_seed_and_position(start, end):
    """Guard against different text after another engine continues an answer."""
    assert make_text("seed", start, end) == make_text("seed", 0, 50)[start:end]
