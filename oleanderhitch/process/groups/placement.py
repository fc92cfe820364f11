"""Choose the stores that run the replicas of each group."""

from collections.abc import Sequence

import xxhash

from oleanderhitch.connection.addresses import parse_address
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.ids import GroupId, NodeId
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.sharding import get_shard
from oleanderhitch.values import Value
from oleanderhitch.version.ids import DataCentreName

CONFIGURATION_GROUP = GroupId("configuration")
N_CONFIGURATION_REPLICAS = 5
N_SHARD_REPLICAS = 3
DEFAULT_N_SHARDS = 4
NO_DATA_CENTRE = DataCentreName("-")


class Store(Value, frozen=True):
    """Host with a data directory that runs group replicas."""

    node: NodeId
    address: HostAddress
    data_centre: DataCentreName


def parse_stores(text: str) -> tuple[Store, ...]:
    """Return the stores that a setting lists; raise InvalidInputError."""
    stores = tuple(_parse_store(part) for part in text.split(",") if part.strip())
    nodes = [store.node for store in stores]
    if len(set(nodes)) != len(nodes):
        raise InvalidInputError(f"a node occurs twice in the list of stores: {text!r}")
    return stores


def list_groups(n_shards: int) -> list[GroupId]:
    """Return all groups of a deployment."""
    shards = [make_shard_group(shard) for shard in range(n_shards)]
    return [CONFIGURATION_GROUP, *shards]


def make_shard_group(shard: int) -> GroupId:
    """Return the group that replicates a program shard."""
    return GroupId(f"programs-{shard}")


def get_program_group(program: ProgramId, n_shards: int) -> GroupId:
    """Return the group that holds a program; raise InvalidInputError."""
    return make_shard_group(get_shard(program, n_shards))


def choose_replicas(group: GroupId, stores: Sequence[Store]) -> tuple[NodeId, ...]:
    """Return the stores of a new group, in different data centres if possible.

    Stores are ranked by rendezvous hashing, so that groups spread evenly.
    """
    n_replicas = N_SHARD_REPLICAS
    if group == CONFIGURATION_GROUP:
        n_replicas = N_CONFIGURATION_REPLICAS
    ranked = sorted(
        stores,
        key=lambda store: get_rendezvous_weight(group, store.node),
        reverse=True,
    )
    chosen: list[Store] = []
    while ranked and len(chosen) < n_replicas:
        used = {store.data_centre for store in chosen}
        next_store = next(
            (store for store in ranked if store.data_centre not in used), ranked[0]
        )
        ranked.remove(next_store)
        chosen.append(next_store)
    if len(chosen) % 2 == 0 and len(chosen) > N_SHARD_REPLICAS - 1:
        # Four voters need a larger majority than three but tolerate no more failures.
        chosen.pop()
    return tuple(store.node for store in chosen)


def get_rendezvous_weight(group: GroupId, node: NodeId) -> int:
    """Return the rank of a store for a group, which differs from group to group."""
    return xxhash.xxh3_64_intdigest(f"{group}|{node}".encode())


def _parse_store(text: str) -> Store:
    node, has_name, location = text.strip().partition("=")
    if not has_name:
        # Operator commands may give just an address, without name and data centre.
        node, location = text.strip(), f"{text.strip()}@{NO_DATA_CENTRE}"
    address, has_data_centre, data_centre = location.partition("@")
    if not (node and has_data_centre and data_centre):
        raise InvalidInputError(
            f"store {text.strip()!r} must have the form NAME=IP:PORT@DATA_CENTRE"
        )
    parse_address(HostAddress(address))
    return Store(NodeId(node), HostAddress(address), DataCentreName(data_centre))
