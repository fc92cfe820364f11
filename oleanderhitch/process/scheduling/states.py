"""Define the health states of an endpoint in a pool."""

from enum import Enum


class Health(Enum):
    """Which requests an endpoint gets.

    HEALTHY: all. PROBATION: single probes, and others only if they would lose more
    time elsewhere. LEAVING: none.
    """

    HEALTHY = "healthy"
    PROBATION = "probation"
    LEAVING = "leaving"
