"""Name the kinds of things that a configuration declares."""

from enum import Enum


class HostRole(Enum):
    """Say which process runs on a host."""

    ENTRY = "entry"
    STORE = "store"


class DocumentKind(Enum):
    """Say what a document declares; it is the name up to the first dot."""

    INVENTORY = "inventory"
    RULES = "rules"
