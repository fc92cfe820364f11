"""Parser of the routing configuration, a JSON document that operators publish."""

import json
import math
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform.accounts import parse_accounts
from oleanderhitch.platform.documents import structure_document
from oleanderhitch.version.ids import ServiceName
from oleanderhitch.version.routes.checks import check_configuration
from oleanderhitch.version.routes.configuration import (
    CallerLimits,
    EngineTraits,
    Route,
    RouteTable,
    RoutingConfiguration,
    Service,
    Target,
    make_route_table,
)
from oleanderhitch.version.routes.ids import RouteName, RoutingVersion
from oleanderhitch.version.routes.states import RouteKind

MILLISECONDS_PER_SECOND = 1000
# Longer durations are as good as endless, and a time after one can't be represented.
LONGEST_DURATION = timedelta(days=36_500)
# Messages between processes hold integers of 64 bits.
COUNT_MAX = 2**63 - 1
ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
}


@dataclass(frozen=True)
class WireTarget:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class WireRoute:
    """A route as written in the JSON document."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float = 0  # latency objective of the first chunk or the whole response
    priority: int = 0  # 0 is the highest
    service: str | None = None
    split: list[WireTarget] = field(default_factory=list)
    attempts: int = 1  # maximum number of endpoints that may run one request
    keeps_history: bool = False
    retain_s: float = 0
    sticky: bool = False
    resumable: bool = False
    itl_target_ms: float | None = None  # longest accepted time between stream events
    public: bool = False  # whether requests need no key


@dataclass(frozen=True)
class WireEngine:
    """Properties of the model engines of a service."""

    slots: int
    kv_capacity: int  # tokens that fit in the prefix cache
    chunk_tokens: int  # output tokens that one event of a stream counts as


@dataclass(frozen=True)
class WireService:
    """A service as written in the JSON document."""

    name: str
    engine: WireEngine | None = None


@dataclass(frozen=True)
class WireLimits:
    """Limits of callers' requests and connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclass(frozen=True)
class WireConfiguration:
    """The JSON document as a whole."""

    version: int
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits | None = None


def parse_routing(content: bytes) -> RoutingConfiguration:
    """Parse and check a configuration; raise InvalidInputError listing the faults."""
    try:
        parsed: Any = json.loads(content)
        _check_types(parsed)
    except (ValueError, RecursionError) as error:
        raise InvalidInputError(f"configuration is not JSON: {error}") from None
    wire = structure_document(parsed, WireConfiguration, "configuration")
    service_names = [service.name for service in wire.services]
    if len(set(service_names)) != len(service_names):
        raise InvalidInputError("configuration declares a service twice")
    configuration = RoutingConfiguration(
        RoutingVersion(wire.version),
        tuple(_make_route(route) for route in wire.routes),
        {
            ServiceName(wire_service.name): _make_service(wire_service)
            for wire_service in wire.services
        },
        CallerLimits() if wire.limits is None else _make_limits(wire.limits),
        parse_accounts(parsed.get("tenants")),
    )
    route_faults = check_configuration(configuration)
    if route_faults:
        raise InvalidInputError("; ".join(str(fault) for fault in route_faults))
    return configuration


def parse_route_table(content: bytes) -> RouteTable:
    """Return the route table of a configuration that was accepted before."""
    return make_route_table(parse_routing(content))


def _check_types(parsed: Any) -> None:
    """Reject values of a wrong type that would be converted without an error."""
    if not isinstance(parsed, dict):
        raise InvalidInputError("configuration is not an object")
    version = parsed.get("version")
    if not isinstance(version, int) or isinstance(version, bool):
        # Any part of the document may be there, also keys of accounts.
        kind = type(version).__name__
        raise InvalidInputError(f"version is of type {kind}; expected a whole number")
    if abs(version) > COUNT_MAX:
        raise InvalidInputError(f"version exceeds {COUNT_MAX}")
    for name in ("routes", "services"):
        if not isinstance(parsed.get(name), list):
            raise InvalidInputError(f"{name} is missing or no list")


def _make_route(wire: WireRoute) -> Route:
    kind = ROUTE_KINDS.get(wire.kind)
    if kind is None:
        raise InvalidInputError(
            f"route {wire.name!r} has kind {wire.kind!r}; "
            f"expected one of {list(ROUTE_KINDS)}"
        )
    _check_count(f"route {wire.name!r}: attempts", wire.attempts)
    _check_count(f"route {wire.name!r}: priority", abs(wire.priority))
    for target in wire.split:
        if not math.isfinite(target.weight):
            raise InvalidInputError(f"route {wire.name!r} has weight {target.weight}")
    targets = tuple(
        Target(ServiceName(target.service), target.weight) for target in wire.split
    )
    if wire.service is not None and not targets:
        targets = (Target(ServiceName(wire.service), 1),)
    itl_target_ms = wire.itl_target_ms
    return Route(
        RouteName(wire.name),
        wire.host.lower(),
        wire.path_prefix,
        kind,
        _make_duration("timeout_ms", wire.timeout_ms / MILLISECONDS_PER_SECOND),
        _make_duration("slo_ms", wire.slo_ms / MILLISECONDS_PER_SECOND),
        wire.priority,
        targets,
        wire.attempts,
        wire.keeps_history,
        _make_duration("retain_s", wire.retain_s),
        wire.sticky,
        wire.resumable,
        None
        if itl_target_ms is None
        else _make_duration("itl_target_ms", itl_target_ms / MILLISECONDS_PER_SECOND),
        wire.public,
    )


def _check_count(name: str, value: int) -> None:
    """Raise InvalidInputError if a number is negative or takes more than 64 bits."""
    if not 0 <= value <= COUNT_MAX:
        raise InvalidInputError(f"{name} is not from 0 to {COUNT_MAX}")


def _make_duration(name: str, seconds: float) -> timedelta:
    """Return a duration, LONGEST_DURATION at most; raise InvalidInputError."""
    if math.isnan(seconds) or seconds < 0:
        raise InvalidInputError(f"{name} is {seconds} s; expected 0 or more")
    return timedelta(seconds=min(seconds, LONGEST_DURATION.total_seconds()))


def _make_service(wire: WireService) -> Service:
    engine = None
    if wire.engine is not None:
        for name in ("slots", "kv_capacity", "chunk_tokens"):
            place = f"service {wire.name!r}: {name}"
            _check_count(place, getattr(wire.engine, name))
        engine = EngineTraits(
            wire.engine.slots,
            wire.engine.kv_capacity,
            wire.engine.chunk_tokens,
        )
    return Service(ServiceName(wire.name), engine)


def _make_limits(wire: WireLimits) -> CallerLimits:
    _check_count("max_header_bytes", wire.max_header_bytes)
    _check_count("max_body_bytes", wire.max_body_bytes)
    return CallerLimits(
        wire.max_header_bytes,
        wire.max_body_bytes,
        _make_duration(
            "header_timeout_ms", wire.header_timeout_ms / MILLISECONDS_PER_SECOND
        ),
        _make_duration(
            "idle_timeout_ms", wire.idle_timeout_ms / MILLISECONDS_PER_SECOND
        ),
    )
