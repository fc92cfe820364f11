"""Enumerations of host roles and document kinds."""

from enum import Enum


class HostRole(Enum):
    """Process that runs on a host."""

    ENTRY = "entry"
    STORE = "store"


class DocumentKind(Enum):
    """What a document declares; the value is the document name up to the first dot."""

    INVENTORY = "inventory"
    RULES = "rules"
