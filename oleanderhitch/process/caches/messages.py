"""Define the message to the task that reads prefix caches."""

from dataclasses import dataclass

from oleanderhitch.process.address import Address
from oleanderhitch.process.directory.messages import ListedEndpoint


@dataclass(frozen=True, slots=True)
class ReadCache:
    """Requests the prompt parts that an engine caches.

    The reply is CacheContentsReported; a failed read is logged and gets no reply.
    """

    endpoint: ListedEndpoint
    reply_address: Address
