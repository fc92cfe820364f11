"""Run the decisions on ways to the endpoints, and the connections along them."""

from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta
from functools import partial, singledispatch

import gevent
import logbook

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.http.endpoint import CONNECT_TIMEOUT, connect_directly
from oleanderhitch.connection.http.sockets import EndpointSocket, open_connection
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.relay.client import (
    open_tunnel,
    open_unconfirmed_tunnel,
)
from oleanderhitch.connection.relay.exceptions import (
    RelayError,
    TunnelRefusedError,
    TunnelUnconfirmedError,
)
from oleanderhitch.connection.relay.states import RelayRefusal
from oleanderhitch.exceptions import OleanderhitchError, UnavailableError
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.reachability.core import ReachabilityState, handle
from oleanderhitch.process.reachability.messages import (
    AttemptEnded,
    Direct,
    FindWays,
    ProbeEndpoint,
    ReportReach,
    SendReply,
    Through,
    Way,
    WaysFound,
)
from oleanderhitch.process.reachability.states import AttemptOutcome
from oleanderhitch.process.task import NO_TICK, Task, make_task
from oleanderhitch.values import Value

# The task answers within milliseconds, and without an answer the direct way is tried.
ANSWER_TIMEOUT = timedelta(milliseconds=200)

ReportReachFunction = Callable[[ReportReach], None]

log = logbook.Logger("reachability")


class ConnectorDependencies(Value, frozen=True):
    """What connections to endpoints are opened with."""

    reachability: Address
    codec: Codec
    identity: Identity
    clock: Clock


def connect_to_endpoint(
    endpoint: HostAddress, dependencies: ConnectorDependencies
) -> EndpointSocket:
    """Return a socket connected to an endpoint, directly or through another host.

    Raise OSError or OleanderhitchError if no way leads there; nothing was sent then.
    """
    mailbox = make_mailbox("ways")
    dependencies.reachability.send(FindWays(mailbox))
    found = mailbox.receive(ANSWER_TIMEOUT)
    ways: tuple[Way, ...] = found.ways if isinstance(found, WaysFound) else (Direct(),)
    failure: Exception = UnavailableError(f"no way to {endpoint}")
    untried = deque(ways)
    while untried:
        way = untried.popleft()
        try:
            connected = _open(way, endpoint, dependencies)
        except (OSError, OleanderhitchError) as error:
            failure = error
            outcome = _judge(error)
            dependencies.reachability.send(AttemptEnded(way, endpoint, outcome))
            if isinstance(error, TunnelUnconfirmedError):
                log.info("host does not confirm ends", address=error.relay)
                untried.append(Through(error.relay, confirms_ends=False))
            elif outcome is not AttemptOutcome.UNUSABLE:
                break
        else:
            connected_report = AttemptEnded(way, endpoint, AttemptOutcome.CONNECTED)
            dependencies.reachability.send(connected_report)
            return connected
    raise failure


@singledispatch
def _open(
    way: Way, endpoint: HostAddress, dependencies: ConnectorDependencies
) -> EndpointSocket:
    raise TypeError(f"{type(way).__name__} is not a way to an endpoint")


@_open.register
def _(
    way: Direct, endpoint: HostAddress, dependencies: ConnectorDependencies
) -> EndpointSocket:
    return connect_directly(endpoint)


@_open.register
def _(
    way: Through, endpoint: HostAddress, dependencies: ConnectorDependencies
) -> EndpointSocket:
    open_through = open_tunnel if way.confirms_ends else open_unconfirmed_tunnel
    return open_through(
        way.relay,
        endpoint,
        dependencies.codec,
        dependencies.identity,
        dependencies.clock,
    )


@singledispatch
def _judge(error: Exception) -> AttemptOutcome:
    """Return the outcome of an attempt that ended with an error."""
    return AttemptOutcome.REFUSED


@_judge.register
def _(error: TimeoutError) -> AttemptOutcome:
    return AttemptOutcome.SILENT


@_judge.register
def _(error: RelayError) -> AttemptOutcome:
    return AttemptOutcome.UNUSABLE


@_judge.register
def _(error: TunnelUnconfirmedError) -> AttemptOutcome:
    return AttemptOutcome.UNCONFIRMED


@_judge.register
def _(error: TunnelRefusedError) -> AttemptOutcome:
    is_reached = error.refusal is RelayRefusal.UNREACHABLE
    return AttemptOutcome.REFUSED if is_reached else AttemptOutcome.UNUSABLE


def make_reachability_task(
    report: ReportReachFunction, clock: Clock
) -> Task[ReachabilityState]:
    """Return the task that decides by which way endpoints are reached."""

    def perform(effect: object) -> None:
        _perform(effect, report, task)

    task = make_task(
        "reachability",
        ReachabilityState(),
        handle,
        perform,
        clock,
        find_next_tick=_find_next_tick,
    )
    return task


def _find_next_tick(state: ReachabilityState) -> datetime:
    return state.next_probe_at or NO_TICK


@singledispatch
def _perform(effect: object, report: ReportReachFunction, task: Address) -> None:
    raise TypeError(
        f"reachability does not support effect type {type(effect).__name__}"
    )


@_perform.register
def _(effect: SendReply, report: ReportReachFunction, task: Address) -> None:
    effect.reply_address.send(effect.message)


@_perform.register
def _(effect: ReportReach, report: ReportReachFunction, task: Address) -> None:
    log.warning(
        "links to endpoints changed",
        reach=effect.reach.value,
        is_silent=effect.is_silent,
    )
    report(effect)


@_perform.register
def _(effect: ProbeEndpoint, report: ReportReachFunction, task: Address) -> None:
    gevent.spawn(_probe, effect.endpoint, task)


def _probe(endpoint: HostAddress, task: Address) -> None:
    report = partial(AttemptEnded, Direct(), endpoint)
    try:
        open_connection(endpoint, CONNECT_TIMEOUT).close()
    except (OSError, OleanderhitchError) as error:
        task.send(report(_judge(error)))
    else:
        task.send(report(AttemptOutcome.CONNECTED))
