"""Guard against admissions beyond limits, fair shares and location rules."""

from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from oleanderhitch.request.admission import (
    AdmissionRules,
    AdmissionRulesChanged,
    AdmitRequest,
    EndAdmission,
    Limit,
    LocationRule,
    RejectionReason,
    RequestAdmitted,
    divide_limit,
    handle,
    make_admission_state,
)

START = datetime(2026, 1, 1, tzinfo=UTC)


def at(seconds):
    """Return the time a number of seconds after the start."""
    return START + timedelta(seconds=seconds)


def admit(state, request, account="office", program="p", seconds=0.0, **location):
    """Request admission and return the decision."""
    fields = {"pool": "veslo-llm", "region": "hr-coast", "data_centre": "split-a"}
    message = AdmitRequest(request, account, program, **(fields | location))
    (effect,) = handle(message, state, at(seconds))
    return effect


def test_rate_limit_gives_a_retry_delay():
    """Guard against a suggested delay after which the retry is rejected again."""
    rules = AdmissionRules(default_account=Limit(requests_per_s=2.0, n_burst=2))
    state = make_admission_state(rules)
    assert isinstance(admit(state, "r1"), RequestAdmitted)
    assert isinstance(admit(state, "r2"), RequestAdmitted)
    rejected = admit(state, "r3")
    assert rejected.reason is RejectionReason.ACCOUNT_RATE
    assert rejected.retry_after == timedelta(seconds=0.5)
    later = rejected.retry_after.total_seconds()
    assert isinstance(admit(state, "r3", seconds=later), RequestAdmitted)


def test_rejected_request_takes_no_token():
    """Guard against rate tokens that are consumed by requests which never start."""
    limit = Limit(n_concurrent=1, requests_per_s=0.1, n_burst=2)
    state = make_admission_state(AdmissionRules(default_account=limit))
    admit(state, "r1")
    for _ in range(5):
        assert admit(state, "r2").reason is RejectionReason.ACCOUNT_CONCURRENCY
    handle(EndAdmission("r1"), state, at(1))
    assert isinstance(admit(state, "r2", seconds=1), RequestAdmitted)


def test_program_concurrency_limit():
    """Guard against a program that runs more requests at a time than its limit."""
    state = make_admission_state(AdmissionRules(default_program=Limit(n_concurrent=1)))
    admit(state, "r1", program="p")
    assert admit(state, "r2", program="p").reason is RejectionReason.PROGRAM_CONCURRENCY
    assert isinstance(admit(state, "r3", program="q"), RequestAdmitted)


def test_fair_share_leaves_capacity_for_other_accounts():
    """Guard against one account that uses up the whole concurrency limit of a pool."""
    state = make_admission_state(AdmissionRules(default_pool=Limit(n_concurrent=10)))
    admit(state, "quiet", account="quiet")
    decisions = [admit(state, f"r{n}", account="loud") for n in range(10)]
    assert decisions[-1].reason is RejectionReason.FAIR_SHARE
    assert isinstance(admit(state, "quiet-2", account="quiet"), RequestAdmitted)


def test_work_runs_only_in_allowed_locations():
    """Guard against work in a location that the account's location rule excludes."""
    allowed = LocationRule(frozenset({"hr-coast"}), frozenset({"split-a", "zadar-b"}))
    state = make_admission_state(AdmissionRules(location_rules={"office": allowed}))
    assert isinstance(admit(state, "r1"), RequestAdmitted)
    rejected = admit(state, "r2", data_centre="rijeka-c")
    assert rejected.reason is RejectionReason.LOCATION
    assert rejected.retry_after is None
    assert admit(state, "r3", region="bretagne").reason is RejectionReason.LOCATION
    assert isinstance(
        admit(state, "r4", account="other", region="bretagne"), RequestAdmitted
    )


def test_new_rules_apply_to_the_next_request():
    """Guard against changed limits that apply late or end running requests."""
    state = make_admission_state(AdmissionRules())
    admit(state, "r1")
    rules = AdmissionRules(default_account=Limit(n_concurrent=1))
    handle(AdmissionRulesChanged(rules), state, at(0))
    assert "r1" in state.running
    assert admit(state, "r2").reason is RejectionReason.ACCOUNT_CONCURRENCY


def test_divided_limit_is_never_zero():
    """Guard against a small limit that rounds to 0 on every entry host."""
    divided = divide_limit(Limit(n_concurrent=2, requests_per_s=6.0), 6)
    assert divided.n_concurrent == 1
    assert divided.requests_per_s == 1.0


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.sampled_from(["p", "q", "r"]),
            st.booleans(),
        ),
        max_size=80,
    )
)
def test_limits_hold_in_any_order(steps):
    """Guard against an order of starts and ends that breaks a limit or a counter."""
    rules = AdmissionRules(
        Limit(n_concurrent=4), Limit(n_concurrent=3), Limit(n_concurrent=6)
    )
    state = make_admission_state(rules)
    for number, (account, program, ends) in enumerate(steps):
        admit(state, f"r{number}", account, program, seconds=number)
        if ends and state.running:
            handle(EndAdmission(next(iter(state.running))), state, at(number))
        assert all(n <= 4 for n in state.n_by_account.values())
        assert all(n <= 3 for n in state.n_by_program.values())
        assert len(state.running) == state.n_by_pool.total() <= 6
    for request in list(state.running):
        handle(EndAdmission(request), state, at(1000))
    assert not state.n_by_account
    assert not state.n_by_program
    assert not state.n_by_pool
    assert not state.n_by_pool_account
