"""Define the health states of an endpoint in a pool."""

from enum import Enum


class Health(Enum):
    """Which requests an endpoint gets: all, single probes or none."""

    HEALTHY = "healthy"
    PROBATION = "probation"
    LEAVING = "leaving"
