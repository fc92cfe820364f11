"""Name the states of an endpoint as its pool sees it."""

from enum import Enum


class Health(Enum):
    """Say how much work an endpoint may get."""

    HEALTHY = "healthy"
    PROBATION = "probation"
    LEAVING = "leaving"
