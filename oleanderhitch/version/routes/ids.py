"""Types of the identifiers in a routing configuration."""

from typing import NewType

RoutingVersion = NewType("RoutingVersion", int)
RouteName = NewType("RouteName", str)
# Stands for the key of a client account, which is a secret.
KeyDigest = NewType("KeyDigest", str)

NO_ROUTING = RoutingVersion(-1)
