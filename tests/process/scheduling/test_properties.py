"""Guard against broken invariants of the queue after any sequence of messages."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from tests.process.scheduling.builders import enqueue
from tests.process.scheduling.harness import PoolHarness

ENDPOINTS = ("e1", "e2", "e3", "e4")
NODES = ("n1", "n2")

some_endpoints = st.lists(st.sampled_from(ENDPOINTS), max_size=2, unique=True)
requests = st.fixed_dictionaries(
    {
        "program": st.sampled_from([f"p{n}" for n in range(6)]),
        "account": st.sampled_from(["office", "yard", "tours"]),
        "node": st.sampled_from(NODES),
        "is_idempotent": st.booleans(),
        "n_turns": st.integers(0, 3),
        "attained_tokens": st.sampled_from([0, 10_000, 1_000_000]),
        "prompt_tokens": st.sampled_from([10, 5_000, 100_000]),
        "holders": some_endpoints.map(tuple),
        "excluded": some_endpoints.map(tuple),
        "time_to_deadline": st.sampled_from([1, 30, 300]).map(
            lambda seconds: timedelta(seconds=seconds)
        ),
    }
)
operations = st.one_of(
    st.tuples(st.just("enqueue"), requests),
    st.tuples(st.just("enqueue"), requests),
    st.tuples(st.just("enqueue"), requests),
    st.tuples(st.just("release"), st.integers(0, 50), st.booleans()),
    st.tuples(st.just("release"), st.integers(0, 50), st.just(True)),
    st.tuples(st.just("withdraw"), st.integers(0, 50)),
    st.tuples(st.just("wait"), st.sampled_from([0.01, 0.5, 3.0, 40.0])),
    st.tuples(
        st.just("offer"),
        st.dictionaries(st.sampled_from(ENDPOINTS), st.integers(1, 3), min_size=3),
        some_endpoints,
    ),
    st.tuples(st.just("lose_node"), st.sampled_from(NODES)),
    st.tuples(st.just("replace_owner")),
)

# Shorter sequences hardly reach a full queue, probation or a hedge.
many_operations = st.lists(operations, min_size=60, max_size=90)


def _release(harness, index, is_success):
    if harness.permits:
        permit = list(harness.permits)[index % len(harness.permits)]
        # One endpoint is always slow, so that probation and hedges occur.
        is_slow = harness.permits[permit].endpoint == "e2"
        duration = timedelta(seconds=8.0 if is_slow else 1.0)
        harness.release(permit, is_success=is_success, duration=duration)


def _withdraw(harness, index):
    if harness.waiting:
        harness.withdraw(list(harness.waiting)[index % len(harness.waiting)])


def _offer(harness, slots, leaving):
    harness.offer(leaving=leaving, **slots)


def run(harness, steps):
    """Perform steps."""
    verbs = {
        "release": lambda *args: _release(harness, *args),
        "withdraw": lambda *args: _withdraw(harness, *args),
        "offer": lambda *args: _offer(harness, *args),
        "wait": harness.wait,
        "lose_node": harness.lose_node,
        "replace_owner": harness.replace_owner,
    }
    for number, (verb, *args) in enumerate(steps):
        if verb == "enqueue":
            harness.enqueue(enqueue(f"r{number}", **args[0]))
        else:
            verbs[verb](*args)


def _drain(harness):
    harness.offer(**dict.fromkeys([*ENDPOINTS, "e5", "e6", "e7"], 3))
    for _ in range(200):
        for permit in list(harness.permits):
            harness.release(permit)
        if not harness.waiting and not harness.permits:
            return
        harness.wait(1.0)


@given(many_operations, st.integers(1, 12))
def test_every_request_ends_and_no_slot_leaks(steps, n_waiting_limit):
    """Guard against lost requests and leaked slots after any sequence of messages."""
    harness = PoolHarness(n_waiting_limit=n_waiting_limit, n_slow_observations=1)
    harness.offer(e1=2, e2=2, e3=2)
    run(harness, steps)
    _drain(harness)
    assert set(harness.ended) == set(harness.sent)
    state = harness.state
    assert not state.waiting
    assert not state.permits
    assert not state.attempts
    assert state.n_active_accounts == 0
    assert all(account.n_active == 0 for account in state.accounts.values())


@given(many_operations)
def test_new_owner_counts_the_slots_in_use(steps):
    """Guard against a new owner that doesn't count the slots in use."""
    harness = PoolHarness()
    harness.offer(e1=2, e2=2, e3=2)
    run(harness, steps)
    before = {name: harness.count_in_flight(name) for name in harness.slots}
    n_waiting = len(harness.waiting)
    harness.replace_owner()
    n_granted = n_waiting - len(harness.waiting)
    after = sum(harness.count_in_flight(name) for name in harness.slots)
    assert after == sum(before.values()) + n_granted


@given(
    st.sampled_from([0, 10_000_000]),
    st.booleans(),
    st.sampled_from(["office", "other"]),
    st.sampled_from([(), ("e1",), ("e2",)]),
)
def test_no_request_starves(attained_tokens, is_new, account, holders):
    """Guard against a request that starves because it arrives with the highest rank."""
    harness = PoolHarness()
    harness.offer(e1=1, e2=1)
    for number in range(30):
        harness.enqueue(enqueue(f"first-{number}", account=account))
    disadvantaged = enqueue(
        "victim",
        account=account,
        n_turns=0 if is_new else 5,
        attained_tokens=attained_tokens,
        holders=holders,
        time_to_deadline=timedelta(seconds=3600),
    )
    harness.enqueue(disadvantaged)
    settings = harness.state.settings
    limit_s = settings.fair_share_limit_s + settings.new_program_penalty_s
    limit_s += settings.cached_bonus_limit_s
    # The backlog of 30 requests before it takes 15 s on two slots.
    for second in range(int(limit_s) + 20):
        if harness.ended.get("victim"):
            return
        for permit in list(harness.permits):
            harness.release(permit)
        for number in range(2):
            late = {"n_turns": 1, "holders": ("e1",), "prompt_tokens": 50_000}
            request = f"late-{second}-{number}"
            harness.enqueue(enqueue(request, account=request, **late))
        harness.wait(1.0)
    raise AssertionError(f"victim waits after {harness.now_s} s")
