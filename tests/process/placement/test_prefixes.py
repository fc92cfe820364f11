"""Guard against engines that all read the prefixes which many prompts share."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from datetime import timedelta
from random import Random

from msgspec.structs import replace

from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.effects import ReportPrefixes
from oleanderhitch.process.placement.messages import (
    EndpointLoad,
    EndpointsListed,
    FirstChunkReceived,
    GetLoads,
    InferenceWorkload,
    PeerLoadsReported,
    PromptPart,
)
from oleanderhitch.process.placement.prefixes import (
    N_ORDERS_MAX,
    N_SPARE_HOMES,
    list_homes,
)
from oleanderhitch.process.placement.records import (
    N_ENTRY_HOSTS_MANY,
    PlacementState,
    PrefixKnowledge,
)
from oleanderhitch.version.ids import DataCentreName, EndpointId
from tests.process.placement.test_core import (
    HOME,
    NOW,
    REPLY,
    SERVICE,
    acquire,
    get_grant,
    make_endpoint,
)

NAMES = tuple(EndpointId(f"e{number}") for number in range(24))
PREFIXES = tuple(f"p{number}" for number in range(16))
N_SLOTS = 12
SECOND = timedelta(seconds=1)
AWAY = DataCentreName("away")


def make_hosts(
    n_hosts: int,
    names: Iterable[EndpointId] = NAMES,
    loads: Mapping[EndpointId, int] | None = None,
) -> list[PlacementState]:
    """Return entry hosts that know nothing but the endpoints and their loads."""
    endpoints = EndpointsListed(tuple(make_endpoint(name, N_SLOTS) for name in names))
    reported = tuple(EndpointLoad(name, n, 0) for name, n in (loads or {}).items())
    hosts = []
    for number in range(n_hosts):
        state = PlacementState(HOME, f"entry-{number}", Random(number))
        handle(endpoints, state, NOW)
        handle(PeerLoadsReported(reported, n_hosts), state, NOW)
        hosts.append(state)
    return hosts


def send_turn(state: PlacementState, prefix: str, name: str) -> EndpointId:
    """Send a turn that shares a prefix and return the endpoint that gets it."""
    parts = (PromptPart(prefix, 12_600), PromptPart(name, 1_000))
    workload = InferenceWorkload(13_600, 200, 100, parts)
    granted = get_grant(handle(acquire(name, workload), state, NOW))
    handle(FirstChunkReceived(granted.permit), state, NOW)
    return granted.endpoint.endpoint


def find_readers(hosts: list[PlacementState]) -> dict[str, set[EndpointId]]:
    """Return the endpoints that get a turn with each prefix from one of the hosts."""
    readers = defaultdict(set)
    for number, state in enumerate(hosts):
        for prefix in PREFIXES:
            readers[prefix].add(send_turn(state, prefix, f"{prefix}-{number}"))
    return readers


def test_hosts_that_share_no_knowledge_send_a_prefix_to_the_same_engines() -> None:
    """Guard against each host warming engines of its own choice."""
    readers = find_readers(make_hosts(68))
    assert all(len(names) <= N_SPARE_HOMES for names in readers.values())
    assert len(set.union(*readers.values())) > len(PREFIXES) / 2


def test_few_hosts_choose_as_before() -> None:
    """Guard against a change where each host knows the prompts by itself."""
    readers = find_readers(make_hosts(7))
    assert max(map(len, readers.values())) > 1


def test_loaded_home_shares_its_prefix_with_the_next_engine() -> None:
    """Guard against a queue at the homes of a popular prefix beside idle engines."""
    homes = list_homes(SERVICE, "p", make_hosts(68)[0], NOW)
    loaded = min(homes)
    hosts = make_hosts(68, loads={loaded: 9})
    more_homes = list_homes(SERVICE, "p", hosts[0], NOW)
    assert len(homes) == N_SPARE_HOMES
    assert len(more_homes) == N_SPARE_HOMES + 1
    readers = {send_turn(state, "p", f"{n}") for n, state in enumerate(hosts)}
    assert readers <= more_homes - {loaded}


def test_homes_that_have_failed_share_their_prefix_with_the_next_engines() -> None:
    """Guard against all engines reading a prefix while its homes are avoided."""
    (state,) = make_hosts(1)
    homes = list_homes(SERVICE, "p", state, NOW)
    for name in homes:
        state.endpoints[name].avoid_until = NOW + SECOND
    assert len(list_homes(SERVICE, "p", state, NOW)) == 2 * N_SPARE_HOMES
    assert list_homes(SERVICE, "p", state, NOW + SECOND) == homes


def test_engine_that_is_listed_elsewhere_changes_its_place() -> None:
    """Guard against homes that go by a data centre of the past."""
    (state,) = make_hosts(1)
    homes = list_homes(SERVICE, "p", state, NOW)
    listed = tuple(
        replace(endpoint.listed, data_centre=AWAY if name in homes else HOME)
        for name, endpoint in state.endpoints.items()
    )
    handle(EndpointsListed(listed), state, NOW)
    assert not homes & list_homes(SERVICE, "p", state, NOW)


def test_everywhere_is_home_when_all_slots_are_taken() -> None:
    """Guard against a prefix that has no home at a time of overload."""
    (state,) = make_hosts(1, loads=dict.fromkeys(NAMES, N_SLOTS))
    assert list_homes(SERVICE, "p", state, NOW) == {*NAMES}


def test_lost_engine_moves_only_its_own_prefixes() -> None:
    """Guard against prefixes that all engines read again after the loss of one."""
    before = make_hosts(1)[0]
    after = make_hosts(1, NAMES[1:])[0]
    for prefix in PREFIXES:
        homes = list_homes(SERVICE, prefix, before, NOW)
        if NAMES[0] not in homes:
            assert list_homes(SERVICE, prefix, after, NOW) == homes


def test_engine_of_the_own_data_centre_is_the_first_home() -> None:
    """Guard against prompts that cross data centres for a prefix."""
    (state,) = make_hosts(1)
    for name in NAMES[4:]:
        listed = state.endpoints[name].listed
        state.endpoints[name].listed = replace(listed, data_centre=AWAY)
    for prefix in PREFIXES:
        assert list_homes(SERVICE, prefix, state, NOW) <= {*NAMES[:4]}


def test_orders_of_prefixes_are_bounded() -> None:
    """Guard against memory that grows with each prefix a caller makes up."""
    (state,) = make_hosts(1)
    for number in range(N_ORDERS_MAX + 10):
        list_homes(SERVICE, f"made-up-{number}", state, NOW)
    assert len(state.prefix_orders) == N_ORDERS_MAX


def test_metrics_tell_how_many_prompts_went_to_a_home() -> None:
    """Guard against homes that an operator can't see work."""
    (state,) = make_hosts(1)
    state.n_entry_hosts = N_ENTRY_HOSTS_MANY
    for number in range(3):
        send_turn(state, "p", f"{number}")
    reports = [
        effect
        for effect in handle(GetLoads(REPLY), state, NOW)
        if isinstance(effect, ReportPrefixes)
    ]
    (counts,) = [dict(report.counts) for report in reports]
    assert counts.keys() == {PrefixKnowledge.ASSUMED, PrefixKnowledge.KNOWN}
    assert sum(counts.values()) == 3
    assert not any(
        isinstance(effect, ReportPrefixes)
        for effect in handle(GetLoads(REPLY), state, NOW)
    )
