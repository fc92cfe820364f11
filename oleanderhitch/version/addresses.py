"""Parse addresses made of an IP address and a port."""

from ipaddress import ip_address

from oleanderhitch.values import Value

N_PORTS = 65536


class HostPort(Value, frozen=True):
    """An IP address and a TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address as written in documents, with IPv6 in brackets."""
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


def parse_host_port(text: object) -> HostPort:
    """Return the address of a string such as 127.0.0.1:80; raise ValueError."""
    if not isinstance(text, str):
        raise ValueError("the address is not a text")
    host, separator, port = text.rpartition(":")
    if not separator or not (port.isascii() and port.isdecimal()):
        raise ValueError("the address has no port number")
    number = int(port)
    if not 0 < number < N_PORTS:
        raise ValueError(f"the port is not between 1 and {N_PORTS - 1}")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    return HostPort(str(ip_address(host)), number)
