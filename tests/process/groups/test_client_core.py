"""Guard against calls that reach no leader, get no result or more than one."""

from datetime import UTC, datetime, timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from oleanderhitch.connection.peer.messages import LinkDown
from oleanderhitch.process.groups.client.core import (
    AWAY_TIMEOUT,
    PROBE_INTERVAL,
    REDIRECT_DELAY,
    RESEND_INTERVAL,
    handle,
    make_client_state,
)
from oleanderhitch.process.groups.client.messages import (
    GroupAway,
    GroupResult,
    GroupTimedOut,
    SendReply,
    SendToStore,
    SubmitToGroup,
)
from oleanderhitch.process.groups.messages import (
    GroupAnswer,
    GroupRedirect,
    GroupUncertain,
)
from oleanderhitch.process.messages import Tick

START = datetime(2026, 1, 1, tzinfo=UTC)
STORES = {"s1": "s1:1", "s2": "s2:1", "s3": "s3:1"}
STEP = timedelta(milliseconds=25)


def submit(tag):
    """Return a call that times out after two seconds."""
    return SubmitToGroup("g", b"x", False, timedelta(seconds=2), tag, tag)


def run_until_result(state, leader, now):
    """Reply for all stores until the call has a result; return it and the time."""
    effects = handle(submit("t"), state, now)
    for _ in range(200):
        next_effects = []
        for effect in effects:
            if isinstance(effect, SendReply):
                return effect.message, now
            next_effects += handle(make_reply(effect, leader), state, now)
        now += STEP
        effects = next_effects + handle(Tick(), state, now)
    raise AssertionError("the call got no result")


def make_reply(effect, leader):
    """Return a store's reply to a call, given the leader or None."""
    assert isinstance(effect, SendToStore)
    if leader is None:
        return GroupRedirect(effect.call.call, None)
    if effect.store == STORES[leader]:
        return GroupAnswer(effect.call.call, b"done")
    return GroupRedirect(effect.call.call, f"{leader}/1")


def test_follows_the_redirect_and_caches_the_leader():
    """Guard against a client that searches for the leader on each call."""
    state = make_client_state(STORES)
    result, _ = run_until_result(state, "s3", START)
    assert result == GroupResult("t", b"done")
    (effect,) = handle(submit("u"), state, START)
    assert effect.store == STORES["s3"]


def test_reports_a_timeout():
    """Guard against a call that never ends while the group has no leader."""
    result, now = run_until_result(make_client_state(STORES), None, START)
    assert isinstance(result, GroupTimedOut)
    assert now - START < timedelta(seconds=2.2)


def test_tries_another_store_after_no_reply():
    """Guard against a call that is resent only to a store that does not reply."""
    state = make_client_state(STORES)
    (first,) = handle(submit("t"), state, START)
    later = START + timedelta(milliseconds=450)
    (second,) = handle(Tick(), state, later)
    assert second.store != first.store


@given(st.data())
@settings(max_examples=200)
def test_each_call_gets_exactly_one_result(data):
    """Guard against lost or duplicate results if replies are reordered or repeated."""
    state = make_client_state(STORES)
    now = START
    sent = []
    results = {}
    n_calls = data.draw(st.integers(1, 5))
    for number in range(n_calls):
        sort_effects(handle(submit(str(number)), state, now), sent, results)
    for _ in range(60):
        now += timedelta(milliseconds=data.draw(st.sampled_from([25, 200, 500])))
        sort_effects(handle(Tick(), state, now), sent, results)
        if sent:
            effect = data.draw(st.sampled_from(sent))
            call = effect.call.call
            message = data.draw(
                st.sampled_from(
                    [
                        GroupAnswer(call, b"r%d" % call),
                        GroupRedirect(call, None),
                        GroupRedirect(call, "s2/1"),
                        GroupUncertain(call, "?"),
                        LinkDown(effect.store, "broken"),
                    ]
                )
            )
            sort_effects(handle(message, state, now), sent, results)
    sort_effects(handle(Tick(), state, now + timedelta(seconds=3)), sent, results)
    assert sorted(results) == [str(number) for number in range(n_calls)]
    for tag, messages in results.items():
        assert len(messages) == 1
        if isinstance(messages[0], GroupResult):
            assert messages[0].body == b"r%d" % (int(tag) + 1), "result of another call"


def sort_effects(effects, sent, results):
    """Add the calls in the effects to sent, and the results by address to results."""
    for effect in effects:
        if isinstance(effect, SendToStore):
            sent.append(effect)
        else:
            results.setdefault(effect.reply_address, []).append(effect.message)


# Guards against callers that wait for their whole time while the client knows that
# their group has no majority.
def test_calls_are_rejected_at_once_while_their_group_is_away():
    """Reject calls that allow it, while one call waits that shows the return."""
    state = make_client_state(STORES)
    call = replace(submit("t"), is_rejected_while_away=True)

    def is_sent(at, group="g"):
        effects = handle(replace(call, group=group), state, at)
        (effect,) = effects
        if isinstance(effect, SendToStore):
            return True
        assert isinstance(effect.message, GroupAway)
        return False

    assert is_sent(START)
    assert is_sent(START + AWAY_TIMEOUT - STEP)
    away_at = START + AWAY_TIMEOUT
    assert not is_sent(away_at)
    assert is_sent(away_at, "another group")
    (effect,) = handle(submit("settlement"), state, away_at)
    assert isinstance(effect, SendToStore)
    handle(GroupAnswer(effect.call.call, b"done"), state, away_at)
    assert is_sent(away_at + STEP)


def test_a_group_without_waiting_calls_gets_the_next_one():
    """Guard against a group that stays rejected because nothing is sent to it."""
    state = make_client_state(STORES)
    handle(submit("t"), state, START)
    later = START + timedelta(seconds=5)
    handle(Tick(), state, later)
    call = replace(submit("u"), is_rejected_while_away=True)
    for at in (later, later + STEP):
        (effect,) = handle(call, state, at)
        assert isinstance(effect, SendToStore)


# Guards against a group that is flooded while it has no leader or is behind, by what
# each entry host sends again for all of its waiting calls.
def test_one_call_of_a_group_finds_the_leader_for_all_others():
    """Send one waiting call at a time to find the leader, then all of them to it."""
    state = make_client_state(STORES)
    now = START
    waiting = [effect for n in range(20) for effect in handle(submit(n), state, now)]
    other = handle(replace(submit("other"), group="h"), state, now)
    for effect in waiting + other:
        handle(GroupRedirect(effect.call.call, None), state, now)
    n_sent = 0
    while now < START + timedelta(seconds=1):
        now += STEP
        effects = handle(Tick(), state, now)
        assert len(effects) <= 2, "one call of each group"
        n_sent += len(effects)
        for effect in effects:
            handle(GroupRedirect(effect.call.call, None), state, now)
    assert n_sent > 20
    now += timedelta(milliseconds=50)
    probe = next(e for e in handle(Tick(), state, now) if e.call.group == "g")
    handle(GroupRedirect(probe.call.call, "s2/1"), state, now)
    followers = [e for e in handle(Tick(), state, now + STEP) if e.call.group == "g"]
    assert len(followers) == 19
    assert {effect.store for effect in followers} == {STORES["s2"]}


def test_calls_that_a_leader_has_are_seldom_sent_again():
    """Guard against a leader that gets behind by answering and is sent more for it."""
    state = make_client_state(STORES)
    run_until_result(state, "s3", START)
    now = START + timedelta(seconds=1)
    calls = [effect for n in range(200) for effect in handle(submit(n), state, now)]
    assert {effect.store for effect in calls} == {STORES["s3"]}
    n_sent = 0
    for _ in range(60):
        now += STEP
        for effect in handle(Tick(), state, now):
            n_sent += 1
            if effect.store != STORES["s3"]:
                handle(GroupRedirect(effect.call.call, "s3/1"), state, now)
    assert n_sent <= 1.5 / PROBE_INTERVAL.total_seconds()


def test_each_lost_call_is_sent_again_soon():
    """Guard against calls that wait for others, since a message of theirs was lost."""
    state = make_client_state(STORES)
    run_until_result(state, "s3", START)
    now = START + timedelta(seconds=1)
    for number in range(10):
        handle(submit(number), state, now)
    lost = set(state.pending)
    deadline = now + RESEND_INTERVAL + 10 * 2 * PROBE_INTERVAL
    while lost and now < deadline:
        now += STEP
        for effect in handle(Tick(), state, now):
            lost.discard(effect.call.call)
            # The others are lost on their way to the leader, which answers nothing.
            if effect.store != STORES["s3"]:
                handle(GroupRedirect(effect.call.call, "s3/1"), state, now)
    assert not lost


def test_refused_call_does_not_wait_for_an_older_one():
    """Guard against calls that wait for one that a frozen store has."""
    state = make_client_state(STORES)
    (older,) = handle(submit("older"), state, START)
    (refused,) = handle(submit("refused"), state, START)
    assert older.call.call != refused.call.call
    handle(GroupRedirect(refused.call.call, None), state, START)
    (probe,) = handle(Tick(), state, START + REDIRECT_DELAY)
    assert probe.call.call == refused.call.call
    assert probe.store != refused.store


def test_calls_follow_a_leader_that_has_changed():
    """Guard against calls that wait for a store that no longer leads."""
    state = make_client_state(STORES)
    run_until_result(state, "s3", START)
    now = START + timedelta(seconds=1)
    for number in range(5):
        handle(submit(number), state, now)
    now += timedelta(milliseconds=425)
    (probe,) = handle(Tick(), state, now)
    assert probe.store != STORES["s3"]
    handle(GroupRedirect(probe.call.call, "s2/1"), state, now)
    followers = handle(Tick(), state, now + STEP)
    assert {effect.store for effect in followers} == {STORES["s2"]}
    assert len(followers) >= 4
