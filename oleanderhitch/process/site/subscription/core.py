"""Decide which state of the stores an entry host installs and when it sends hellos."""

from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.messages import LinkDown, LinkUp
from oleanderhitch.process.crashes.evidence import CrashEvidence, make_crash_evidence
from oleanderhitch.process.crashes.ids import NO_CRASHES, CrashesDigest
from oleanderhitch.process.crashes.messages import CrashesObserved
from oleanderhitch.process.directory.messages import EndpointList, ListVersion
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.crashes import ContentServed
from oleanderhitch.process.placement.messages import (
    EndpointLimit,
    EndpointLoad,
    LoadsFound,
    RampObservations,
    SendPermitReply,
    SendPermitRequest,
    SpeedObservations,
)
from oleanderhitch.process.quotas.messages import CreditReply, CreditRequest
from oleanderhitch.process.site.messages import (
    NO_LIMITS,
    NO_SPEEDS,
    NO_STORES,
    EntryHello,
    HelloNumber,
    LimitsDigest,
    RoutingFound,
    SiteStatus,
    SpeedsChange,
    SpeedsVersion,
    StoresDigest,
    hash_node,
    make_stores_digest,
)
from oleanderhitch.process.site.subscription.lease import Lease, LeaseRenewal
from oleanderhitch.request.ids import RequestFingerprint
from oleanderhitch.values import Value
from oleanderhitch.version.ids import DataCentreName, EndpointId
from oleanderhitch.version.routes.ids import NO_ROUTING, RoutingVersion

# All hellos go to the store that leads. It pushes what changes to the entry hosts that
# it has heard of lately.
HELLO_INTERVAL = timedelta(milliseconds=600)
# An election takes about half a second.
SEARCH_INTERVAL = timedelta(milliseconds=250)
# A leader that has not answered two hellos may have failed.
LEADER_TTL = timedelta(milliseconds=1300)
# While no leader is known, a few stores get each hello, in turn, and name the leader.
# All of them would be messages that grow with entry hosts times stores.
N_STORES_ASKED = 3
# An entry host also sends a hello when a check shows that its loads have changed, since
# all entry hosts choose endpoints by the loads that all of them cause.
LOAD_CHECK_INTERVAL = timedelta(milliseconds=250)
# The stores confirm the list at least once a second. An entry host without a
# confirmation for this long reads the list from the platform itself, so that it
# detects leaving endpoints in time.
LIST_TTL = timedelta(milliseconds=2000)
# Term of the lists that an entry host reads itself; every store's term is higher.
LOCAL_TERM = 0


class SeedsConfigured(Value, frozen=True):
    """Reports the seeds in the settings of this entry host."""

    stores: tuple[NodeId, ...]


class ListReadLocally(Value, frozen=True):
    """Reports a list that this entry host has read from the platform itself."""

    endpoint_list: EndpointList


class StatusReceived(Value, frozen=True):
    """Reports the status that a store has sent."""

    store: NodeId
    status: SiteStatus


class SendHello(Value, frozen=True):
    """Sends this entry host's hello to stores."""

    hello: EntryHello
    stores: tuple[NodeId, ...]


class InstallRouting(Value, frozen=True):
    """Installs a routing configuration for new requests."""

    routing: RoutingFound


class InstallEndpoints(Value, frozen=True):
    """Installs a list of endpoints for new requests."""

    endpoint_list: EndpointList


class LinkStores(Value, frozen=True):
    """Opens a link to each of these stores that has none."""

    stores: tuple[NodeId, ...]


class SetLocalReader(Value, frozen=True):
    """Starts or stops reading the list of endpoints in this process."""

    is_reader: bool


class RequestLoads(Value, frozen=True):
    """Requests the loads that this entry host causes from placement."""


class ReportPeerLoads(Value, frozen=True):
    """Sends placement the loads that all other entry hosts cause, and their number."""

    loads: tuple[EndpointLoad, ...]
    n_entry_hosts: int


class ReportLimits(Value, frozen=True):
    """Sends placement the limits that endpoints have named to any entry host."""

    limits: tuple[EndpointLimit, ...]


class ReportSpeeds(Value, frozen=True):
    """Sends placement the speeds of endpoints that have changed."""

    change: SpeedsChange


class ReportCrashes(Value, frozen=True):
    """Sends placement the content that is suspected of crashes or quarantined."""

    suspected: frozenset[RequestFingerprint]
    quarantined: frozenset[RequestFingerprint]


class AskForPermit(Value, frozen=True):
    """Asks the leader for a send to a limited endpoint."""

    leader: NodeId
    request: SendPermitRequest


class ReportPermit(Value, frozen=True):
    """Sends placement the reply to its request for a permit."""

    reply: SendPermitReply


class RenewLease(Value, frozen=True):
    """Lets requests with a key be served until the lease ends."""

    lease: Lease


class ReportLease(Value, frozen=True):
    """Reports the age of the lease; it has no age before the first one."""

    age: timedelta | None


class LogLeaseChange(Value, frozen=True):
    """Logs that the lease was lost or gained."""

    event: str
    age: timedelta | None


class AskForCredits(Value, frozen=True):
    """Asks the leader for credits of client accounts."""

    leader: NodeId
    request: CreditRequest


class ReportCredits(Value, frozen=True):
    """Sends quotas the reply to their request for credits."""

    reply: CreditReply


class SetRelaysWanted(Value, frozen=True):
    """Tells whether this entry host needs others to reach the endpoints."""

    are_wanted: bool


class EndRelaying(Value, frozen=True):
    """Tells the stores that this entry host opens no more tunnels for others."""


class ReportRelays(Value, frozen=True):
    """Reports the entry hosts that open tunnels to endpoints for this one."""

    relays: tuple[HostAddress, ...]


class LogLinkChange(Value, frozen=True):
    """Logs that the connection to a store was made or lost."""

    event: str
    store: str
    reason: str


class SubscriptionState(Struct):
    """The state received from the stores; owned by the subscription task.

    `list_confirmed_at` is when the list of endpoints was last known to be current, and
    `is_reader` is set while this process reads the list itself. `loads` are those that
    this entry host causes. `leader` is the store that sent the last status of a leader,
    at `leader_seen_at`. `asked_stores` got the last regular hello, or were named as the
    leader since.
    """

    node: NodeId
    stores: set[NodeId] = field(default_factory=set)
    connected_stores: set[str] = field(default_factory=set)
    routing: RoutingVersion = NO_ROUTING
    list_version: ListVersion | None = None
    list_confirmed_at: datetime | None = None
    is_reader: bool = False
    loads: tuple[EndpointLoad, ...] = ()
    limits: tuple[EndpointLimit, ...] = ()
    known_limits: LimitsDigest = NO_LIMITS
    # What this entry host has observed since its last hello to a leader.
    speeds: dict[EndpointId, SpeedObservations] = field(default_factory=dict)
    known_speeds: SpeedsVersion = NO_SPEEDS
    # The crashes that any entry host has found, and what the leader knew last.
    crashes: CrashEvidence = field(default_factory=make_crash_evidence)
    leader_crashes: CrashesDigest = NO_CRASHES
    quarantined: frozenset[RequestFingerprint] = frozenset()
    next_hello_at: datetime | None = None
    n_asked_rounds: int = 0
    leader: NodeId | None = None
    leader_seen_at: datetime | None = None
    asked_stores: set[NodeId] = field(default_factory=set)
    known_stores: StoresDigest = NO_STORES
    # None where requests need no lease.
    renewal: LeaseRenewal | None = None
    data_centre: DataCentreName | None = None
    # Where this entry host opens tunnels for others, None where it does not.
    relay: HostAddress | None = None
    wants_relays: bool = False


@singledispatch
def handle(message: object, state: SubscriptionState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(
        f"subscription does not support message type {type(message).__name__}"
    )


@handle.register
def _(message: Tick, state: SubscriptionState, now: datetime) -> list[object]:
    if state.list_confirmed_at is None:
        state.list_confirmed_at = now
    is_stale = now - state.list_confirmed_at > LIST_TTL
    if state.leader_seen_at is not None and now - state.leader_seen_at > LEADER_TTL:
        _forget_leader(state)
    effects: list[object] = [RequestLoads(), *_report_lease(state, now)]
    state.crashes.expire(now)
    if state.quarantined and (state.quarantined != state.crashes.list_quarantined(now)):
        effects.append(_report_crashes(state, now))
    if state.next_hello_at is None or now >= state.next_hello_at:
        is_led = state.leader is not None
        state.next_hello_at = now + (HELLO_INTERVAL if is_led else SEARCH_INTERVAL)
        effects.extend(_send_regular_hello(state, now))
    if is_stale and not state.is_reader:
        state.is_reader = True
        effects.append(SetLocalReader(True))
    return effects


@handle.register
def _(message: LoadsFound, state: SubscriptionState, now: datetime) -> list[object]:
    is_new = message.loads != state.loads or _list_rates(message.limits) != _list_rates(
        state.limits
    )
    state.loads, state.limits = message.loads, message.limits
    for observed in message.speeds:
        _add_observations(observed, state)
    if not is_new:
        return []
    return [] if state.leader is None else [_make_hello(state, (state.leader,), now)]


@handle.register
def _(
    message: SendPermitRequest, state: SubscriptionState, now: datetime
) -> list[object]:
    if state.leader is None:
        return [ReportPermit(SendPermitReply(message.number, is_leader=False))]
    return [AskForPermit(state.leader, message)]


@handle.register
def _(message: CreditRequest, state: SubscriptionState, now: datetime) -> list[object]:
    if state.leader is None:
        return [ReportCredits(CreditReply(message.number, is_lending=False))]
    return [AskForCredits(state.leader, message)]


@handle.register
def _(
    message: SetRelaysWanted, state: SubscriptionState, now: datetime
) -> list[object]:
    state.wants_relays = message.are_wanted
    return [] if state.leader is None else [_make_hello(state, (state.leader,), now)]


@handle.register
def _(message: EndRelaying, state: SubscriptionState, now: datetime) -> list[object]:
    state.relay = None
    return [] if state.leader is None else [_make_hello(state, (state.leader,), now)]


@handle.register
def _(
    message: CrashesObserved, state: SubscriptionState, now: datetime
) -> list[object]:
    state.crashes.merge(message.records, now)
    return _share_crashes(state, now)


@handle.register
def _(message: ContentServed, state: SubscriptionState, now: datetime) -> list[object]:
    if not state.crashes.clear(message.fingerprint):
        return []
    return _share_crashes(state, now)


@handle.register
def _(
    message: SeedsConfigured, state: SubscriptionState, now: datetime
) -> list[object]:
    effects = _add_stores(message.stores, state)
    if state.next_hello_at is None and state.leader is None:
        # Nothing is served before the first status, so it is asked for at once.
        state.next_hello_at = now + SEARCH_INTERVAL
        effects.extend(_send_regular_hello(state, now))
    return effects


@handle.register
def _(message: StatusReceived, state: SubscriptionState, now: datetime) -> list[object]:
    store, status = message.store, message.status
    effects = handle(status, state, now)
    if status.stores:
        state.known_stores = make_stores_digest(status.stores)
    # Only a leader that has applied all that was accepted sends either.
    if status.other_loads is not None or status.confirmed_hello is not None:
        state.leader, state.leader_seen_at = store, now
        return effects
    if store == state.leader:
        _forget_leader(state)
    named = status.leader
    if state.leader is None and named is not None and named not in state.asked_stores:
        state.asked_stores.add(named)
        effects.extend(_add_stores((named,), state))
        effects.append(_make_hello(state, (named,), now))
    return effects


@handle.register
def _(message: SiteStatus, state: SubscriptionState, now: datetime) -> list[object]:
    effects = _add_stores(message.stores, state)
    if message.routing is not None and message.routing.version > state.routing:
        state.routing = message.routing.version
        effects.append(InstallRouting(message.routing))
        if state.leader is not None:
            # Informs the leader of the new version before the next regular hello.
            effects.append(_make_hello(state, (state.leader,), now))
    if message.confirmed_hello is not None:
        effects.extend(_renew_lease(message.confirmed_hello, state, now))
    if message.endpoints is not None:
        effects.extend(_accept_list(message.endpoints, False, state, now))
    elif message.list_version is not None:
        effects.extend(_confirm_list(message.list_version, state, now))
    return [*effects, *_accept_observations(message, state, now)]


def _accept_observations(
    message: SiteStatus, state: SubscriptionState, now: datetime
) -> list[object]:
    """Accept what the leader knows of the endpoints from all entry hosts."""
    effects: list[object] = []
    if message.relays is not None and state.wants_relays:
        effects.append(ReportRelays(message.relays))
    if message.other_loads is not None:
        effects.append(ReportPeerLoads(message.other_loads, message.n_entry_hosts))
        state.leader_crashes = message.crashes_digest
    if message.limits is not None:
        state.known_limits = message.limits_digest
        effects.append(ReportLimits(message.limits))
    if message.speeds is not None:
        state.known_speeds = message.speeds.version
        effects.append(ReportSpeeds(message.speeds))
    if message.crashes is not None:
        state.crashes.merge(message.crashes, now)
        effects.append(_report_crashes(state, now))
    return effects


@handle.register
def _(
    message: ListReadLocally, state: SubscriptionState, now: datetime
) -> list[object]:
    if not state.is_reader:
        return []
    return _accept_list(message.endpoint_list, True, state, now)


@handle.register
def _(message: LinkUp, state: SubscriptionState, now: datetime) -> list[object]:
    state.connected_stores.add(message.peer)
    return [LogLinkChange("store connected", message.peer, "")]


@handle.register
def _(message: LinkDown, state: SubscriptionState, now: datetime) -> list[object]:
    if message.peer not in state.connected_stores:
        return []
    state.connected_stores.discard(message.peer)
    if state.leader == NodeId(message.peer):
        _forget_leader(state)
    return [LogLinkChange("store disconnected", message.peer, message.reason)]


def _send_regular_hello(state: SubscriptionState, now: datetime) -> list[object]:
    if state.leader is not None:
        return [_make_hello(state, (state.leader,), now, True)]
    stores = sorted(state.stores)
    if not stores:
        return []
    # Entry hosts start at different stores, so that no store gets all hellos.
    start = hash_node(state.node) + state.n_asked_rounds * N_STORES_ASKED
    state.n_asked_rounds += 1
    asked = tuple(
        stores[(start + number) % len(stores)]
        for number in range(min(N_STORES_ASKED, len(stores)))
    )
    state.asked_stores = set(asked)
    return [_make_hello(state, asked, now, True)]


def _share_crashes(state: SubscriptionState, now: datetime) -> list[object]:
    """Tell placement and the leader at once what has come to be known of crashes."""
    effects: list[object] = [_report_crashes(state, now)]
    if state.leader is not None:
        effects.append(_make_hello(state, (state.leader,), now))
    return effects


def _report_crashes(state: SubscriptionState, now: datetime) -> ReportCrashes:
    state.quarantined = state.crashes.list_quarantined(now)
    return ReportCrashes(state.crashes.list_suspected(), state.quarantined)


def _forget_leader(state: SubscriptionState) -> None:
    """Look for the next leader at the next tick."""
    state.leader = state.leader_seen_at = None
    state.next_hello_at = None
    state.asked_stores = set()


def _make_hello(
    state: SubscriptionState,
    stores: tuple[NodeId, ...],
    now: datetime,
    is_regular: bool = False,
) -> SendHello:
    is_known = state.crashes.digest == state.leader_crashes
    speeds: tuple[SpeedObservations, ...] = ()
    if stores == (state.leader,):
        speeds = tuple(state.speeds.values())
        state.speeds.clear()
    hello = EntryHello(
        state.node,
        state.routing,
        state.list_version,
        state.loads,
        state.known_stores,
        state.limits,
        state.known_limits,
        () if is_known else state.crashes.list_records(now),
        state.crashes.digest,
        speeds,
        state.known_speeds,
        None if state.renewal is None else state.renewal.number_hello(is_regular, now),
        state.data_centre,
        # A host without links of its own is of no use to others.
        None if state.wants_relays else state.relay,
        state.wants_relays,
    )
    return SendHello(hello, stores)


def _add_observations(observed: SpeedObservations, state: SubscriptionState) -> None:
    """Add observations to those that the leader has not got yet."""
    waiting = state.speeds.get(observed.endpoint)
    if waiting is not None and waiting.born_ms == observed.born_ms:
        observed = SpeedObservations(
            observed.endpoint,
            observed.born_ms,
            waiting.n_decode + observed.n_decode,
            waiting.decode_sum + observed.decode_sum,
            waiting.n_prefill + observed.n_prefill,
            waiting.prefill_sum + observed.prefill_sum,
            _add_ramps(waiting.ramp, observed.ramp),
        )
    state.speeds[observed.endpoint] = observed


def _renew_lease(
    confirmed: HelloNumber, state: SubscriptionState, now: datetime
) -> list[object]:
    renewal = state.renewal
    lease = None if renewal is None else renewal.renew(confirmed, state.routing)
    if renewal is None or lease is None:
        return []
    effects: list[object] = [RenewLease(lease)]
    if renewal.is_lost and renewal.has_lease(now):
        renewal.is_lost = False
        effects.append(LogLeaseChange("lease gained", now - lease.began_at))
    return effects


def _report_lease(state: SubscriptionState, now: datetime) -> list[object]:
    renewal = state.renewal
    if renewal is None:
        return []
    age = None if renewal.lease is None else now - renewal.lease.began_at
    effects: list[object] = [ReportLease(age)]
    if not renewal.is_lost and not renewal.has_lease(now):
        renewal.is_lost = True
        effects.append(LogLeaseChange("lease lost", age))
    return effects


def _add_ramps(
    waiting: RampObservations | None, observed: RampObservations | None
) -> RampObservations | None:
    if waiting is None or observed is None:
        return waiting or observed
    return RampObservations(
        observed.n_slots,
        observed.has_started,
        waiting.n_fast + observed.n_fast,
        waiting.n_slow + observed.n_slow,
        waiting.n_failed + observed.n_failed,
    )


def _list_rates(
    limits: tuple[EndpointLimit, ...],
) -> set[tuple[EndpointId, float | None]]:
    """Return the limits without their ages."""
    return {(limit.endpoint, limit.requests_per_s) for limit in limits}


def _add_stores(stores: tuple[NodeId, ...], state: SubscriptionState) -> list[object]:
    if state.stores.issuperset(stores):
        return []
    state.stores.update(stores)
    return [LinkStores(tuple(sorted(state.stores)))]


def _confirm_list(
    version: ListVersion, state: SubscriptionState, now: datetime
) -> list[object]:
    if version != state.list_version:
        return []
    state.list_confirmed_at = now
    if not state.is_reader:
        return []
    state.is_reader = False
    return [SetLocalReader(False)]


def _accept_list(
    endpoint_list: EndpointList, is_local: bool, state: SubscriptionState, now: datetime
) -> list[object]:
    """Install a list.

    A list that is older than the installed one is ignored, unless the installed one is
    stale or the list was read locally.
    """
    current_version = state.list_version
    is_stale = (
        state.list_confirmed_at is None or now - state.list_confirmed_at > LIST_TTL
    )
    is_newer = current_version is None or endpoint_list.version > current_version
    if (
        not is_newer
        and endpoint_list.version != current_version
        and not is_stale
        and not is_local
    ):
        return []
    effects: list[object] = []
    state.list_confirmed_at = now
    if not is_local and state.is_reader:
        state.is_reader = False
        effects.append(SetLocalReader(False))
    if endpoint_list.version != current_version:
        state.list_version = endpoint_list.version
        effects.append(InstallEndpoints(endpoint_list))
    return effects
