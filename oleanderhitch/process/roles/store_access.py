"""Reach the stores, over links or within the same process."""

import random
import uuid
from collections.abc import Callable, Iterable
from typing import Protocol

import logbook

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.link import PeerLink, make_peer_link
from oleanderhitch.connection.peer.messages import PeerMessage
from oleanderhitch.connection.peer.stream import CountBytes
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.placement import Store
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.metrics.core import Metrics, make_counter
from oleanderhitch.process.metrics.states import Counter
from oleanderhitch.process.roles.declared_stores import list_stores
from oleanderhitch.process.roles.store import (
    StoreParameters,
    StoreParts,
    make_store_components,
)
from oleanderhitch.process.roles.store_links import StoreLinks
from oleanderhitch.process.settings import EntrySettings
from oleanderhitch.process.tracing.tracer import Tracer
from oleanderhitch.version.ids import DataCentreName
from oleanderhitch.version.inventory import Host

log = logbook.Logger("entry")

Deliver = Callable[[PeerMessage], None]
Notify = Callable[[object], None]


class StoreAccess(Protocol):
    """Reach the stores of a deployment."""

    @property
    def stores(self) -> tuple[Store, ...]:
        """Return the stores of the settings."""

    def open(self, deliver: Deliver, notify: Notify) -> None:
        """Take where answers and news of links go."""

    def send_to(self, store: HostAddress, message: object) -> None:
        """Send a message to a store, or drop it without a link."""

    def follow(self, hosts: Iterable[Host]) -> dict[NodeId, HostAddress]:
        """Link to the declared stores and return the addresses of all."""

    def receive(self, delivery: PeerMessage) -> None:
        """Take a message for stores that a peer sent to this process."""

    def start(self) -> None:
        """Start the links or the store."""

    def stop(self) -> None:
        """Stop the links or the store."""


class LinkedStores:
    """Reach the stores of other processes over links."""

    def __init__(
        self,
        stores: tuple[Store, ...],
        codec: Codec,
        identity: Identity,
        count_bytes: CountBytes,
    ) -> None:
        self._stores = stores
        self._codec = codec
        self._identity = identity
        self._count_bytes = count_bytes
        self._links = StoreLinks(identity.node, self._make_link)
        self._deliver: Deliver | None = None
        self._notify: Notify | None = None

    @property
    def stores(self) -> tuple[Store, ...]:
        """Return the stores of the settings."""
        return self._stores

    def open(self, deliver: Deliver, notify: Notify) -> None:
        """Take where answers and news of links go, and link to the stores."""
        self._deliver = deliver
        self._notify = notify
        for store in self._stores:
            self._links.add(store.node, store.address)

    def send_to(self, store: HostAddress, message: object) -> None:
        """Send a message to a store, or drop it without a link."""
        link = self._links.find_by_address(store)
        if link is not None:
            link.send(message)

    def follow(self, hosts: Iterable[Host]) -> dict[NodeId, HostAddress]:
        """Link to the declared stores and return the addresses of all."""
        self._links.follow(list_stores(hosts))
        return self._links.list_addresses()

    def _make_link(self, address: HostAddress) -> PeerLink:
        assert self._deliver is not None
        assert self._notify is not None
        return make_peer_link(
            address,
            self._codec,
            self._identity,
            self._deliver,
            self._notify,
            count_bytes=self._count_bytes,
        )

    def receive(self, delivery: PeerMessage) -> None:
        """Ignore a message that is meant for a store."""
        log.warning(
            "{} sent {} to an entry host; it belongs to a store",
            delivery.node,
            type(delivery.message).__name__,
        )

    def start(self) -> None:
        """Start the links."""
        self._links.start()

    def stop(self) -> None:
        """Stop the links."""
        self._links.stop()


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

    def open(self, deliver: Deliver, notify: Notify) -> None:
        """Take where the store's answers go."""
        self._deliver = deliver

    def follow(self, hosts: Iterable[Host]) -> dict[NodeId, HostAddress]:
        """Return the one store's address; further stores need settings."""
        return {self._store.node: self._store.address}

    def send_to(self, store: HostAddress, message: object) -> None:
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
        return LinkedStores(
            stores,
            codec,
            identity,
            make_counter(metrics, Counter.PEER_BYTES),
        )
    if settings.data_dir is None:
        raise InvalidInputError(
            "--stores names no disk host and --data-dir is missing; give one of them"
        )
    store = Store(
        NodeId(settings.node),
        HostAddress(settings.peer_listen),
        DataCentreName(settings.data_centre),
    )
    links = StoreLinks(store.node, _refuse_link)
    site = StoreParameters(
        store.node,
        (store,),
        settings.n_shards,
        settings.data_dir,
        settings.weight_store_bytes_per_s,
        links,
    )
    source = random.Random(uuid.uuid4().int)
    parts = make_store_components(site, codec, clock, source, metrics, tracer)
    return EmbeddedStore(store, parts)


def _refuse_link(address: HostAddress) -> PeerLink:
    raise InvalidInputError(
        f"the inventory declares a store at {address}, but this entry has a store of "
        "its own; give --stores to use disk hosts"
    )
