"""Errors of tunnels through another entry host."""

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.relay.states import RelayRefusal
from oleanderhitch.exceptions import UnavailableError


class RelayError(UnavailableError):
    """No tunnel was opened through an entry host, so that nothing was sent."""


class TunnelRefusedError(RelayError):
    """An entry host has refused to open a tunnel."""

    def __init__(self, refusal: RelayRefusal) -> None:
        super().__init__(f"no tunnel: {refusal.value}")
        self.refusal = refusal


class TunnelUnconfirmedError(RelayError):
    """An entry host of an earlier build opens no tunnel that confirms its end."""

    def __init__(self, relay: HostAddress) -> None:
        super().__init__(f"{relay} does not know tunnels that confirm their end")
        self.relay = relay
