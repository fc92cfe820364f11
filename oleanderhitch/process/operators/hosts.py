"""List the replicas of disk hosts and move them to other hosts."""

from collections.abc import Iterator
from datetime import timedelta

from oleanderhitch.exceptions import InvalidInputError, UnavailableError
from oleanderhitch.process.groups.messages import GetStoreIdentity, StoreIdentity
from oleanderhitch.process.groups.placement import Store
from oleanderhitch.process.ids import GroupId, NodeId, ReplicaId
from oleanderhitch.process.operators.client import OperatorClient
from oleanderhitch.process.replication.messages import (
    GetReplicationStatus,
    MembershipAnswer,
    ReplaceReplica,
    ReplicationStatus,
)
from oleanderhitch.process.replication.states import Role
from oleanderhitch.process.storage.identity import get_node
from oleanderhitch.values import Value

# The new replica receives a snapshot and the log before it replaces the lost one.
REPLACE_TIMEOUT = timedelta(seconds=120)


class Leader(Value, frozen=True):
    """Store that leads a group, and the replication status that it reports."""

    store: Store
    status: ReplicationStatus


class HostsClient:
    """Queries the stores about their replicas and replaces lost hosts."""

    def __init__(self, client: OperatorClient) -> None:
        self._client = client
        self._last_request_id = 0

    def list_identities(self) -> dict[Store, StoreIdentity | None]:
        """Return the identity of each store, or None for one that does not reply."""
        identities: dict[Store, StoreIdentity | None] = {}
        for store in self._client.stores:
            reply = self._client.send_request(store, GetStoreIdentity())
            identities[store] = reply if isinstance(reply, StoreIdentity) else None
        return identities

    def find_leader(
        self, group: GroupId, identities: dict[Store, StoreIdentity | None]
    ) -> Leader | None:
        """Return the leader of a group, or None if no store reports to lead it."""
        for store, identity in identities.items():
            if identity is None or group not in identity.groups:
                continue
            self._last_request_id += 1
            reply = self._client.send_request(
                store, GetReplicationStatus(self._last_request_id, group)
            )
            if isinstance(reply, ReplicationStatus) and reply.role is Role.LEADER:
                return Leader(store, reply)
        return None

    def list_leaders(self) -> Iterator[tuple[GroupId, Leader | None]]:
        """Yield each group that a store runs, with its leader or None."""
        identities = self.list_identities()
        groups = {
            group
            for identity in identities.values()
            if identity is not None
            for group in identity.groups
        }
        for group in sorted(groups):
            yield group, self.find_leader(group, identities)

    def replace_host(
        self, lost: NodeId, replacement: NodeId
    ) -> Iterator[tuple[GroupId, MembershipAnswer]]:
        """Move the replicas of a lost host; yield the reply of each group.

        Raise InvalidInputError when the replacement is unknown, and UnavailableError
        when it or the leader of a group does not reply.
        """
        identities = self.list_identities()
        new_replica = _get_replica_of_store(identities, replacement)
        for group, leader in list(self.list_leaders()):
            if leader is None:
                raise UnavailableError(
                    f"group {group} has no leader; a majority of its voters must run"
                )
            replica = _find_voter(leader.status, lost)
            if replica is not None:
                yield group, self._replace_replica(group, leader, replica, new_replica)

    def _replace_replica(
        self,
        group: GroupId,
        leader: Leader,
        lost_replica: ReplicaId,
        new_replica: ReplicaId,
    ) -> MembershipAnswer:
        self._last_request_id += 1
        request = ReplaceReplica(
            self._last_request_id, group, lost_replica, new_replica
        )
        reply = self._client.send_request(leader.store, request, REPLACE_TIMEOUT)
        if isinstance(reply, MembershipAnswer):
            return reply
        raise UnavailableError(
            f"the leader of group {group} did not answer; ask for the hosts' status "
            "and run the same command again"
        )


def _get_replica_of_store(
    identities: dict[Store, StoreIdentity | None], node: NodeId
) -> ReplicaId:
    for store, identity in identities.items():
        if identity is not None and identity.node == node:
            return identity.replica
        if store.node == node:
            raise UnavailableError(f"store {node} at {store.address} does not answer")
    raise InvalidInputError(
        f"no store is named {node}; name it in --stores as NAME=IP:PORT@DATA_CENTRE"
    )


def _find_voter(status: ReplicationStatus, node: NodeId) -> ReplicaId | None:
    for replica in status.membership.voters:
        if get_node(replica) == node:
            return replica
    return None
