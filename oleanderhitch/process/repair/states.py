"""List the states of a store."""

from enum import Enum


class StoreStanding(Enum):
    """Tell whether a store may hold state."""

    ACTIVE = "active"
    RETIRING = "retiring"
    RETIRED = "retired"
