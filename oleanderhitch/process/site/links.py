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

# A peer that sends nothing for `receive_timeout` is frozen, isolated or has stopped, or
# its connection is silent; the link then connects again. Calls without a reply are sent
# to another store long before that. Every entry host has a link to every store, so
# that heartbeats of idle links are most of the messages of a large site.
LINK_TIMING = StreamTiming(
    connect_timeout=timedelta(milliseconds=800),
    heartbeat_interval=timedelta(milliseconds=1000),
    receive_timeout=timedelta(milliseconds=2200),
)


def make_site_links(
    settings: SiteSettings,
    codec: Codec,
    deliver: Deliver,
    on_link_event: Callable[[object], None],
    count_bytes: CountBytes,
) -> StoreLinks:
    """Return links to the seeds; links to other stores can be added later."""
    identity = Identity(settings.node, settings.peer_key)

    def make_link(address: HostAddress) -> PeerLink:
        return make_peer_link(
            address, codec, identity, deliver, on_link_event, LINK_TIMING, count_bytes
        )

    links = StoreLinks(settings.node, make_link)
    for seed in settings.seeds:
        links.add_node(seed)
    return links
