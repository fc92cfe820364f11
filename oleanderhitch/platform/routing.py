"""Decode the operator's routing configuration."""

import json
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import cattrs

from oleanderhitch.exceptions import InvalidInputError
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

KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
}


@dataclass(frozen=True)
class WireTarget:
    """Hold a service of a route with its share."""

    service: str
    weight: float


@dataclass(frozen=True)
class WireRoute:
    """Hold a route as operators write it."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float = 0  # objective of the first piece or of the whole answer
    priority: int = 0  # 0 is the most urgent
    service: str | None = None
    split: list[WireTarget] = field(default_factory=list)
    attempts: int = 1  # how many endpoints may run one request
    keeps_history: bool = False
    retain_s: float = 0
    sticky: bool = False
    resumable: bool = False
    itl_target_ms: float | None = None  # longest pause between events


@dataclass(frozen=True)
class WireEngine:
    """Hold the traits of a service's model engines."""

    slots: int
    kv_capacity: int
    chunk_tokens: int  # tokens that count for one event


@dataclass(frozen=True)
class WireService:
    """Hold a service as operators write it."""

    name: str
    engine: WireEngine | None = None


@dataclass(frozen=True)
class WireLimits:
    """Bound what callers may send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclass(frozen=True)
class WireConfiguration:
    """Hold a whole configuration as operators write it."""

    version: int
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits | None = None


def parse_routing(content: bytes) -> RoutingConfiguration:
    """Return a checked configuration; raise InvalidInputError with every fault."""
    try:
        parsed: Any = json.loads(content)
        _reject_mistyped(parsed)
        wire = cattrs.Converter().structure(parsed, WireConfiguration)
    except (ValueError, RecursionError) as error:
        raise InvalidInputError(f"configuration is not JSON: {error}") from None
    except cattrs.BaseValidationError as error:
        faults = "; ".join(cattrs.transform_error(error, path="configuration"))
        raise InvalidInputError(faults) from None
    names = [service.name for service in wire.services]
    if len(set(names)) != len(names):
        raise InvalidInputError("configuration declares a service twice")
    configuration = RoutingConfiguration(
        RoutingVersion(wire.version),
        tuple(_make_route(route) for route in wire.routes),
        {ServiceName(one.name): _make_service(one) for one in wire.services},
        CallerLimits() if wire.limits is None else _make_limits(wire.limits),
    )
    broken = check_configuration(configuration)
    if broken:
        raise InvalidInputError("; ".join(str(fault) for fault in broken))
    return configuration


def parse_route_table(content: bytes) -> RouteTable:
    """Return the index of an accepted configuration."""
    return make_route_table(parse_routing(content))


def _reject_mistyped(parsed: Any) -> None:
    """Raise InvalidInputError where a conversion would hide a wrong type."""
    if not isinstance(parsed, dict):
        raise InvalidInputError("configuration is not an object")
    version = parsed.get("version")
    if not isinstance(version, int) or isinstance(version, bool):
        raise InvalidInputError(f"version is {version!r}; expected a whole number")
    for name in ("routes", "services"):
        if not isinstance(parsed.get(name), list):
            raise InvalidInputError(f"{name} is missing or no list")


def _make_route(wire: WireRoute) -> Route:
    kind = KINDS.get(wire.kind)
    if kind is None:
        raise InvalidInputError(
            f"route {wire.name!r} has kind {wire.kind!r}; expected one of {list(KINDS)}"
        )
    targets = tuple(
        Target(ServiceName(target.service), target.weight) for target in wire.split
    )
    if wire.service is not None and not targets:
        targets = (Target(ServiceName(wire.service), 1),)
    pause = wire.itl_target_ms
    return Route(
        RouteName(wire.name),
        wire.host.lower(),
        wire.path_prefix,
        kind,
        timedelta(milliseconds=wire.timeout_ms),
        timedelta(milliseconds=wire.slo_ms),
        wire.priority,
        targets,
        wire.attempts,
        wire.keeps_history,
        timedelta(seconds=wire.retain_s),
        wire.sticky,
        wire.resumable,
        None if pause is None else timedelta(milliseconds=pause),
    )


def _make_service(wire: WireService) -> Service:
    engine = None
    if wire.engine is not None:
        engine = EngineTraits(
            wire.engine.slots,
            wire.engine.kv_capacity,
            wire.engine.chunk_tokens,
        )
    return Service(ServiceName(wire.name), engine)


def _make_limits(wire: WireLimits) -> CallerLimits:
    return CallerLimits(
        wire.max_header_bytes,
        wire.max_body_bytes,
        timedelta(milliseconds=wire.header_timeout_ms),
        timedelta(milliseconds=wire.idle_timeout_ms),
    )
