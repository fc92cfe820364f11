"""Define a routing configuration and find the route of a request."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from oleanderhitch.version.ids import ServiceName
from oleanderhitch.version.routes.ids import RouteName, RoutingVersion
from oleanderhitch.version.routes.states import RouteKind


@dataclass(frozen=True, slots=True)
class Target:
    """Name a service and its share of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Say where the requests of a host and path prefix go."""

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: timedelta
    latency_objective: timedelta
    rank: int
    targets: tuple[Target, ...]
    n_attempts: int = 1
    keeps_history: bool = False
    retention: timedelta = timedelta(0)
    is_sticky: bool = False
    is_resumable: bool = False
    event_latency_target: timedelta | None = None

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request that may have run can run again."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Describe the model engines of a service."""

    n_slots: int
    cache_capacity_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Service:
    """Describe the endpoints that a route may use."""

    name: ServiceName
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """Hold the routes of one version."""

    version: RoutingVersion
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Index the routes of a version by host, longest prefix first."""

    configuration: RoutingConfiguration
    routes_by_host: Mapping[str, Sequence[Route]]

    @property
    def version(self) -> RoutingVersion:
        """Return the version that the table was made from."""
        return self.configuration.version

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if any."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_service(self, name: ServiceName) -> Service | None:
        """Return a service of this version."""
        return self.configuration.services.get(name)


def make_route_table(configuration: RoutingConfiguration) -> RouteTable:
    """Return the index of a checked configuration."""
    routes: dict[str, list[Route]] = {}
    for route in configuration.routes:
        routes.setdefault(route.host, []).append(route)
    for found in routes.values():
        found.sort(key=lambda route: len(route.path_prefix), reverse=True)
    return RouteTable(configuration, routes)


def choose_target(route: Route, draw: float) -> ServiceName:
    """Return the service for a draw between 0 and 1."""
    total = sum(target.weight for target in route.targets)
    left = draw * total
    for target in route.targets:
        left -= target.weight
        if left < 0 and target.weight > 0:
            return target.service
    return max(route.targets, key=lambda target: target.weight).service
