"""Guard against one request that crashes endpoint after endpoint.

Pattern: the same content comes again and again at any entry host and crashes each
endpoint that begins to run it, beside sound requests.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from msgspec import Struct, field

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.crashes.evidence import (
    CrashEvidence,
    make_crash_evidence,
)
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.crashes import ContentServed, EndpointCrashed
from oleanderhitch.process.placement.effects import SendReply
from oleanderhitch.process.placement.messages import (
    AcquireEndpoint,
    AttemptResult,
    CrashesReported,
    EndpointGranted,
    EndpointRefused,
    EndpointsListed,
    ReleaseEndpoint,
)
from oleanderhitch.process.placement.records import PlacementState
from oleanderhitch.request.ids import HolderId, PermitId, RequestFingerprint
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName

NOW = datetime(2026, 1, 1, tzinfo=UTC)
HOME = DataCentreName("home")
SERVICE = ServiceName("s")
REPLY = make_mailbox("test")
MS = timedelta(milliseconds=1)
POISON = "crashing content"
CRASH_DELAY = 60 * MS
WORK_DURATION = 150 * MS
DOWN_TIME = 3000 * MS
# Of an endpoint that comes back under its name and address.
RESTART_TIME = 400 * MS
LIST_DELAY = 800 * MS
TICK_INTERVAL = 50 * MS
REQUEST_TIMEOUT = 2000 * MS
RETRY_DELAY = 250 * MS
N_TRIES_OF_CALLER = 6
N_SENDS_LIMIT = 6
# The users' rule: from this time after the third crash, more than three sends break it.
STABLE_WINDOW = timedelta(seconds=3)
N_CRASHES = 3
N_FURTHER_SENDS = 3


class Call(Struct):
    """One try of a caller, or of a repetition of the crashing content."""

    content: str
    host: PlacementState
    n_try: int = 1
    n_sends: int = 0
    tried: tuple[EndpointId, ...] = ()


class Server(Struct):
    """An endpoint between its start and its crash."""

    name: EndpointId
    is_up: bool = True
    running: dict[PermitId, Call] = field(default_factory=dict)


class CrashingFleet:
    """Entry hosts, without a network, before endpoints that the content crashes."""

    def __init__(
        self, n_hosts: int, n_endpoints: int, is_restarted_in_place: bool = False
    ) -> None:
        self._is_restarted_in_place = is_restarted_in_place
        self._random = Random(2)
        self._numbers = count()
        self._due: list[tuple[datetime, int, Callable[[datetime], None]]] = []
        self.servers: dict[EndpointId, Server] = {}
        self.hosts = [
            PlacementState(HOME, f"entry-{number}", Random(number))
            for number in range(n_hosts)
        ]
        self._leader = make_crash_evidence()
        self._evidence = {id(host): make_crash_evidence() for host in self.hosts}
        self._calls: dict[HolderId, Call] = {}
        self.crashed_at: list[datetime] = []
        self.poison_sent_at: list[datetime] = []
        self.ends: defaultdict[int, Counter[str]] = defaultdict(Counter)
        for _ in range(n_endpoints):
            self._start_server(NOW)

    def at(self, time: datetime, action: Callable[[datetime], None]) -> None:
        """Do something at a time."""
        heappush(self._due, (time, next(self._numbers), action))

    def play(
        self, duration: timedelta, sound_per_s: float, has_poison: bool = True
    ) -> None:
        """Let sound requests arrive, and the crashing content from second 1 on."""
        end = NOW + duration
        time = NOW
        while time < end:
            content = f"sound {next(self._numbers)}"
            self.at(time, lambda now, content=content: self._call(content, 1, now))
            time += timedelta(seconds=self._random.expovariate(sound_per_s))
        time = NOW + timedelta(seconds=1)
        while has_poison and time < end:
            self.at(time, lambda now: self._call(POISON, 1, now))
            time += timedelta(seconds=self._random.expovariate(3.0))
        for host in self.hosts:
            for number in range(int((duration + REQUEST_TIMEOUT) / TICK_INTERVAL)):
                self.at(
                    NOW + number * TICK_INTERVAL,
                    lambda now, host=host: self._deliver(Tick(), host, now),
                )
        while self._due:
            time, _, action = heappop(self._due)
            action(time)

    def crash_oldest(self, now: datetime) -> None:
        """Crash the endpoint that has been up for the longest time."""
        up = [server for server in self.servers.values() if server.is_up]
        self._crash(min(up, key=lambda server: int(server.name[2:])), now)

    def crash_named(self, name: EndpointId, now: datetime) -> None:
        """Crash an endpoint."""
        self._crash(self.servers[name], now)

    def count_late_sends(self) -> int:
        """Return how often the content was sent after the users' grace."""
        if len(self.crashed_at) < N_CRASHES:
            return 0
        bound = self.crashed_at[N_CRASHES - 1] + STABLE_WINDOW
        return sum(1 for time in self.poison_sent_at if time > bound)

    def _start_server(self, now: datetime) -> None:
        name = EndpointId(f"i-{next(self._numbers)}")
        self.servers[name] = Server(name)
        self.at(now + (LIST_DELAY if self.crashed_at else 0 * MS), self._send_list)

    def _send_list(self, now: datetime) -> None:
        listed = tuple(
            ListedEndpoint(name, SERVICE, HostAddress("a:1"), HOME, 12, False, 1)
            for name in sorted(self.servers)
        )
        for host in self.hosts:
            self._deliver(EndpointsListed(listed), host, now)

    def _call(self, content: str, n_try: int, now: datetime) -> None:
        self._acquire(Call(content, self._random.choice(self.hosts), n_try), now)

    def _acquire(self, call: Call, now: datetime) -> None:
        request = HolderId(f"r{next(self._numbers)}")
        self._calls[request] = call
        message = AcquireEndpoint(
            request,
            SERVICE,
            None,
            None,
            0,
            call.tried,
            False,
            now + REQUEST_TIMEOUT,
            REPLY,
            RequestFingerprint(call.content),
        )
        self._deliver(message, call.host, now)

    def _deliver(self, message: object, host: PlacementState, now: datetime) -> None:
        for effect in handle(message, host, now):
            self._perform(effect, host, now)

    def _perform(self, effect: object, host: PlacementState, now: datetime) -> None:
        if isinstance(effect, EndpointCrashed):
            self._evidence[id(host)].merge(effect.records, now)
            self._share(host, now)
        if isinstance(effect, ContentServed):
            self._evidence[id(host)].clear(effect.fingerprint)
            self._share(host, now)
        if not isinstance(effect, SendReply):
            return
        reply = effect.message
        if isinstance(reply, EndpointGranted):
            self._send(reply, now)
        elif isinstance(reply, EndpointRefused):
            self._end(self._calls[reply.holder], "refused", now)

    def _share(self, host: PlacementState, now: datetime) -> None:
        """Tell the leader what a host knows, and others what that convicts."""
        evidence = self._evidence[id(host)]
        self._deliver(self._report(evidence, now), host, now)
        convicted = self._leader.merge(evidence.list_records(now), now)
        for other in self.hosts if convicted else [host]:
            self.at(now + 2 * MS, lambda at, other=other: self._tell(other, at))

    def _report(self, evidence: CrashEvidence, now: datetime) -> CrashesReported:
        quarantined = evidence.list_quarantined(now)
        return CrashesReported(evidence.list_suspected(), quarantined)

    def _tell(self, host: PlacementState, now: datetime) -> None:
        evidence = self._evidence[id(host)]
        evidence.merge(self._leader.list_records(now), now)
        self._deliver(self._report(evidence, now), host, now)

    def _send(self, granted: EndpointGranted, now: datetime) -> None:
        call = self._calls[granted.holder]
        call.n_sends += 1
        server = self.servers.get(granted.endpoint.endpoint)
        if call.content == POISON:
            self.poison_sent_at.append(now)
        if server is None or not server.is_up:
            self.at(now + MS, lambda at: self._refuse(granted, call, at))
            return
        server.running[granted.permit] = call
        if call.content == POISON:
            self.at(now + CRASH_DELAY, lambda at: self._crash(server, at))
        else:
            self.at(
                now + WORK_DURATION,
                lambda at: self._complete(server, granted.permit, at),
            )

    def _refuse(self, granted: EndpointGranted, call: Call, now: datetime) -> None:
        released = ReleaseEndpoint(granted.permit, AttemptResult.NOT_CONNECTED)
        self._deliver(released, call.host, now)
        call.tried = (*call.tried, granted.endpoint.endpoint)
        if call.n_sends < N_SENDS_LIMIT:
            self._acquire(call, now)
        else:
            self._end(call, "refused", now)

    def _complete(self, server: Server, permit: PermitId, now: datetime) -> None:
        call = server.running.pop(permit, None)
        if call is None:
            return
        released = ReleaseEndpoint(permit, AttemptResult.COMPLETED)
        self._deliver(released, call.host, now)
        self._end(call, "served", now)

    def _crash(self, server: Server, now: datetime) -> None:
        if not server.is_up:
            return
        server.is_up = False
        self.crashed_at.append(now)
        running, server.running = server.running, {}
        for permit, call in running.items():
            released = ReleaseEndpoint(permit, AttemptResult.CONNECTION_LOST)
            self._deliver(released, call.host, now)
            self._end(call, "interrupted", now)
        down_time = RESTART_TIME if self._is_restarted_in_place else DOWN_TIME
        self.at(now + down_time, lambda at: self._replace(server, at))

    def _replace(self, server: Server, now: datetime) -> None:
        if self._is_restarted_in_place:
            server.is_up = True
            return
        del self.servers[server.name]
        self._start_server(now)

    def _end(self, call: Call, how: str, now: datetime) -> None:
        if call.content == POISON:
            return
        self.ends[int((now - NOW).total_seconds())][how] += 1
        if how != "served" and call.n_try < N_TRIES_OF_CALLER:
            n_try = call.n_try + 1
            self.at(now + RETRY_DELAY, lambda at: self._call(call.content, n_try, at))


@pytest.mark.parametrize("n_hosts", [6, 40])
def test_crashing_content_is_not_sent_again_and_again(n_hosts: int) -> None:
    """Guard against content that each host sends anew after it has crashed endpoints.

    No host alone sees the crashes that the repetitions at the others cause (BUDGET).
    """
    fleet = CrashingFleet(n_hosts, 6)
    fleet.play(timedelta(seconds=20), 40.0)
    assert len(fleet.crashed_at) >= N_CRASHES
    assert fleet.count_late_sends() <= N_FURTHER_SENDS


def test_sound_requests_are_served_while_content_crashes_endpoints() -> None:
    """Guard against an outage of all by one content, and against false convictions."""
    fleet = CrashingFleet(6, 6)
    fleet.play(timedelta(seconds=12), 40.0)
    late = Counter[str]()
    for second in range(6, 12):
        late.update(fleet.ends[second])
    assert late["served"] >= 0.99 * late.total()


def test_service_returns_while_endpoints_crash_in_turn() -> None:
    """Guard against an outage that outlasts the crashes which began it.

    Nothing that is sent is to blame here: each endpoint crashes once.
    """
    fleet = CrashingFleet(6, 6)
    crash_times = [NOW + timedelta(seconds=2 + 1.2 * number) for number in range(6)]
    for time in crash_times:
        fleet.at(time, fleet.crash_oldest)
    fleet.play(timedelta(seconds=14), 40.0, has_poison=False)
    assert len(fleet.crashed_at) == len(crash_times)
    during, after = Counter[str](), Counter[str]()
    for second in range(2, 9):
        during.update(fleet.ends[second])
    for second in range(10, 14):
        after.update(fleet.ends[second])
    assert during["served"] >= 0.9 * during.total()
    # The last crash is at 8 s.
    assert after["served"] == after.total()


def test_service_returns_while_endpoints_restart_in_turn() -> None:
    """Guard against endpoints that stay unused, or are flooded, after a short crash.

    The list shows nothing of it: each is back under its name and address.
    """
    fleet = CrashingFleet(6, 6, is_restarted_in_place=True)
    n_crashes, interval_s = 18, 0.5
    names = sorted(fleet.servers)
    for number in range(n_crashes):
        name = names[number % len(names)]
        time = NOW + timedelta(seconds=3 + interval_s * number)
        fleet.at(time, lambda now, name=name: fleet.crash_named(name, now))
    fleet.play(timedelta(seconds=17), 60.0, has_poison=False)
    assert len(fleet.crashed_at) == n_crashes
    before, during, after = Counter[str](), Counter[str](), Counter[str]()
    for second in range(3):
        before.update(fleet.ends[second])
    # The last crash is at 11.5 s.
    for second in range(3, 12):
        during.update(fleet.ends[second])
    for second in range(14, 17):
        after.update(fleet.ends[second])
    assert before["served"] == before.total()
    assert during["served"] / 9 >= 0.9 * before["served"] / 3
    assert after["served"] == after.total()
