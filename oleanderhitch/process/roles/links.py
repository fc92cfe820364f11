"""Reach the stores, over links or within the same process."""

import random
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import logbook

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.link import PeerLink, make_peer_link
from oleanderhitch.connection.peer.messages import PeerMessage
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.placement import Store
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.roles.store import (
    StoreParts,
    StoreSite,
    make_store_parts,
)
from oleanderhitch.process.settings import EntrySettings
from oleanderhitch.process.tracing.tracer import Tracer
from oleanderhitch.version.ids import DataCentreName

log = logbook.Logger("entry")

Deliver = Callable[[PeerMessage], None]
Notify = Callable[[object], None]


class StoreAccess(Protocol):
    """Reach the stores of a deployment."""

    @property
    def stores(self) -> tuple[Store, ...]:
        """Return the stores."""

    def open(self, deliver: Deliver, notify: Notify) -> Mapping[HostAddress, Address]:
        """Return an address for each store; answers go to deliver."""

    def receive(self, delivery: PeerMessage) -> None:
        """Take a message for stores that a peer sent to this process."""

    def start(self) -> None:
        """Start the links or the store."""

    def stop(self) -> None:
        """Stop the links or the store."""


@dataclass(slots=True)
class LinkedStores:
    """Reach the stores of other processes over links."""

    stores: tuple[Store, ...]
    codec: Codec
    identity: Identity
    links: dict[HostAddress, PeerLink] = field(default_factory=dict)

    def open(self, deliver: Deliver, notify: Notify) -> Mapping[HostAddress, Address]:
        """Return a link to each store."""
        for store in self.stores:
            self.links[store.address] = make_peer_link(
                store.address, self.codec, self.identity, deliver, notify
            )
        return self.links

    def receive(self, delivery: PeerMessage) -> None:
        """Ignore a message that is meant for a store."""
        log.warning(
            "{} sent {} to an entry host; it belongs to a store",
            delivery.node,
            type(delivery.message).__name__,
        )

    def start(self) -> None:
        """Start the links."""
        for link in self.links.values():
            link.start()

    def stop(self) -> None:
        """Stop the links."""
        for link in self.links.values():
            link.stop()


class EmbeddedStore:
    """Reach a store within this process."""

    def __init__(self, store: Store, parts: StoreParts) -> None:
        self._store = store
        self._parts = parts
        self._deliver: Deliver | None = None

    @property
    def stores(self) -> tuple[Store, ...]:
        """Return the one store."""
        return (self._store,)

    def open(self, deliver: Deliver, notify: Notify) -> Mapping[HostAddress, Address]:
        """Return the store's address within this process."""
        self._deliver = deliver
        return {self._store.address: self}

    def send(self, message: object) -> None:
        """Hand a message to the store."""
        reply = _LocalReply(self._store.node, self)
        self._parts.deliver(PeerMessage(self._store.node, message, reply))

    def receive(self, delivery: PeerMessage) -> None:
        """Hand a peer's message, such as an operator's, to the store."""
        self._parts.deliver(delivery)

    def answer(self, delivery: PeerMessage) -> None:
        """Hand an answer of the store to the entry's parts."""
        if self._deliver is not None:
            self._deliver(delivery)

    def start(self) -> None:
        """Start the store."""
        self._parts.start()

    def stop(self) -> None:
        """Stop the store."""
        self._parts.stop()


class _LocalReply:
    """Take the answers of the store within this process."""

    def __init__(self, node: NodeId, access: EmbeddedStore) -> None:
        self._node = node
        self._access = access

    def send(self, message: object) -> None:
        """Pass an answer on."""
        self._access.answer(PeerMessage(self._node, message, self))


def make_store_access(
    settings: EntrySettings,
    codec: Codec,
    clock: Clock,
    metrics: Metrics,
    tracer: Tracer,
) -> StoreAccess:
    """Return access to the stores; raise InvalidInputError or StorageError.

    Without stores in the settings, a single replica of each group runs in this
    process, from the same code as on a disk host.
    """
    stores = settings.get_stores()
    if stores:
        identity = Identity(NodeId(settings.node), settings.get_key())
        return LinkedStores(stores, codec, identity)
    if settings.data_dir is None:
        raise InvalidInputError(
            "--stores names no disk host and --data-dir is missing; give one of them"
        )
    store = Store(
        NodeId(settings.node),
        HostAddress(settings.peer_listen),
        DataCentreName(settings.data_centre),
    )
    site = StoreSite(store.node, (store,), settings.n_shards, settings.data_dir, {})
    source = random.Random(uuid.uuid4().int)
    parts = make_store_parts(site, codec, clock, source, metrics, tracer)
    return EmbeddedStore(store, parts)
