"""Messages between the entry hosts and stores of a site, and commands of its groups."""

from typing import NewType

import xxhash

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.crashes.ids import NO_CRASHES, CrashesDigest
from oleanderhitch.process.crashes.messages import CrashRecord
from oleanderhitch.process.directory.messages import EndpointList, ListVersion
from oleanderhitch.process.ids import GroupId, NodeId, ReplicaId
from oleanderhitch.process.placement.messages import (
    EndpointLimit,
    EndpointLoad,
    EndpointSpeed,
    SendPermitReply,
    SendPermitRequest,
    SpeedObservations,
)
from oleanderhitch.process.quotas.messages import (
    CreditReply,
    CreditRequest,
    GetLedger,
    LedgerHandedOver,
)
from oleanderhitch.process.replication.messages import LeaderContact
from oleanderhitch.values import Value
from oleanderhitch.version.ids import DataCentreName, HostName
from oleanderhitch.version.routes.ids import NO_ROUTING, RoutingVersion

StoresDigest = NewType("StoresDigest", int)
NO_STORES = StoresDigest(0)
LimitsDigest = NewType("LimitsDigest", int)
NO_LIMITS = LimitsDigest(0)
# Tells the hellos of a process apart, also from those of earlier processes of its node.
HelloNumber = NewType("HelloNumber", int)


class SpeedsVersion(Value, frozen=True, array_like=True):
    """The version of the speeds of endpoints that one leader, the term, has learned."""

    term: int
    number: int


NO_SPEEDS = SpeedsVersion(0, 0)


class SpeedsChange(Value, frozen=True):
    """The speeds that have changed since the version that an entry host knows.

    A change is complete if that version was of another leader.
    """

    version: SpeedsVersion
    is_complete: bool
    speeds: tuple[EndpointSpeed, ...]


def make_stores_digest(stores: tuple[NodeId, ...]) -> StoresDigest:
    """Return a number that stands for a set of stores."""
    return StoresDigest(xxhash.xxh3_64_intdigest(" ".join(sorted(stores)).encode()))


def hash_node(node: NodeId) -> int:
    """Return a number for a node that is the same in all processes."""
    return xxhash.xxh3_64_intdigest(node.encode())


class PublishRouting(Value, frozen=True):
    """Publishes a routing configuration; a replicated command.

    The content is stored as the operator sent it. The command has no effect unless its
    version is higher than the accepted one.
    """

    version: RoutingVersion
    content: bytes


class GetRouting(Value, frozen=True):
    """Reads the accepted routing configuration."""


class RoutingAccepted(Value, frozen=True):
    """Reports the accepted version after a publish."""

    version: RoutingVersion


class RoutingFound(Value, frozen=True):
    """Returns the accepted routing configuration, with no content before a publish."""

    version: RoutingVersion
    content: bytes


class CommandRefused(Value, frozen=True):
    """Reports that a command or read is malformed or not supported."""

    reason: str


class EntryHello(Value, frozen=True, omit_defaults=True):
    """Announces an entry host, its installed versions and the loads that it causes.

    A store replies with a SiteStatus of what the entry host lacks. `known_stores` tells
    which stores the entry host was told of last, `known_limits` which limits of
    endpoints. `limits` are those that it has observed lately itself. `crashes` are all
    crashes that it knows of, if the leader knows others. `speeds` are what it has
    observed since its last hello to a leader, `known_speeds` what it was told last. A
    hello with a `number` asks for a confirmation that the routing it names is the
    newest. `relay` is where it opens tunnels to endpoints for other entry hosts; with
    `wants_relays` it has lost its own links and asks for such hosts, near ones first.
    """

    node: NodeId
    routing: RoutingVersion
    list_version: ListVersion | None
    loads: tuple[EndpointLoad, ...] = ()
    known_stores: StoresDigest = NO_STORES
    limits: tuple[EndpointLimit, ...] = ()
    known_limits: LimitsDigest = NO_LIMITS
    crashes: tuple[CrashRecord, ...] = ()
    crashes_digest: CrashesDigest = NO_CRASHES
    speeds: tuple[SpeedObservations, ...] = ()
    known_speeds: SpeedsVersion = NO_SPEEDS
    number: HelloNumber | None = None
    data_centre: DataCentreName | None = None
    relay: HostAddress | None = None
    wants_relays: bool = False


class StoreAnnouncement(Value, frozen=True):
    """Announces a store with its replicas, and the stores it has recent contact with.

    `followed` are the groups whose leader the store's replica knows, `led` those that
    it leads itself.
    """

    host: HostName
    node: NodeId
    data_centre: DataCentreName
    replicas: dict[GroupId, ReplicaId]
    followed: tuple[GroupId, ...]
    led: tuple[GroupId, ...]
    known: tuple[NodeId, ...]


class SiteStatus(Value, frozen=True, omit_defaults=True):
    """Sends an entry host the parts of the site's state that it lacks.

    `list_version` is set by the store that reads the list of endpoints, even if the
    entry host already has that version; `endpoints` is only set if it has not.
    `routing` and `other_loads`, the loads that all other entry hosts cause, are only
    set by a leader whose state is known to be current, and so are the limits of
    endpoints, the number of entry hosts, the speeds of endpoints that have changed, and
    the crashes, which are not sent to a host that knows the same. With
    `confirmed_hello`, no routing newer than what the entry host has, or gets in this
    status, was accepted before that hello was sent. `relays` are for an entry host that
    wants them.
    """

    stores: tuple[NodeId, ...]
    routing: RoutingFound | None
    list_version: ListVersion | None
    endpoints: EndpointList | None
    other_loads: tuple[EndpointLoad, ...] | None = None
    leader: NodeId | None = None
    limits: tuple[EndpointLimit, ...] | None = None
    limits_digest: LimitsDigest = NO_LIMITS
    n_entry_hosts: int = 1
    crashes: tuple[CrashRecord, ...] | None = None
    crashes_digest: CrashesDigest = NO_CRASHES
    speeds: SpeedsChange | None = None
    confirmed_hello: HelloNumber | None = None
    relays: tuple[HostAddress, ...] | None = None


EMPTY_ROUTING = RoutingFound(NO_ROUTING, b"")

COMMANDS: tuple[type, ...] = (PublishRouting,)
READS: tuple[type, ...] = (GetRouting,)
RESULTS: tuple[type, ...] = (RoutingAccepted, RoutingFound, CommandRefused)
MESSAGES: tuple[type, ...] = (
    EntryHello,
    SiteStatus,
    StoreAnnouncement,
    SendPermitRequest,
    SendPermitReply,
    CreditRequest,
    CreditReply,
    GetLedger,
    LedgerHandedOver,
    LeaderContact,
)
