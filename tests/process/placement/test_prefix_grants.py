"""Guard against grants that are recorded with wrong facts on shared prefixes."""

from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.messages import (
    EndpointRateLimited,
    GetLoads,
    InferenceWorkload,
    LoadsFound,
    PromptPart,
    SendPermitReply,
)
from oleanderhitch.process.placement.prefixes import list_homes
from tests.process.placement.test_core import NOW, REPLY, SERVICE, acquire, get_grant
from tests.process.placement.test_prefixes import NAMES, make_hosts

OWN_TOKENS = 1_000
WORKLOAD = InferenceWorkload(
    12_600 + OWN_TOKENS,
    200,
    100,
    (PromptPart("p", 12_600), PromptPart("own", OWN_TOKENS)),
)


def test_prompt_that_asks_the_leader_twice_counts_once() -> None:
    """Guard against metrics with more prompts than were granted."""
    state = make_hosts(68, NAMES[:1])[0]
    granted = get_grant(handle(acquire("1", WORKLOAD), state, NOW))
    handle(EndpointRateLimited(granted.permit, 100.0), state, NOW)
    state.prefix_counts.clear()
    handle(acquire("2", WORKLOAD), state, NOW)
    handle(SendPermitReply(1, True), state, NOW)
    assert not state.prefix_counts
    get_grant(handle(SendPermitReply(2, True, NAMES[0]), state, NOW))
    assert state.prefix_counts.total() == 1


def test_first_prompt_of_a_host_reports_no_read_of_a_prefix_at_a_home() -> None:
    """Guard against homes that look busy to all with reads that do not happen.

    Each of many hosts has a first prompt with the prefix.
    """
    (state, *_) = make_hosts(68)
    homes = list_homes(SERVICE, "p", state, NOW)
    granted = get_grant(handle(acquire("1", WORKLOAD), state, NOW))
    assert granted.endpoint.endpoint in homes
    reply = handle(GetLoads(REPLY), state, NOW)[0].message
    assert isinstance(reply, LoadsFound)
    assert [load.n_reading_tokens for load in reply.loads] == [OWN_TOKENS]
