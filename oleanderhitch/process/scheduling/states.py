"""Define the health states of an endpoint in a pool."""

from enum import Enum


class Health(Enum):
    """Health of an endpoint, which decides the requests that it gets.

    HEALTHY: all. PROBATION: single probes, and others only if they would lose more time
    elsewhere. LEAVING: none.
    """

    HEALTHY = "healthy"
    PROBATION = "probation"
    LEAVING = "leaving"
