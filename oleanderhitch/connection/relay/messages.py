"""Messages that open a tunnel; what follows them are the bytes of the endpoint."""

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.relay.states import RelayRefusal
from oleanderhitch.values import Value


class OpenTunnel(Value, frozen=True):
    """Requests a connection to an endpoint."""

    endpoint: HostAddress


class OpenConfirmedTunnel(Value, frozen=True):
    """Requests a connection to an endpoint, of which the end is confirmed.

    Hosts of builds before this message close the connection instead of an answer.
    """

    endpoint: HostAddress


class TunnelOpened(Value, frozen=True):
    """Reports that the endpoint is connected, and that bytes are passed on from now."""


class TunnelRefused(Value, frozen=True):
    """Reports that nothing was sent to the endpoint, and why."""

    refusal: RelayRefusal


MESSAGES: tuple[type, ...] = (
    OpenTunnel,
    OpenConfirmedTunnel,
    TunnelOpened,
    TunnelRefused,
)
