"""Assume where shared prompt prefixes are cached, the same way at all entry hosts.

Answers many short programs that begin with the same long prefixes at many entry hosts.
A host knows only the prompts that it has sent itself, and if each host warmed endpoints
of its own choice, every endpoint would read every prefix. Instead, each prefix has
homes: the first endpoints of its rendezvous order, as many as its load takes. This is
consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018), with a
choice between two.
"""

from collections.abc import Sequence
from datetime import datetime
from hashlib import blake2b

from oleanderhitch.process.placement.health import is_on_trial
from oleanderhitch.process.placement.messages import InferenceWorkload
from oleanderhitch.process.placement.records import (
    Endpoint,
    PlacementState,
    count_running,
)
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName

# A home that runs this many times the mean shares its prefixes with the next endpoint.
LOAD_FACTOR = 1.5
# Up to this share of its slots, a request at a home delays less than one more prefill
# of a prefix does, however idle the other endpoints are.
SLOT_SHARE = 0.25
# A choice between two levels the loads of homes, of which some have more prefixes than
# others, and lets a slow one be passed over.
N_SPARE_HOMES = 2
# Prefixes whose orders are kept, a few kilobytes each with 100 endpoints.
N_ORDERS_MAX = 256


def find_prefix(workload: InferenceWorkload) -> str | None:
    """Return the id of the part that a prompt shares with others, None without one.

    The last part belongs to the request or to its session.
    """
    return workload.parts[0].id if len(workload.parts) > 1 else None


def list_homes(
    service: ServiceName, prefix: str, state: PlacementState, now: datetime
) -> frozenset[EndpointId]:
    """Return the endpoints that are assumed to have a prefix cached.

    Those in the order up to the second one that has room for more load. An endpoint
    that leaves gets no new prefixes.
    """
    endpoints = [
        endpoint
        for name in _get_order(service, prefix, state)
        if not (endpoint := state.endpoints[name]).is_leaving
    ]
    loads = [count_running(endpoint, now) for endpoint in endpoints]
    mean = sum(loads) / max(1, len(loads))
    homes = []
    n_spare = 0
    for endpoint, load in zip(endpoints, loads, strict=True):
        homes.append(endpoint.listed.endpoint)
        n_spare += _has_room(endpoint, load, mean, now)
        if n_spare == N_SPARE_HOMES:
            break
    return frozenset(homes)


def _has_room(endpoint: Endpoint, load: int, mean: float, now: datetime) -> bool:
    if endpoint.avoid_until is not None and endpoint.avoid_until > now:
        return False
    n_slots = endpoint.listed.n_slots
    bound = min(n_slots, max(LOAD_FACTOR * mean, SLOT_SHARE * n_slots))
    return load < bound and not is_on_trial(endpoint, now)


def _get_order(
    service: ServiceName, prefix: str, state: PlacementState
) -> tuple[EndpointId, ...]:
    """Return the order of a prefix, which is kept until the list changes."""
    orders = state.prefix_orders
    key = (service, prefix)
    if key not in orders:
        endpoints = [
            endpoint
            for endpoint in state.endpoints.values()
            if endpoint.listed.service == service
        ]
        orders[key] = make_order(prefix, endpoints, state.data_centre)
    orders.move_to_end(key)
    if len(orders) > N_ORDERS_MAX:
        orders.popitem(last=False)
    return orders[key]


def make_order(
    prefix: str, endpoints: Sequence[Endpoint], data_centre: DataCentreName
) -> tuple[EndpointId, ...]:
    """Return endpoints in the order in which a prefix is cached by them.

    Those of the own data centre come first. The place of an endpoint before another
    one does not depend on the others, so that one that comes or goes moves no prefix
    between them.
    """

    def get_key(endpoint: Endpoint) -> tuple[bool, bytes]:
        name = endpoint.listed.endpoint
        digest = blake2b(f"{prefix}\0{name}".encode(), digest_size=8).digest()
        return endpoint.listed.data_centre != data_centre, digest

    return tuple(item.listed.endpoint for item in sorted(endpoints, key=get_key))
