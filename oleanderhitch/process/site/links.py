"""Make the links between the nodes of a site."""

from collections.abc import Callable
from datetime import timedelta

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.link import PeerLink, make_peer_link
from oleanderhitch.connection.peer.stream import CountBytes, Deliver, StreamTiming
from oleanderhitch.process.roles.store_links import StoreLinks
from oleanderhitch.process.site.settings import SiteSettings

# A peer that is silent for this long is frozen, cut off or gone; calls that wait
# for it are sent to another one.
TIMING = StreamTiming(
    connect_timeout=timedelta(milliseconds=800),
    heartbeat_interval=timedelta(milliseconds=400),
    receive_timeout=timedelta(milliseconds=1400),
)


def make_site_links(
    settings: SiteSettings,
    codec: Codec,
    deliver: Deliver,
    notify: Callable[[object], None],
    count_bytes: CountBytes,
) -> StoreLinks:
    """Return links to the seeds; more are added as they become known."""
    identity = Identity(settings.node, settings.peer_key)

    def make_link(address: HostAddress) -> PeerLink:
        return make_peer_link(
            address, codec, identity, deliver, notify, TIMING, count_bytes
        )

    links = StoreLinks(settings.node, make_link)
    for seed in settings.seeds:
        links.add_node(seed)
    return links
