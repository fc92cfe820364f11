"""States of a node."""

from enum import Enum


class NodeState(Enum):
    """The state of a node as recorded by the configuration leader."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    GONE = "gone"
