"""Identifiers used by connections."""

from typing import NewType

HostAddress = NewType("HostAddress", str)
