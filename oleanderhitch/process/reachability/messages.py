"""Messages to the task that decides by which way endpoints are reached."""

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.reachability.states import AttemptOutcome, Reach
from oleanderhitch.values import Value


class Direct(Value, frozen=True):
    """The way from this host to the endpoint."""


class Through(Value, frozen=True):
    """The way through another entry host.

    Without `confirms_ends`, responses that end with the connection count as broken off.
    """

    relay: HostAddress
    confirms_ends: bool = True


Way = Direct | Through


class FindWays(Value, frozen=True):
    """Asks for the ways to try, one after the other, for a connection."""

    reply_address: Address


class WaysFound(Value, frozen=True):
    """Returns the ways to try, the best one first."""

    ways: tuple[Way, ...]


class AttemptEnded(Value, frozen=True):
    """Reports how an attempt to connect to an endpoint by some way ended."""

    way: Way
    endpoint: HostAddress
    outcome: AttemptOutcome


class EndpointAddressesListed(Value, frozen=True):
    """Reports the addresses of all endpoints."""

    addresses: tuple[HostAddress, ...]


class RelaysFound(Value, frozen=True):
    """Reports the entry hosts that open tunnels for this one."""

    relays: tuple[HostAddress, ...]


class ProbeEndpoint(Value, frozen=True):
    """Connects to an endpoint directly and closes the connection again."""

    endpoint: HostAddress


class ReportReach(Value, frozen=True):
    """Reports that this host lost or regained its links to the endpoints.

    With `is_silent`, connections that are open are lost as well.
    """

    reach: Reach
    is_silent: bool = False


class SendReply(Value, frozen=True):
    """Sends a message to a reply address."""

    reply_address: Address
    message: WaysFound
