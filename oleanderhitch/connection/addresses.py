"""Parsing of addresses that consist of an IP number and a port."""

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.version.addresses import parse_host_port


def parse_address(address: HostAddress) -> tuple[str, int]:
    """Return the IP address and port; raise InvalidInputError if malformed."""
    try:
        parsed = parse_host_port(address)
    except ValueError:
        raise InvalidInputError(
            f"address {address!r} is not an IP number and port; "
            "expected a form such as 127.0.0.1:7001"
        ) from None
    return parsed.ip, parsed.port
