"""Enumeration of route kinds."""

from enum import Enum


class RouteKind(Enum):
    """Whether requests of a route may be retried, or are streamed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
