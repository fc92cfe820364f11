"""Define the message to the task that reads prefix caches."""

from oleanderhitch.process.address import Address
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.values import Value


class ReadCache(Value, frozen=True):
    """Requests the prompt parts that an engine caches.

    The reply is CacheContentsReported; a failed read is logged and gets no reply.
    """

    endpoint: ListedEndpoint
    reply_address: Address
