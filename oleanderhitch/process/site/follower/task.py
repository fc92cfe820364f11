"""Run the task that follows the stores for one entry."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

import logbook

from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.directory.core import ReaderAppointed
from oleanderhitch.process.groups.messages import StoresChanged
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.placement.messages import (
    CacheCapacitiesUpdated,
    EndpointsListed,
    GetLoads,
    PeerLoadsReported,
)
from oleanderhitch.process.roles.store_links import StoreLinks
from oleanderhitch.process.site.follower.core import (
    LOADED_HELLO_INTERVAL,
    OWN_TERM,
    AppointReader,
    AskLoads,
    FollowerState,
    InstallEndpoints,
    InstallRouting,
    LinkStores,
    LogLink,
    SayHello,
    TellLoads,
    handle,
)
from oleanderhitch.process.site.follower.installed import Installed
from oleanderhitch.process.task import Task, make_task
from oleanderhitch.version.routes.configuration import RouteTable


@dataclass(slots=True)
class FollowerParts:
    """Hold what the effects of the follower act on."""

    installed: Installed
    links: StoreLinks
    clients: tuple[Address, ...]
    placement: Address
    directory: Address
    read_routing: Callable[[bytes], RouteTable]
    own: Address | None = None


log = logbook.Logger("follower")


@singledispatch
def perform(effect: object, parts: FollowerParts) -> None:
    """Perform an effect of the follower."""
    raise TypeError(f"follower has no effect {type(effect).__name__}")


@perform.register
def _(effect: SayHello, parts: FollowerParts) -> None:
    for link in parts.links.links.values():
        link.send(effect.hello)


@perform.register
def _(effect: AskLoads, parts: FollowerParts) -> None:
    assert parts.own is not None
    parts.placement.send(GetLoads(parts.own))


@perform.register
def _(effect: TellLoads, parts: FollowerParts) -> None:
    parts.placement.send(PeerLoadsReported(effect.loads))


@perform.register
def _(effect: LinkStores, parts: FollowerParts) -> None:
    for node in effect.stores:
        parts.links.add_node(node)
    log.info("stores known", stores=list(effect.stores))
    for client in parts.clients:
        client.send(StoresChanged(parts.links.list_addresses()))


@perform.register
def _(effect: InstallRouting, parts: FollowerParts) -> None:
    table = parts.read_routing(effect.found.content)
    parts.installed.install(table)
    services = table.configuration.services.values()
    memory_tokens = {
        service.name: service.engine.cache_capacity_tokens
        for service in services
        if service.engine is not None
    }
    parts.placement.send(CacheCapacitiesUpdated(memory_tokens))
    log.info("routing installed", version=effect.found.version)


@perform.register
def _(effect: InstallEndpoints, parts: FollowerParts) -> None:
    endpoints = effect.found.endpoints
    log.info(
        "endpoints installed",
        version=[effect.found.version.term, effect.found.version.number],
        n_endpoints=len(endpoints),
        leaving=[one.endpoint for one in endpoints if one.is_leaving],
    )
    parts.installed.has_endpoints = True
    parts.placement.send(EndpointsListed(endpoints))


@perform.register
def _(effect: AppointReader, parts: FollowerParts) -> None:
    log.warning("reads the list by itself", is_reader=effect.is_reader)
    parts.directory.send(ReaderAppointed(OWN_TERM if effect.is_reader else None))


@perform.register
def _(effect: LogLink, parts: FollowerParts) -> None:
    log.info(effect.event, store=effect.store, reason=effect.reason)


def make_follower_task(
    node: NodeId, parts: FollowerParts, clock: Clock
) -> Task[FollowerState]:
    """Return the task that follows the stores for one entry."""

    def perform_effect(effect: object) -> None:
        perform(effect, parts)

    task = make_task(
        "follower",
        FollowerState(node),
        handle,
        perform_effect,
        clock,
        tick_interval=LOADED_HELLO_INTERVAL,
    )
    parts.own = task
    return task
