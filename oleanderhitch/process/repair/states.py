"""States of a registered store."""

from enum import Enum


class StoreStanding(Enum):
    """Whether a store may hold replicas, is being emptied or has been emptied."""

    ACTIVE = "active"
    RETIRING = "retiring"
    RETIRED = "retired"
