"""Codec of all message types that are sent between processes."""

from oleanderhitch.connection.codec import Codec, make_codec
from oleanderhitch.connection.peer import messages as peer
from oleanderhitch.process.configuration import messages as configuration
from oleanderhitch.process.explaining import messages as explaining
from oleanderhitch.process.groups import messages as groups
from oleanderhitch.process.membership import messages as membership
from oleanderhitch.process.replication import messages as replication
from oleanderhitch.process.scheduling import messages as scheduling
from oleanderhitch.program import messages as program
from oleanderhitch.request import messages as request

MESSAGE_MODULES = (
    peer,
    groups,
    replication,
    configuration,
    membership,
    scheduling,
    explaining,
    program,
    request,
)


def make_project_codec() -> Codec:
    """Return the codec that every process uses for peer messages."""
    return make_codec(
        message_type for module in MESSAGE_MODULES for message_type in module.MESSAGES
    )
