"""Baseline policies, which send each call to the queue of a server at once."""

from collections.abc import Callable
from random import Random

from xxhash import xxh64_intdigest

from bench.process.loop import EventLoop
from bench.process.servers import Server
from bench.request.calls import Attempt, Call
from oleanderhitch.version.ids import EndpointId

ChooseServer = Callable[[Call, list[Server]], Server]

REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 2.0


class ImmediatePolicy:
    """Sends each call without delay to the server that `choose` returns."""

    def __init__(
        self, loop: EventLoop, servers: list[Server], choose: ChooseServer
    ) -> None:
        self._loop = loop
        self._servers = servers
        self._leaving: set[EndpointId] = set()
        self._choose = choose

    def submit(self, call: Call) -> None:
        """Send a call."""
        usable = [s for s in self._servers if s.name not in self._leaving]
        server = self._choose(call, usable)
        server.send(Attempt(call, server.name, 0, self._loop.now_s, _complete))

    def mark_leaving(self, name: EndpointId) -> None:
        """Send no more calls to a server."""
        self._leaving.add(name)

    def lose_owner(self) -> None:
        """Do nothing; baseline policies have no owner."""


def _complete(attempt: Attempt) -> None:
    attempt.call.on_completed(attempt.call, attempt)


def make_round_robin(
    loop: EventLoop, servers: list[Server], random_source: Random
) -> ImmediatePolicy:
    """Return a policy that uses the servers in turn, from a random one on."""
    position = random_source.randrange(len(servers))

    def choose(call: Call, usable: list[Server]) -> Server:
        nonlocal position
        position += 1
        return usable[position % len(usable)]

    return ImmediatePolicy(loop, servers, choose)


def make_least_load(
    loop: EventLoop, servers: list[Server], random_source: Random
) -> ImmediatePolicy:
    """Return a policy that uses the server with the lowest reported load.

    Reports are REPORT_LAG_S old when they arrive.
    """
    reported_loads: dict[EndpointId, int] = {}

    def apply_report(loads: dict[EndpointId, int]) -> None:
        reported_loads.update(loads)

    def report_load() -> None:
        loads = {server.name: sum(server.load) for server in servers}
        loop.call_in(REPORT_LAG_S, lambda: apply_report(loads))
        loop.call_in(REPORT_INTERVAL_S, report_load)

    def choose(call: Call, usable: list[Server]) -> Server:
        return min(
            usable,
            key=lambda s: (reported_loads.get(s.name, 0), random_source.random()),
        )

    report_load()
    return ImmediatePolicy(loop, servers, choose)


def make_affinity(
    loop: EventLoop, servers: list[Server], random_source: Random
) -> ImmediatePolicy:
    """Return a policy that sends all calls of a program to one server.

    It uses rendezvous hashing, so that a leaving server moves only its own programs.
    """

    def choose(call: Call, usable: list[Server]) -> Server:
        return max(
            usable, key=lambda s: xxh64_intdigest(f"{call.program}|{s.name}".encode())
        )

    return ImmediatePolicy(loop, servers, choose)
