"""Name the identifiers of connections."""

from typing import NewType

HostAddress = NewType("HostAddress", str)
