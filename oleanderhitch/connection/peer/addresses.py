"""Parse the addresses of peers."""

import ipaddress

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError

PORT_LIMIT = 65535


def parse_address(address: HostAddress) -> tuple[str, int]:
    """Return IP number and port; raise InvalidInputError for anything else."""
    host, _, port = address.rpartition(":")
    try:
        number = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        number = None
    if number is None or not port.isdigit() or int(port) > PORT_LIMIT:
        raise InvalidInputError(
            f"address {address!r} is not an IP number and port; "
            "expected a form such as 127.0.0.1:7001"
        )
    return str(number), int(port)
