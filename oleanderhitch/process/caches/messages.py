"""Define the message to the task that reads prefix caches."""

from dataclasses import dataclass

from oleanderhitch.process.address import Address
from oleanderhitch.process.directory.messages import ListedEndpoint


@dataclass(frozen=True, slots=True)
class ReadCache:
    """Request the prompt parts that an engine caches.

    The answer is CacheContentsReported; a failed read is logged and not answered.
    """

    endpoint: ListedEndpoint
    reply: Address
