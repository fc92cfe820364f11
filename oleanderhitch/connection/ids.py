"""Identifiers used by connections."""

from typing import NewType

# An IP number and port, such as 127.0.0.1:7001.
HostAddress = NewType("HostAddress", str)
