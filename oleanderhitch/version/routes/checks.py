"""Check a routing configuration; each check has a stable identifier."""

from collections import Counter
from collections.abc import Iterator
from datetime import timedelta

from oleanderhitch.version.checks import Fault
from oleanderhitch.version.routes.configuration import Route, RoutingConfiguration


def check_configuration(configuration: RoutingConfiguration) -> list[Fault]:
    """Return all faults of a configuration."""
    faults = [
        fault
        for route in configuration.routes
        for fault in _check_route(route, configuration)
    ]
    n_routes_by_prefix = Counter(
        (route.host, route.path_prefix) for route in configuration.routes
    )
    faults.extend(
        Fault(
            "routes.E001",
            f"host {host} prefix {prefix}",
            f"{n_routes} routes",
            "one route for a host and prefix",
            "Keep one of them.",
        )
        for (host, prefix), n_routes in n_routes_by_prefix.items()
        if n_routes > 1
    )
    return faults


def _check_route(route: Route, configuration: RoutingConfiguration) -> Iterator[Fault]:
    place = f"route {route.name}"
    for target in route.targets:
        if target.service not in configuration.services:
            yield Fault(
                "routes.E002",
                place,
                f"service {target.service}",
                "a declared service",
                "Declare the service or correct its spelling.",
            )
        if target.weight < 0:
            yield Fault(
                "routes.E003",
                place,
                f"weight {target.weight}",
                "0 or more",
                "Correct the weight.",
            )
    if sum(target.weight for target in route.targets) <= 0:
        yield Fault(
            "routes.E004",
            place,
            "weights that add up to 0",
            "a weight above 0",
            "Give one service a weight.",
        )
    if route.timeout <= timedelta(0):
        yield Fault(
            "routes.E005",
            place,
            f"timeout {route.timeout}",
            "more than 0",
            "Set a timeout.",
        )
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield Fault(
            "routes.E006",
            place,
            f"prefix {route.path_prefix}",
            "a slash at both ends",
            "Add the slash.",
        )
