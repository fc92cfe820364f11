"""Define a routing configuration and look up the route of a request."""

from collections.abc import Mapping, Sequence
from datetime import timedelta

from msgspec import field

from oleanderhitch.values import Value
from oleanderhitch.version.ids import ServiceName
from oleanderhitch.version.routes.accounts import Account, index_accounts
from oleanderhitch.version.routes.ids import KeyDigest, RouteName, RoutingVersion
from oleanderhitch.version.routes.states import RouteKind


class Target(Value, frozen=True):
    """A service and its share of a route's requests."""

    service: ServiceName
    weight: float


class Route(Value, frozen=True):
    """How requests for a host and path prefix are served.

    `latency_objective` is for the first chunk of a stream or for a whole response. A
    lower `rank` is more urgent. `n_attempts` limits the endpoints that may run one
    request. Turns of a route that keeps history can be continued for `retention` after
    their last use. A sticky route prefers endpoints that have served the same affinity
    key. `event_latency_target` is the longest interval between two events of a stream
    that callers accept.
    """

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
    # Whether requests need no key of a client account.
    is_public: bool = False

    @property
    def allows_retry(self) -> bool:
        """Whether a request that may have run can be retried."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class EngineTraits(Value, frozen=True):
    """Properties of the model engines of a service.

    `tokens_per_event` is the number of tokens that one event of a stream counts for.
    """

    n_slots: int
    cache_capacity_tokens: int
    tokens_per_event: int


class Service(Value, frozen=True):
    """A service that routes can target; `engine` is None for a plain service."""

    name: ServiceName
    engine: EngineTraits | None = None


class CallerLimits(Value, frozen=True):
    """Size limits and timeouts of a caller's connection."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


class RoutingConfiguration(Value, frozen=True):
    """The routes, services, limits and client accounts of one version.

    Without `accounts`, nobody needs a key.
    """

    version: RoutingVersion
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)
    accounts: tuple[Account, ...] | None = None


class RouteTable(Value, frozen=True):
    """The routes of a version by host, longest path prefix first."""

    configuration: RoutingConfiguration
    routes_by_host: Mapping[str, Sequence[Route]]
    accounts_by_key: Mapping[KeyDigest, Account] = field(default_factory=dict)

    @property
    def version(self) -> RoutingVersion:
        """The version of the routing configuration."""
        return self.configuration.version

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @property
    def has_accounts(self) -> bool:
        """Whether requests need the key of a client account."""
        return self.configuration.accounts is not None

    def find_account(self, key: KeyDigest | None) -> Account | None:
        """Return the account that has a key, or None if the key is unknown."""
        return None if key is None else self.accounts_by_key.get(key)

    def find_service(self, name: ServiceName) -> Service | None:
        """Return a service by its name, or None if it is not declared."""
        return self.configuration.services.get(name)


def make_route_table(configuration: RoutingConfiguration) -> RouteTable:
    """Return the route table of a configuration that passed the checks."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in configuration.routes:
        routes_by_host.setdefault(route.host, []).append(route)
    for routes in routes_by_host.values():
        routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
    accounts_by_key = index_accounts(configuration.accounts or ())
    return RouteTable(configuration, routes_by_host, accounts_by_key)


def choose_target(route: Route, random_fraction: float) -> ServiceName:
    """Return a service by weight; `random_fraction` is between 0 and 1.

    A fraction of 1 and rounding errors fall through to the heaviest target.
    """
    total_weight = sum(target.weight for target in route.targets)
    remaining = random_fraction * total_weight
    for target in route.targets:
        remaining -= target.weight
        if remaining < 0 and target.weight > 0:
            return target.service
    return max(route.targets, key=lambda target: target.weight).service
