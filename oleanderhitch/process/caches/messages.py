"""Define what is asked of the reader of caches."""

from dataclasses import dataclass

from oleanderhitch.process.address import Address
from oleanderhitch.process.directory.messages import ListedEndpoint


@dataclass(frozen=True, slots=True)
class ReadCache:
    """Ask for the parts that an engine holds; the answer is a CacheContentsReported.

    A failed reading has no answer.
    """

    endpoint: ListedEndpoint
    reply: Address
