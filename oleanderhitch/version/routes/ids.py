"""Name the identifiers of a routing configuration."""

from typing import NewType

RoutingVersion = NewType("RoutingVersion", int)
RouteName = NewType("RouteName", str)

NO_ROUTING = RoutingVersion(-1)
