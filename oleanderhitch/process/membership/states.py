"""States of a node."""

from enum import Enum


class NodeState(Enum):
    """The state of a node as the configuration leader sees it."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    GONE = "gone"
