"""Tell a host that has lost its links from endpoints that have ended.

Only the host itself can tell: several endpoints fail together and none can be connected
to. It then connects through other entry hosts, which the stores name, until a probe
reaches an endpoint again.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.reachability.messages import (
    AttemptEnded,
    Direct,
    EndpointAddressesListed,
    FindWays,
    ProbeEndpoint,
    RelaysFound,
    ReportReach,
    SendReply,
    Through,
    Way,
    WaysFound,
)
from oleanderhitch.process.reachability.states import AttemptOutcome, Reach

# So many endpoints, one after the other and without a success between, are more than
# crash at once as a rule. A wrong guess costs a hop for as long as a probe takes.
N_FAILED_ENDPOINTS = 3
# Failures that are further apart than this have different reasons.
EVIDENCE_DURATION = timedelta(seconds=2)
# Callers are served again by the way without a hop this long after the links are back.
PROBE_INTERVAL = timedelta(milliseconds=500)
# An entry host that opened no tunnel has ended, is overloaded or is isolated itself.
AVOID_RELAY_DURATION = timedelta(seconds=1)
# A host that confirms no ends is of an earlier build, and may be replaced any time.
UNCONFIRMED_DURATION = timedelta(seconds=5)
# Further attempts would take the time that the caller has for a retry.
N_RELAYS_TRIED = 2


class ReachabilityState(Struct):
    """What this host knows of its links to the endpoints; owned by its task.

    `failed_at` has the endpoints that could not be connected to since the last one that
    could, `silent` those of them that did not answer at all. `unconfirmed_until` has
    the other hosts that are not asked for tunnels with confirmed ends.
    """

    reach: Reach = Reach.CONNECTED
    endpoints: tuple[HostAddress, ...] = ()
    failed_at: dict[HostAddress, datetime] = field(default_factory=dict)
    silent: set[HostAddress] = field(default_factory=set)
    relays: tuple[HostAddress, ...] = ()
    avoided_until: dict[HostAddress, datetime] = field(default_factory=dict)
    unconfirmed_until: dict[HostAddress, datetime] = field(default_factory=dict)
    n_ways_found: int = 0
    n_probes: int = 0
    next_probe_at: datetime | None = None


@singledispatch
def handle(message: object, state: ReachabilityState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(
        f"reachability does not support message type {type(message).__name__}"
    )


@handle.register
def _(
    message: EndpointAddressesListed, state: ReachabilityState, now: datetime
) -> list[object]:
    state.endpoints = message.addresses
    _forget(set(state.failed_at).difference(message.addresses), state)
    return []


@handle.register
def _(message: RelaysFound, state: ReachabilityState, now: datetime) -> list[object]:
    state.relays = message.relays
    for untils in (state.avoided_until, state.unconfirmed_until):
        for relay in set(untils).difference(message.relays):
            del untils[relay]
    return []


@handle.register
def _(message: FindWays, state: ReachabilityState, now: datetime) -> list[object]:
    return [SendReply(message.reply_address, WaysFound(_find_ways(state, now)))]


def _find_ways(state: ReachabilityState, now: datetime) -> tuple[Way, ...]:
    if state.reach is Reach.CONNECTED:
        return (Direct(),)
    usable = [
        relay for relay in state.relays if now >= state.avoided_until.get(relay, now)
    ]
    if not usable:
        return (Direct(),)
    # In turn, so that no host carries all connections of this one.
    start = state.n_ways_found % len(usable)
    state.n_ways_found += 1
    in_turn = (
        Through(relay, now >= state.unconfirmed_until.get(relay, now))
        for relay in usable[start:] + usable[:start]
    )
    best_first = sorted(in_turn, key=lambda way: not way.confirms_ends)
    return tuple(best_first[:N_RELAYS_TRIED])


@handle.register
def _(message: AttemptEnded, state: ReachabilityState, now: datetime) -> list[object]:
    return _record_attempt(message.way, message, state, now)


@singledispatch
def _record_attempt(
    way: Way, message: AttemptEnded, state: ReachabilityState, now: datetime
) -> list[object]:
    raise TypeError(f"{type(way).__name__} is not a way to an endpoint")


@_record_attempt.register
def _(
    way: Through, message: AttemptEnded, state: ReachabilityState, now: datetime
) -> list[object]:
    if message.outcome is AttemptOutcome.UNUSABLE:
        state.avoided_until[way.relay] = now + AVOID_RELAY_DURATION
    elif message.outcome is AttemptOutcome.UNCONFIRMED:
        state.unconfirmed_until[way.relay] = now + UNCONFIRMED_DURATION
    return []


@_record_attempt.register
def _(
    way: Direct, message: AttemptEnded, state: ReachabilityState, now: datetime
) -> list[object]:
    if message.outcome is AttemptOutcome.CONNECTED:
        return _record_success(state)
    if message.endpoint not in state.endpoints:
        # It has left the list, and its failure says nothing of this host.
        return []
    _forget(
        {
            endpoint
            for endpoint, failed_at in state.failed_at.items()
            if now - failed_at > EVIDENCE_DURATION
        },
        state,
    )
    state.failed_at[message.endpoint] = now
    if message.outcome is AttemptOutcome.SILENT:
        state.silent.add(message.endpoint)
    n_needed = min(N_FAILED_ENDPOINTS, len(state.endpoints))
    if state.reach is Reach.ISOLATED or len(state.failed_at) < n_needed:
        return []
    state.reach = Reach.ISOLATED
    state.next_probe_at = now + PROBE_INTERVAL
    is_silent = len(state.silent) >= n_needed
    return [ReportReach(Reach.ISOLATED, is_silent)]


def _record_success(state: ReachabilityState) -> list[object]:
    state.failed_at.clear()
    state.silent.clear()
    if state.reach is Reach.CONNECTED:
        return []
    state.reach = Reach.CONNECTED
    state.next_probe_at = None
    state.relays = ()
    return [ReportReach(Reach.CONNECTED)]


def _forget(endpoints: Iterable[HostAddress], state: ReachabilityState) -> None:
    for endpoint in endpoints:
        del state.failed_at[endpoint]
        state.silent.discard(endpoint)


@handle.register
def _(message: Tick, state: ReachabilityState, now: datetime) -> list[object]:
    if state.next_probe_at is None or now < state.next_probe_at:
        return []
    state.next_probe_at = now + PROBE_INTERVAL
    if not state.endpoints:
        return []
    endpoint = state.endpoints[state.n_probes % len(state.endpoints)]
    state.n_probes += 1
    return [ProbeEndpoint(endpoint)]
