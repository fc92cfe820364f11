"""Links from a node of a site to the site's stores."""

from collections.abc import Callable
from datetime import timedelta

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.link import PeerLink, make_peer_link
from oleanderhitch.connection.peer.stream import CountBytes, Deliver, StreamTiming
from oleanderhitch.process.roles.store_links import StoreLinks
from oleanderhitch.process.site.settings import SiteSettings

# A peer that does not answer for `receive_timeout` is frozen, isolated or has stopped,
# or its connection is silent; the link then connects again. Calls without a reply are
# sent to another store long before that.
LINK_TIMING = StreamTiming(
    connect_timeout=timedelta(milliseconds=800),
    heartbeat_interval=timedelta(milliseconds=1000),
    receive_timeout=timedelta(milliseconds=2200),
)
# An entry host learns that a store is away when it sends something. Heartbeats of idle
# links would be most of the messages of a large site, since they grow with the product
# of entry hosts and stores.
ENTRY_LINK_TIMING = StreamTiming(
    connect_timeout=LINK_TIMING.connect_timeout,
    heartbeat_interval=timedelta(seconds=5),
    receive_timeout=LINK_TIMING.receive_timeout,
)


def make_site_links(
    settings: SiteSettings,
    codec: Codec,
    deliver: Deliver,
    on_link_event: Callable[[object], None],
    count_bytes: CountBytes,
    is_entry_host: bool = False,
) -> StoreLinks:
    """Return links to the seeds; links to other stores can be added later.

    A store keeps a link to each other one. An entry host connects to the stores that it
    has something to send to.
    """
    identity = Identity(settings.node, settings.peer_key)

    def make_link(address: HostAddress) -> PeerLink:
        return make_peer_link(
            address,
            codec,
            identity,
            deliver,
            on_link_event,
            ENTRY_LINK_TIMING if is_entry_host else LINK_TIMING,
            count_bytes,
            is_on_demand=is_entry_host,
        )

    links = StoreLinks(settings.node, make_link)
    for seed in settings.seeds:
        links.add_node(seed)
    return links
