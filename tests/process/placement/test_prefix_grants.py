"""Guard against grants that are recorded with wrong facts on shared prefixes."""

from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.messages import (
    EndpointRateLimited,
    InferenceWorkload,
    PromptPart,
    SendPermitReply,
)
from tests.process.placement.test_core import NOW, acquire, get_grant
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
