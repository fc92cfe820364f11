"""Name the states of a node."""

from enum import Enum


class NodeState(Enum):
    """Say what the configuration leader knows of a node."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    GONE = "gone"
