"""Codec of the messages that the processes of a site exchange."""

from oleanderhitch.connection.codec import Codec, make_codec
from oleanderhitch.connection.peer import messages as peer
from oleanderhitch.connection.relay import messages as relay
from oleanderhitch.process.groups import messages as groups
from oleanderhitch.process.repair import messages as repair
from oleanderhitch.process.site import messages as site

MODULES = (peer, relay, groups, repair, site)


def make_site_peer_codec() -> Codec:
    """Return the codec of the messages between the processes of a site."""
    return make_codec(
        message_type for module in MODULES for message_type in module.MESSAGES
    )
