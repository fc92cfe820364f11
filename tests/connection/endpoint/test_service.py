"""Guard against calls of services that run twice or report a wrong outcome."""

from datetime import timedelta

import bottle
import gevent
import pytest

from oleanderhitch.connection.endpoint.messages import (
    LookUpOperation,
    OperationFound,
    OperationNotFound,
)
from oleanderhitch.connection.endpoint.task import start_operation_lookup
from oleanderhitch.connection.endpoint.transport import make_pool_manager
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.request.messages import ServiceWork, StreamEnded, StreamFailed
from tests.connection.endpoint.calls import (
    SERVICE_WORK,
    TIMEOUTS,
    Attempt,
    request_json,
    set_fault,
)
from tests.connection.http.test_endpoint import ScriptedEndpoint
from tests.standins.serving import CLOCK, serve, serve_service


def count_runs(address, key="r1"):
    """Return how often the operation with a key ran."""
    return request_json("GET", address, "/v1/counts")["keys"].get(key, 0)


def look_up(address, request="r1", limit_s=1.0):
    """Return the result of a lookup by key."""
    mailbox = make_mailbox("lookup")
    deadline = CLOCK.now() + timedelta(seconds=limit_s)
    start_operation_lookup(
        LookUpOperation(request, address, deadline),
        mailbox,
        make_pool_manager(),
        TIMEOUTS,
        CLOCK,
    )
    return mailbox.receive(timedelta(seconds=5))


def call(address, work=SERVICE_WORK, **options):
    """Run an attempt of a call that is not idempotent, and return it."""
    attempt = Attempt(address, work, is_idempotent=False, **options)
    attempt.finish()
    return attempt


def test_completed_call_includes_its_body():
    """Guard against a completed call without the body of its answer."""
    with serve_service() as address:
        attempt = call(address)
        assert attempt.messages[-1] == StreamEnded(1, 0, 0, 0)
        assert b'"key": "r1"' in attempt.answer
        assert count_runs(address) == 1


def test_rejection_is_final_and_includes_its_body():
    """Guard against a rejected call that is retried at another endpoint."""
    with serve_service() as address:
        attempt = call(address, ServiceWork("payments", "reject", b""))
        assert attempt.messages[-1] == StreamFailed(
            1, True, True, "endpoint answered with status 422"
        )
        assert b"rejects its input" in attempt.answer


def test_server_error_is_not_final():
    """Guard against a server error that is reported as the service's answer."""
    with serve_service() as address:
        attempt = call(address, ServiceWork("payments", "crash", b""))
        assert attempt.messages == [
            StreamFailed(1, True, False, "endpoint answered with status 500")
        ]


@pytest.mark.parametrize(("is_idempotent", "n_expected"), [(True, 1), (False, 2)])
def test_only_idempotent_calls_share_connections(is_idempotent, n_expected):
    """Guard against outcome UNKNOWN because a reused connection was just closed."""
    ports = set()
    app = bottle.Bottle()

    @app.post("/v1/operations/<operation>")
    def _(operation):
        ports.add(bottle.request.environ["REMOTE_PORT"])
        return {}

    pools = make_pool_manager()
    with serve(app) as address:
        for number in range(2):
            attempt = Attempt(
                address,
                SERVICE_WORK,
                f"r{number}",
                is_idempotent=is_idempotent,
                pools=pools,
            )
            assert isinstance(attempt.finish(), StreamEnded)
    assert len(ports) == n_expected


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
        CHUNKED,
        CHUNKED + b"2\r\n{",
        CHUNKED + b"2\r\n{}\r\n",
    ],
)
def test_answer_that_broke_off_is_not_complete(data):
    """Guard against a part of an answer that is recorded as the whole."""

    def script(connected, number):
        connected.recv(65536)
        connected.sendall(data)
        connected.close()

    endpoint = ScriptedEndpoint(script)
    attempt = call(endpoint.address)
    failure = attempt.messages[-1]
    assert isinstance(failure, StreamFailed)
    assert failure.was_sent
    assert not failure.is_final
    endpoint.stop()


@pytest.mark.parametrize("kind", ["drop_answer", "die_mid_stream"])
def test_lost_answer_is_found_by_key_without_a_second_run(kind):
    """Guard against a second run of a call after its answer was lost."""
    with serve_service() as address:
        set_fault(address, kind, n_requests=1)
        attempt = call(address)
        failure = attempt.messages[-1]
        assert failure.was_sent
        assert not failure.is_final
        stored_answer = look_up(address)
        assert isinstance(stored_answer, OperationFound)
        assert stored_answer.status == 200
        assert b'"key": "r1"' in stored_answer.body
        assert count_runs(address) == 1


def test_hanging_call_ends_at_its_deadline():
    """Guard against a request that waits forever for a service that hangs."""
    with serve_service() as address:
        set_fault(address, "silent")
        started_at = CLOCK.now()
        attempt = call(address, deadline_s=0.3)
        assert attempt.messages[-1].was_sent
        assert CLOCK.now() - started_at < timedelta(seconds=1)
        assert count_runs(address) == 1


def test_look_up_waits_for_a_late_answer():
    """Guard against outcome UNKNOWN for an operation that is still running."""
    with serve_service() as address:
        gevent.spawn_later(0.2, Attempt, address, SERVICE_WORK)
        assert isinstance(look_up(address), OperationFound)


@pytest.mark.parametrize("answers_by_key", [True, False])
def test_look_up_without_an_answer_finds_nothing(answers_by_key):
    """Guard against OperationFound without a stored answer."""
    with serve_service(answers_by_key=answers_by_key) as address:
        lookup_result = look_up(address, "never", 0.15)
        assert isinstance(lookup_result, OperationNotFound)
