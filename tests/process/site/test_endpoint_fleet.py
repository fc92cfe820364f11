"""Guard against outages and lost work when endpoints of a service crash or leave."""

from collections import Counter
from collections.abc import Iterator
from datetime import datetime, timedelta
from pathlib import Path

import gevent
import pytest
from gevent import socket
from gevent.pool import Group
from msgspec import Struct, field

from oleanderhitch.connection.addresses import parse_address
from oleanderhitch.connection.http.messages import HttpResponse
from oleanderhitch.connection.http.parsing import make_request_parser
from oleanderhitch.connection.http.rendering import render_response
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName
from oleanderhitch.version.routes.configuration import CallerLimits
from tests.process.site.harness import CLOCK, SiteHarness, get_free_address, wait_until

N_ENDPOINTS = 6
WORK_S = 0.1
RESTART_S = 0.3
N_CRASHES = 8
CRASH_INTERVAL_S = 0.5
REQUESTS_PER_S = 50
# Well below the time that callers have; processes here share their processor time.
ANSWER_TIME_MAX = timedelta(seconds=2)
# The requirement: this long after the last crash, all are served again.
RECOVERY_TIME = timedelta(seconds=2)
KINDS = ("safe", "unsafe")


class StubEndpoint:
    """Endpoint of a plain service that can crash, and comes back at its address."""

    def __init__(self, number: int) -> None:
        self.run: list[str] = []
        self.is_leaving = False
        self._name = EndpointId(f"i-{number}")
        self._address = get_free_address()
        self._tasks = Group()
        self._sockets: list[socket.socket] = []

    @property
    def listed(self) -> ListedEndpoint:
        """The entry of the list, which shows nothing of a crash."""
        service, home = ServiceName("s"), DataCentreName("a")
        return ListedEndpoint(self._name, service, self._address, home, 20, False, 1)

    def start(self) -> None:
        """Start listening."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(parse_address(HostAddress(self._address)))
        listener.listen(64)
        self._sockets.append(listener)
        self._tasks.spawn(self._accept, listener)

    def crash(self) -> None:
        """End as a process does that is killed."""
        self._tasks.kill()
        for opened in self._sockets:
            opened.close()
        self._sockets.clear()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            accepted, _ = listener.accept()
            self._sockets.append(accepted)
            self._tasks.spawn(self._serve, accepted)

    def _serve(self, accepted: socket.socket) -> None:
        parser = make_request_parser(CallerLimits())
        while data := accepted.recv(4096):
            for request in parser.feed(data):
                request_id = request.find_header("x-request-id") or ""
                self.run.append(request_id)
                gevent.sleep(WORK_S)
                headers = [("x-request-id", request_id), ("x-server-stamp", "s")]
                if self.is_leaving:
                    headers.append(("server-leaving", "1"))
                response = HttpResponse(200, b"ok", tuple(headers))
                accepted.sendall(render_response(response, False))


class Answer(Struct):
    """The answer to a request."""

    request: str
    kind: str
    status: int
    sent_at: datetime
    duration: timedelta


class Crowd(Struct):
    """Callers that send at a constant rate, whatever is answered."""

    site: SiteHarness
    answers: list[Answer] = field(default_factory=list)
    n_sent: int = 0

    def send_for(self, duration_s: float) -> None:
        """Send requests of both kinds for a time."""
        for _ in range(int(duration_s * REQUESTS_PER_S)):
            gevent.spawn(self.send)
            gevent.sleep(1 / REQUESTS_PER_S)

    def send(self) -> int:
        """Send one request; return the status of its answer."""
        self.n_sent += 1
        request, kind = f"q{self.n_sent}", KINDS[self.n_sent % len(KINDS)]
        headers = {"Host": "h", "X-Request-Id": request, "X-Deadline-Ms": "3000"}
        url = f"http://{self.site.caller_address}/{kind}/x"
        sent_at = CLOCK.now()
        response = self.site.http.request("POST", url, body=b"x", headers=headers)
        duration = CLOCK.now() - sent_at
        answer = Answer(request, kind, response.status, sent_at, duration)
        self.answers.append(answer)
        return answer.status

    def count(self, start: datetime, end: datetime) -> Counter[int]:
        """Return the statuses of the answers to what was sent in a time."""
        return Counter(
            answer.status for answer in self.answers if start <= answer.sent_at < end
        )


@pytest.fixture
def endpoints() -> Iterator[list[StubEndpoint]]:
    """Return running endpoints."""
    started = [StubEndpoint(number) for number in range(N_ENDPOINTS)]
    for endpoint in started:
        endpoint.start()
    yield started
    for endpoint in started:
        endpoint.crash()


@pytest.fixture
def site(
    tmp_path: Path, endpoints: list[StubEndpoint], monkeypatch: pytest.MonkeyPatch
) -> Iterator[SiteHarness]:
    """Return a site with a route for calls that may be repeated and one for others."""
    harness = SiteHarness(tmp_path, 1)
    listed = tuple(endpoint.listed for endpoint in endpoints)
    monkeypatch.setattr(type(harness.engine), "list_endpoints", lambda engine: listed)
    harness.start()
    routes = [
        {
            "name": kind,
            "host": "h",
            "path_prefix": f"/{kind}/",
            "kind": kind,
            "timeout_ms": 3000,
            "service": "s",
            "attempts": 2,
        }
        for kind in KINDS
    ]
    harness.publish(1, routes=routes, services=[{"name": "s"}])
    yield harness
    harness.close()


def test_service_is_kept_while_endpoints_crash_in_turn(
    site: SiteHarness, endpoints: list[StubEndpoint]
) -> None:
    """Guard against requests that wait, fail or run twice beside the crashes.

    A call that may be repeated goes on elsewhere; the other callers learn at once that
    the outcome is unknown. What is answered as not run has not run.
    """
    crowd = Crowd(site)
    wait_until(lambda: crowd.send() == 200, "an answer")
    started_at = CLOCK.now()
    crowd.send_for(1)
    # What is sent from here on may be under way at the first crash.
    crashes_at = CLOCK.now() - timedelta(seconds=2 * WORK_S)
    sender = gevent.spawn(crowd.send_for, N_CRASHES * CRASH_INTERVAL_S + 3)
    for number in range(N_CRASHES):
        endpoint = endpoints[number % N_ENDPOINTS]
        endpoint.crash()
        last_crash_at = CLOCK.now()
        gevent.spawn_later(RESTART_S, endpoint.start)
        gevent.sleep(CRASH_INTERVAL_S)
    sender.join()
    wait_until(lambda: len(crowd.answers) == crowd.n_sent, "all answers")
    before = crowd.count(started_at, crashes_at)
    during = crowd.count(crashes_at, last_crash_at)
    after = crowd.count(last_crash_at + RECOVERY_TIME, CLOCK.now())
    assert set(before) == set(after) == {200}
    assert during[200] >= 0.9 * during.total()
    runs = Counter(request for endpoint in endpoints for request in endpoint.run)
    for answer in crowd.answers:
        assert answer.duration < ANSWER_TIME_MAX, answer
        assert answer.status in (200, 502, 503), answer
        if answer.status == 503:
            assert not runs[answer.request], answer
        if answer.kind == "unsafe":
            assert runs[answer.request] <= 1, answer
        assert answer.kind == "unsafe" or answer.status != 502, answer


def test_nothing_reaches_an_endpoint_that_has_announced_its_stop(
    site: SiteHarness, endpoints: list[StubEndpoint]
) -> None:
    """Guard against work for an endpoint that leaves while the list does not say so."""
    crowd = Crowd(site)
    wait_until(lambda: crowd.send() == 200, "an answer")
    n_ready = len(crowd.answers)
    leaving = endpoints[0]
    leaving.is_leaving = True
    n_before = len(leaving.run)
    crowd.send_for(1)
    wait_until(lambda: len(crowd.answers) == crowd.n_sent, "all answers")
    n_run = len(leaving.run)
    assert n_run > n_before
    # The list is read again meanwhile.
    crowd.send_for(1.5)
    wait_until(lambda: len(crowd.answers) == crowd.n_sent, "all answers")
    assert len(leaving.run) == n_run
    assert {answer.status for answer in crowd.answers[n_ready:]} == {200}
