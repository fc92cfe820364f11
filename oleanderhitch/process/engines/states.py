"""Name the orders that engines accept."""

from enum import Enum


class OrderKind(Enum):
    """Say what an order changes."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    SET_ROLE = "set_role"
