"""States of tunnels through another entry host."""

from enum import Enum


class RelayRefusal(Enum):
    """Why an entry host opens no tunnel."""

    UNREACHABLE = "endpoint unreachable"
    OVERLOADED = "too many tunnels"
