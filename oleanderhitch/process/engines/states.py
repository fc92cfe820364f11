"""Define the kinds of orders that engines accept."""

from enum import Enum


class OrderKind(Enum):
    """What an order changes; the values are sent to the engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    SET_ROLE = "set_role"
