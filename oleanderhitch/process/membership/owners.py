"""Assign owners to pools, and replace only those that became ineligible."""

from collections.abc import Iterable, Mapping
from datetime import datetime

import xxhash

from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.membership.messages import NodeHeartbeat
from oleanderhitch.process.membership.table import (
    MembershipTable,
    NodeRecord,
    OwnerRecord,
)
from oleanderhitch.version.ids import DataCentreName, PoolId, RegionName
from oleanderhitch.version.states import HostRole

RegionsByDataCentre = Mapping[DataCentreName, RegionName]


def choose_owner(pool: PoolId, nodes: Iterable[NodeId]) -> NodeId | None:
    """Return the node with the highest hash for a pool (rendezvous hashing)."""
    return max(
        nodes,
        key=lambda node: (xxhash.xxh3_64_intdigest(f"{pool}\0{node}".encode()), node),
        default=None,
    )


def record_owner_claims(table: MembershipTable, heartbeat: NodeHeartbeat) -> None:
    """Record the owners that an earlier leader assigned, as their nodes report them.

    If two nodes claim a pool, the later assignment wins: a delayed heartbeat may claim
    a pool that has since been assigned to another node.
    """
    description = heartbeat.description
    if description is None:
        return
    claim = (heartbeat.table_term, heartbeat.table_number)
    for pool in description.owned_pools:
        recorded = table.owners.get(pool)
        if recorded is None or recorded.claim < claim:
            table.owners[pool] = OwnerRecord(
                heartbeat.node, table.next_number(), claim=claim
            )


def assign_owners(
    table: MembershipTable,
    pools: Mapping[PoolId, RegionName],
    regions: RegionsByDataCentre,
    now: datetime,
) -> None:
    """Assign an owner to each pool whose owner is missing or no longer eligible."""
    for pool in [*pools, *(pool for pool in table.owners if pool not in pools)]:
        record = table.owners.get(pool)
        if record is None:
            record = OwnerRecord(
                None, table.next_number(), needs_all_confirmations=True
            )
            table.owners[pool] = record
        region = pools.get(pool)
        if record.owner is not None:
            if _is_eligible(table.nodes.get(record.owner), region, regions, now):
                continue
            _revoke_owner(table, record)
        if _is_released(table, record, now) and region is not None:
            _assign_owner(table, pool, record, region, regions, now)


def _is_eligible(
    node: NodeRecord | None,
    region: RegionName | None,
    regions: RegionsByDataCentre,
    now: datetime,
) -> bool:
    return (
        node is not None
        and node.description.role is HostRole.ENTRY
        and not node.description.is_leaving
        and node.has_lease(now)
        and regions.get(node.description.data_centre) == region
    )


def _revoke_owner(table: MembershipTable, record: OwnerRecord) -> None:
    record.previous_owner = record.owner
    record.owner = None
    record.change_number = table.next_number()


def _is_released(table: MembershipTable, record: OwnerRecord, now: datetime) -> bool:
    if record.needs_all_confirmations:
        return all(
            node.confirmed_table_number >= record.change_number
            for node in table.nodes.values()
            if node.has_lease(now)
        )
    previous_node = (
        table.nodes.get(record.previous_owner) if record.previous_owner else None
    )
    if previous_node is None or not previous_node.has_lease(now):
        return True
    return previous_node.confirmed_table_number >= record.change_number


def _assign_owner(
    table: MembershipTable,
    pool: PoolId,
    record: OwnerRecord,
    region: RegionName,
    regions: RegionsByDataCentre,
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
        record.previous_owner = None
        record.needs_all_confirmations = False
        record.owner = owner
        record.change_number = table.next_number()
