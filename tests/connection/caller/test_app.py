"""Guard against malformed calls that are accepted and incomplete responses."""

import json
from datetime import timedelta

import pytest
import urllib3

from oleanderhitch.connection.caller.app import make_caller_app
from oleanderhitch.connection.caller.parsing import BODY_LIMIT_BYTES
from oleanderhitch.connection.caller.rendering import HTTP_STATUS
from oleanderhitch.connection.caller.server import make_caller_server
from oleanderhitch.process.intake.messages import Readiness
from oleanderhitch.process.tracing.tracer import make_non_recording_tracer
from oleanderhitch.program.states import RefusalReason
from oleanderhitch.request.messages import RelayChunk, RespondToCaller
from oleanderhitch.request.states import Outcome, Reason
from tests.connection.peer.test_stream import find_port

http = urllib3.PoolManager(retries=False, timeout=5)
CHAT = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}
HEADERS = {"X-Account": "a", "X-Program": "p", "X-Sequence": "1"}


class FakeIntake:
    """Intake that replies to each call with scripted messages."""

    def __init__(self):
        self.script = []
        self.calls = []

    def send(self, message):
        """Record the call and send the scripted messages."""
        self.calls.append(message.call)
        for reply in self.script:
            message.reply_address.send(reply)


class DrainingStatus:
    """Status of a draining host."""

    def get_readiness(self):
        """Return that the host is draining."""
        return Readiness(False, "draining", 3, 7)

    def get_metrics_text(self):
        """Return no metrics."""
        return "# none\n"


@pytest.fixture(scope="module")
def caller_api():
    """Serve the application; return its URL and the fake intake."""
    intake = FakeIntake()
    app = make_caller_app(intake, None, DrainingStatus(), make_non_recording_tracer())
    port = find_port()
    server = make_caller_server(f"127.0.0.1:{port}", app)
    server.start()
    yield f"http://127.0.0.1:{port}", intake
    server.stop()


def post(caller_api, body, headers=HEADERS, path="/v1/chat/completions"):
    """Return status and body of the response to a call."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    response = http.request("POST", caller_api[0] + path, body=data, headers=headers)
    return response.status, response.data.decode()


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        (b"{", HEADERS, 400, "bad_request"),
        (b"[]", HEADERS, 400, "bad_request"),
        (b"[" * 100_000, HEADERS, 400, "bad_request"),
        (CHAT, {**HEADERS, "X-Sequence": "9" * 5000}, 400, "bad_request"),
        ({**CHAT, "messages": []}, HEADERS, 400, "bad_request"),
        ({**CHAT, "messages": [{"role": "x", "content": ""}]}, HEADERS, 400, None),
        ({**CHAT, "max_tokens": 0}, HEADERS, 400, "bad_request"),
        ({**CHAT, "max_tokens": True}, HEADERS, 400, "bad_request"),
        ({**CHAT, "stream": 1}, HEADERS, 400, "bad_request"),
        (CHAT, {"X-Account": "a", "X-Sequence": "1"}, 400, "bad_request"),
        (CHAT, {**HEADERS, "X-Sequence": "0"}, 400, "bad_request"),
        (CHAT, {**HEADERS, "X-Deadline-Ms": "soon"}, 400, "bad_request"),
        (b" " * (BODY_LIMIT_BYTES + 1), HEADERS, 413, "body_too_large"),
    ],
)
def test_malformed_calls_get_the_documented_error(
    caller_api, body, headers, status, code
):
    """Guard against invalid input that reaches the scheduler or gets status 500."""
    actual_status, text = post(caller_api, body, headers)
    error = json.loads(text)["error"]
    assert actual_status == status
    assert error["outcome"] == "not_run"
    assert code in (None, error["code"])
    assert error["message"]


def test_unknown_path_gets_the_documented_error(caller_api):
    """Guard against an HTML error page for callers that parse JSON."""
    status, text = post(caller_api, CHAT, path="/v2/nothing")
    assert (status, json.loads(text)["error"]["code"]) == (404, "not_found")


def test_stream_contains_the_whole_answer(caller_api):
    """Guard against lost, duplicated or split characters in a stream."""
    text = "waiver ž filed"
    data = text.encode()
    caller_api[1].script = [
        RelayChunk(data[:8]),
        RelayChunk(data[8:10]),
        RespondToCaller(Outcome.COMPLETED, data, Reason.OK),
    ]
    status, body = post(caller_api, {**CHAT, "stream": True})
    events = [part.removeprefix("data: ") for part in body.strip().split("\n\n")]
    assert status == 200
    assert events[-1] == "[DONE]"
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    assert "".join(delta.get("content", "") for delta in deltas) == text


def test_failed_stream_ends_with_an_error_event(caller_api):
    """Guard against a truncated answer that looks complete."""
    caller_api[1].script = [
        RelayChunk(b"half"),
        RespondToCaller(Outcome.FAILED, b"half", Reason.ENDPOINT_FAILED, "engine lost"),
    ]
    _, body = post(caller_api, {**CHAT, "stream": True})
    assert (
        json.loads(body.strip().split("\n\n")[-2].removeprefix("data: "))["error"][
            "outcome"
        ]
        == "failed"
    )


def test_refusal_states_outcome_and_retry_time(caller_api):
    """Guard against a refusal that doesn't state whether the call ran."""
    caller_api[1].script = [
        RespondToCaller(
            Outcome.NOT_RUN, b"", Reason.POOL_REFUSED, "full", timedelta(seconds=2)
        )
    ]
    status, text = post(caller_api, {**CHAT, "stream": True})
    error = json.loads(text)["error"]
    assert (status, error["outcome"], error["retry_after_ms"]) == (503, "not_run", 2000)


def test_draining_host_is_not_ready(caller_api):
    """Guard against a load balancer that sends calls to a draining host."""
    response = http.request("GET", caller_api[0] + "/readyz")
    assert response.status == 503
    assert response.json()["n_requests"] == 3


def test_every_refusal_reason_has_an_http_status():
    """Guard against a refusal by the shard that has no HTTP status."""
    for refusal in RefusalReason:
        assert HTTP_STATUS[Reason(refusal.value)] >= 400
    assert set(HTTP_STATUS) == set(Reason)
