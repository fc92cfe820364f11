"""Give an entry host access to stores, over links or within the process."""

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
from oleanderhitch.process.roles.declared_stores import list_declared_stores
from oleanderhitch.process.roles.store import (
    StoreComponents,
    StoreParameters,
    make_store_components,
)
from oleanderhitch.process.roles.store_links import StoreLinks
from oleanderhitch.process.settings import EntrySettings
from oleanderhitch.process.tracing.tracer import Tracer
from oleanderhitch.version.ids import DataCentreName
from oleanderhitch.version.inventory import Host

log = logbook.Logger("entry")

Deliver = Callable[[PeerMessage], None]
LinkEventCallback = Callable[[object], None]


class StoreAccess(Protocol):
    """Access of an entry host to the stores of its deployment."""

    @property
    def stores(self) -> tuple[Store, ...]:
        """The stores from the settings."""

    def set_callbacks(self, deliver: Deliver, on_link_event: LinkEventCallback) -> None:
        """Set the callbacks for replies of stores and for link events."""

    def send_to(self, store: HostAddress, message: object) -> None:
        """Send a message to a store, or drop it if there is no link."""

    def update_stores(self, hosts: Iterable[Host]) -> dict[NodeId, HostAddress]:
        """Add the declared stores and return the addresses of all stores."""

    def receive(self, delivery: PeerMessage) -> None:
        """Handle a message for a store that a peer sent to this process."""

    def start(self) -> None:
        """Start the links or the store."""

    def stop(self) -> None:
        """Stop the links or the store."""


class RemoteStores:
    """Access to stores in other processes over links."""

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
        self._on_link_event: LinkEventCallback | None = None

    @property
    def stores(self) -> tuple[Store, ...]:
        """The stores from the settings."""
        return self._stores

    def set_callbacks(self, deliver: Deliver, on_link_event: LinkEventCallback) -> None:
        """Set the callbacks and add links to the stores, not started yet."""
        self._deliver = deliver
        self._on_link_event = on_link_event
        for store in self._stores:
            self._links.add(store.node, store.address)

    def send_to(self, store: HostAddress, message: object) -> None:
        """Send a message to a store, or drop it if there is no link."""
        link = self._links.find_by_address(store)
        if link is not None:
            link.send(message)

    def update_stores(self, hosts: Iterable[Host]) -> dict[NodeId, HostAddress]:
        """Add links to the declared stores and return the addresses of all."""
        self._links.update_stores(list_declared_stores(hosts))
        return self._links.list_addresses()

    def _make_link(self, address: HostAddress) -> PeerLink:
        assert self._deliver is not None
        assert self._on_link_event is not None
        return make_peer_link(
            address,
            self._codec,
            self._identity,
            self._deliver,
            self._on_link_event,
            count_bytes=self._count_bytes,
        )

    def receive(self, delivery: PeerMessage) -> None:
        """Log and drop a message for a store."""
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
    """Access to the only store, which runs in this process."""

    def __init__(self, store: Store, components: StoreComponents) -> None:
        self._store = store
        self._components = components
        self._deliver: Deliver | None = None

    @property
    def stores(self) -> tuple[Store, ...]:
        """The embedded store."""
        return (self._store,)

    def set_callbacks(self, deliver: Deliver, on_link_event: LinkEventCallback) -> None:
        """Set the callback for replies; there are no links."""
        self._deliver = deliver

    def update_stores(self, hosts: Iterable[Host]) -> dict[NodeId, HostAddress]:
        """Return the embedded store's address; other stores need --stores."""
        return {self._store.node: self._store.address}

    def send_to(self, store: HostAddress, message: object) -> None:
        """Deliver a message to the store."""
        reply_address = _EmbeddedStoreReplyAddress(self._store.node, self)
        self._components.deliver(PeerMessage(self._store.node, message, reply_address))

    def receive(self, delivery: PeerMessage) -> None:
        """Deliver a peer's message to the store, such as an operator's."""
        self._components.deliver(delivery)

    def deliver_reply(self, delivery: PeerMessage) -> None:
        """Deliver a reply of the store to the entry host's tasks."""
        if self._deliver is not None:
            self._deliver(delivery)

    def start(self) -> None:
        """Start the store."""
        self._components.start()

    def stop(self) -> None:
        """Stop the store."""
        self._components.stop()


class _EmbeddedStoreReplyAddress:
    """Reply address that passes the embedded store's replies to the entry host."""

    def __init__(self, node: NodeId, store: EmbeddedStore) -> None:
        self._node = node
        self._store = store

    def send(self, message: object) -> None:
        """Deliver a reply."""
        self._store.deliver_reply(PeerMessage(self._node, message, self))


def make_store_access(
    settings: EntrySettings,
    codec: Codec,
    clock: Clock,
    metrics: Metrics,
    tracer: Tracer,
) -> StoreAccess:
    """Return access to the stores; raise InvalidInputError or StorageError.

    If the settings have no stores, a single replica of each group runs in this process,
    with the same code as on a disk host.
    """
    stores = settings.get_stores()
    if stores:
        identity = Identity(NodeId(settings.node), settings.get_key())
        return RemoteStores(
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
    links = StoreLinks(store.node, _reject_link)
    parameters = StoreParameters(
        store.node,
        (store,),
        settings.n_shards,
        settings.data_dir,
        settings.weight_store_bytes_per_s,
        links,
    )
    random_source = random.Random(uuid.uuid4().int)
    components = make_store_components(
        parameters, codec, clock, random_source, metrics, tracer
    )
    return EmbeddedStore(store, components)


def _reject_link(address: HostAddress) -> PeerLink:
    raise InvalidInputError(
        f"the inventory declares a store at {address}, but this entry has a store of "
        "its own; give --stores to use disk hosts"
    )
