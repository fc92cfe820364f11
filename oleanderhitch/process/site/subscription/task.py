"""Run the subscription core in a task of the entry host."""

import uuid
from collections.abc import Callable
from functools import singledispatch

import logbook
from msgspec import Struct

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.directory.core import SetReaderTerm
from oleanderhitch.process.groups.messages import StoresChanged
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Gauge
from oleanderhitch.process.placement.messages import (
    CacheCapacitiesUpdated,
    CrashesReported,
    EndpointsListed,
    GetLoads,
    LimitsReported,
    PeerLoadsReported,
    SendPermitReply,
    SpeedsReported,
)
from oleanderhitch.process.quotas.messages import CreditReply
from oleanderhitch.process.reachability.messages import (
    EndpointAddressesListed,
    RelaysFound,
)
from oleanderhitch.process.roles.store_links import StoreLinks
from oleanderhitch.process.site.messages import HelloNumber
from oleanderhitch.process.site.subscription.core import (
    LOAD_CHECK_INTERVAL,
    LOCAL_TERM,
    AskForCredits,
    AskForPermit,
    InstallEndpoints,
    InstallRouting,
    LinkStores,
    LogLeaseChange,
    LogLinkChange,
    RenewLease,
    ReportCrashes,
    ReportCredits,
    ReportLease,
    ReportLimits,
    ReportPeerLoads,
    ReportPermit,
    ReportRelays,
    ReportSpeeds,
    RequestLoads,
    SendHello,
    SetLocalReader,
    SubscriptionState,
    handle,
)
from oleanderhitch.process.site.subscription.installed_state import InstalledState
from oleanderhitch.process.site.subscription.lease import LeaseRenewal
from oleanderhitch.process.task import Task, make_task
from oleanderhitch.version.ids import DataCentreName
from oleanderhitch.version.routes.configuration import RouteTable


class SubscriptionDependencies(Struct):
    """Collaborators that the effects of the subscription act on."""

    installed_state: InstalledState
    links: StoreLinks
    group_clients: tuple[Address, ...]
    placement: Address
    directory: Address
    read_routing: Callable[[bytes], RouteTable]
    metrics: Metrics
    task_address: Address | None = None
    quotas: Address | None = None
    reachability: Address | None = None


# Numbers of hellos are sent as 64-bit integers, whose upper half is left free.
N_UNUSED_NUMBER_BITS = 128 - 62

# The log channel has the name of the task, under which operators search for events.
log = logbook.Logger("follower")


@singledispatch
def perform(effect: object, dependencies: SubscriptionDependencies) -> None:
    """Perform an effect of the subscription."""
    raise TypeError(
        f"subscription does not support effect type {type(effect).__name__}"
    )


@perform.register
def _(effect: SendHello, dependencies: SubscriptionDependencies) -> None:
    for store in effect.stores:
        link = dependencies.links.get_link(store)
        if link is not None:
            link.send(effect.hello)


@perform.register
def _(effect: RequestLoads, dependencies: SubscriptionDependencies) -> None:
    assert dependencies.task_address is not None
    dependencies.placement.send(GetLoads(dependencies.task_address))


@perform.register
def _(effect: ReportPeerLoads, dependencies: SubscriptionDependencies) -> None:
    dependencies.placement.send(PeerLoadsReported(effect.loads, effect.n_entry_hosts))


@perform.register
def _(effect: ReportLimits, dependencies: SubscriptionDependencies) -> None:
    dependencies.placement.send(LimitsReported(effect.limits))


@perform.register
def _(effect: ReportSpeeds, dependencies: SubscriptionDependencies) -> None:
    change = effect.change
    dependencies.placement.send(SpeedsReported(change.speeds, change.is_complete))


@perform.register
def _(effect: ReportCrashes, dependencies: SubscriptionDependencies) -> None:
    dependencies.placement.send(CrashesReported(effect.suspected, effect.quarantined))


@perform.register
def _(effect: AskForPermit, dependencies: SubscriptionDependencies) -> None:
    link = dependencies.links.get_link(effect.leader)
    if link is None:
        perform(
            ReportPermit(SendPermitReply(effect.request.number, is_leader=False)),
            dependencies,
        )
    else:
        link.send(effect.request)


@perform.register
def _(effect: ReportPermit, dependencies: SubscriptionDependencies) -> None:
    dependencies.placement.send(effect.reply)


@perform.register
def _(effect: ReportRelays, dependencies: SubscriptionDependencies) -> None:
    if dependencies.reachability is not None:
        dependencies.reachability.send(RelaysFound(effect.relays))


@perform.register
def _(effect: AskForCredits, dependencies: SubscriptionDependencies) -> None:
    link = dependencies.links.get_link(effect.leader)
    if link is None:
        no_reply = CreditReply(effect.request.number, is_lending=False)
        perform(ReportCredits(no_reply), dependencies)
    else:
        link.send(effect.request)


@perform.register
def _(effect: ReportCredits, dependencies: SubscriptionDependencies) -> None:
    if dependencies.quotas is not None:
        dependencies.quotas.send(effect.reply)


@perform.register
def _(effect: LinkStores, dependencies: SubscriptionDependencies) -> None:
    for node in effect.stores:
        dependencies.links.add_node(node)
    log.info("known stores changed", stores=list(effect.stores))
    for client in dependencies.group_clients:
        client.send(StoresChanged(dependencies.links.list_addresses()))


@perform.register
def _(effect: InstallRouting, dependencies: SubscriptionDependencies) -> None:
    table = dependencies.read_routing(effect.routing.content)
    dependencies.installed_state.install(table)
    services = table.configuration.services.values()
    capacity_tokens = {
        service.name: service.engine.cache_capacity_tokens
        for service in services
        if service.engine is not None
    }
    tokens_per_event = {
        service.name: service.engine.tokens_per_event
        for service in services
        if service.engine is not None
    }
    dependencies.placement.send(
        CacheCapacitiesUpdated(capacity_tokens, tokens_per_event)
    )
    log.info("routing installed", version=effect.routing.version)


@perform.register
def _(effect: InstallEndpoints, dependencies: SubscriptionDependencies) -> None:
    endpoints = effect.endpoint_list.endpoints
    log.info(
        "endpoints installed",
        version=[
            effect.endpoint_list.version.term,
            effect.endpoint_list.version.number,
        ],
        n_endpoints=len(endpoints),
        leaving=[endpoint.endpoint for endpoint in endpoints if endpoint.is_leaving],
    )
    dependencies.installed_state.has_endpoints = True
    dependencies.placement.send(EndpointsListed(endpoints))
    if dependencies.reachability is not None:
        addresses = tuple(endpoint.address for endpoint in endpoints)
        dependencies.reachability.send(EndpointAddressesListed(addresses))


@perform.register
def _(effect: SetLocalReader, dependencies: SubscriptionDependencies) -> None:
    log.warning(
        "local reading of the endpoint list changed", is_reader=effect.is_reader
    )
    dependencies.directory.send(SetReaderTerm(LOCAL_TERM if effect.is_reader else None))


@perform.register
def _(effect: RenewLease, dependencies: SubscriptionDependencies) -> None:
    dependencies.installed_state.renew_lease(effect.lease)


@perform.register
def _(effect: ReportLease, dependencies: SubscriptionDependencies) -> None:
    age = effect.age
    if age is not None:
        dependencies.metrics.set_gauge(Gauge.LEASE_AGE, age.total_seconds())


@perform.register
def _(effect: LogLeaseChange, dependencies: SubscriptionDependencies) -> None:
    age_ms = None if effect.age is None else round(effect.age.total_seconds() * 1000)
    log.warning(effect.event, age_ms=age_ms)


@perform.register
def _(effect: LogLinkChange, dependencies: SubscriptionDependencies) -> None:
    log.info(effect.event, store=effect.store, reason=effect.reason)


def _choose_first_hello_number() -> HelloNumber:
    """Return a number that no earlier process of this node has come close to."""
    return HelloNumber(uuid.uuid4().int >> N_UNUSED_NUMBER_BITS)


def make_subscription_task(
    node: NodeId,
    dependencies: SubscriptionDependencies,
    boot_clock: Clock,
    data_centre: DataCentreName | None = None,
    relay: HostAddress | None = None,
) -> Task[SubscriptionState]:
    """Return the task that keeps an entry host subscribed to the stores.

    After a suspension it takes what it knew before for as old as it is. `relay` is
    where the host opens tunnels to endpoints for others, if it does.
    """
    terms = dependencies.installed_state.terms
    renewal = None
    if terms is not None:
        renewal = LeaseRenewal(terms, _choose_first_hello_number())

    def perform_effect(effect: object) -> None:
        perform(effect, dependencies)

    task = make_task(
        "follower",
        SubscriptionState(node, renewal=renewal, data_centre=data_centre, relay=relay),
        handle,
        perform_effect,
        boot_clock,
        tick_interval=LOAD_CHECK_INTERVAL,
    )
    dependencies.task_address = task
    return task
