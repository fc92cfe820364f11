"""Guard against placements of replicas that are uneven or fail together."""

import pytest

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.groups.placement import (
    CONFIGURATION_GROUP,
    choose_replicas,
    list_groups,
    parse_stores,
)

NINE_STORES = ",".join(f"s{n}=127.0.0.1:{7000 + n}@dc-{n % 3}" for n in range(9))


def test_shards_span_data_centres():
    """Guard against a shard that becomes unavailable with one data centre."""
    stores = parse_stores(NINE_STORES)
    data_centres = {store.node: store.data_centre for store in stores}
    for group in list_groups(64):
        replicas = choose_replicas(group, stores)
        if group == CONFIGURATION_GROUP:
            assert len(replicas) == 5
        else:
            assert len({data_centres[node] for node in replicas}) == 3


def test_placement_spreads_the_shards():
    """Guard against an uneven distribution of shards over the stores."""
    stores = parse_stores(NINE_STORES)
    counts = dict.fromkeys((store.node for store in stores), 0)
    for group in list_groups(300):
        for node in choose_replicas(group, stores):
            counts[node] += 1
    assert max(counts.values()) < 2 * min(counts.values())


@pytest.mark.parametrize(
    ("n_stores", "expected"), [(1, 1), (2, 2), (3, 3), (4, 3), (5, 5), (9, 5)]
)
def test_number_of_configuration_replicas(n_stores, expected):
    """Guard against an even number of voters, which tolerates no more failures."""
    stores = parse_stores(NINE_STORES)[:n_stores]
    assert len(choose_replicas(CONFIGURATION_GROUP, stores)) == expected


@pytest.mark.parametrize(
    "text",
    [
        "s1",
        "s1=host:7000@dc",
        "s1=127.0.0.1:7000",
        "=127.0.0.1:1@dc",
        NINE_STORES + "," + NINE_STORES,
    ],
)
def test_refuses_malformed_stores(text):
    """Guard against an invalid setting that is only found when it is used."""
    with pytest.raises(InvalidInputError):
        parse_stores(text)
