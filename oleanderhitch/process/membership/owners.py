"""Choose the owners of pools, and change them only when needed."""

from collections.abc import Iterable, Mapping
from datetime import datetime

import xxhash

from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.membership.messages import NodeHeartbeat
from oleanderhitch.process.membership.table import NodeRecord, OwnerRecord, Table
from oleanderhitch.version.ids import DataCentreName, PoolId, RegionName
from oleanderhitch.version.states import HostRole

Regions = Mapping[DataCentreName, RegionName]


def choose_owner(pool: PoolId, nodes: Iterable[NodeId]) -> NodeId | None:
    """Return the node with the highest hash for a pool (rendezvous hashing)."""
    return max(
        nodes,
        key=lambda node: (xxhash.xxh3_64_intdigest(f"{pool}\0{node}".encode()), node),
        default=None,
    )


def claim_pools(table: Table, heartbeat: NodeHeartbeat) -> None:
    """Keep the owners that a leader before this one has named.

    Of two claims the later assignment counts; a delayed heartbeat may claim a
    pool that was named to another node since.
    """
    description = heartbeat.description
    if description is None:
        return
    claim = (heartbeat.table_term, heartbeat.table_number)
    for pool in description.owned_pools:
        known = table.owners.get(pool)
        if known is None or known.claim < claim:
            table.owners[pool] = OwnerRecord(
                heartbeat.node, table.next_number(), claim=claim
            )


def assign_owners(
    table: Table, pools: Mapping[PoolId, RegionName], regions: Regions, now: datetime
) -> None:
    """Name an owner for each pool whose owner is gone, leaving or not named yet."""
    for pool in [*pools, *(pool for pool in table.owners if pool not in pools)]:
        record = table.owners.get(pool)
        if record is None:
            record = OwnerRecord(None, table.next_number(), waits_for_all=True)
            table.owners[pool] = record
        region = pools.get(pool)
        if record.owner is not None:
            if _is_eligible(table.nodes.get(record.owner), region, regions, now):
                continue
            _withdraw(table, record)
        if _has_let_go(table, record, now) and region is not None:
            _name_owner(table, pool, record, region, regions, now)


def _is_eligible(
    node: NodeRecord | None,
    region: RegionName | None,
    regions: Regions,
    now: datetime,
) -> bool:
    return (
        node is not None
        and node.description.role is HostRole.ENTRY
        and not node.description.is_leaving
        and node.has_lease(now)
        and regions.get(node.description.data_centre) == region
    )


def _withdraw(table: Table, record: OwnerRecord) -> None:
    record.previous = record.owner
    record.owner = None
    record.number = table.next_number()


def _has_let_go(table: Table, record: OwnerRecord, now: datetime) -> bool:
    if record.waits_for_all:
        return all(
            node.table_number >= record.number
            for node in table.nodes.values()
            if node.has_lease(now)
        )
    previous = table.nodes.get(record.previous) if record.previous else None
    if previous is None or not previous.has_lease(now):
        return True
    return previous.table_number >= record.number


def _name_owner(
    table: Table,
    pool: PoolId,
    record: OwnerRecord,
    region: RegionName,
    regions: Regions,
    now: datetime,
) -> None:
    owner = choose_owner(
        pool,
        (
            node.node
            for node in table.nodes.values()
            if _is_eligible(node, region, regions, now)
        ),
    )
    if owner is not None:
        record.previous = None
        record.waits_for_all = False
        record.owner = owner
        record.number = table.next_number()
