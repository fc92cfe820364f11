"""Types of the identifiers in a routing configuration."""

from typing import NewType

RoutingVersion = NewType("RoutingVersion", int)
RouteName = NewType("RouteName", str)

NO_ROUTING = RoutingVersion(-1)
