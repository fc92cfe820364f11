"""List what a route promises about repeating its requests."""

from enum import Enum


class RouteKind(Enum):
    """Tell what may be done with the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
