"""Guard against headers that callers must not set and against false statuses."""

from datetime import timedelta

import pytest

from oleanderhitch.connection.http.messages import HttpRequest, find_header
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform.requests import STATUSES, make_platform_dialect
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.placement.messages import PromptPart
from oleanderhitch.request.forwarding.messages import Send
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.ids import RequestId
from oleanderhitch.version.ids import DataCentreName, EndpointId, ServiceName

DIALECT = make_platform_dialect()
ENDPOINT = ListedEndpoint(
    EndpointId("i-1"),
    ServiceName("s"),
    HostAddress("10.0.0.1:80"),
    DataCentreName("a"),
    6,
    False,
)


def make_request(*headers: tuple[str, str]) -> HttpRequest:
    """Return a request with an id and further headers."""
    fixed = (("host", "H.example:80"), ("x-request-id", "r1"))
    return HttpRequest("POST", "/p/x?y", (*fixed, *headers), b"body")


def forward(*headers: tuple[str, str]) -> HttpRequest:
    """Return what an endpoint gets of a request with headers."""
    request = DIALECT.read_request(make_request(*headers))
    send = Send(1, ENDPOINT, b"history+body", timedelta(milliseconds=1234.5), "7")
    return DIALECT.make_endpoint_request(request, send)


@pytest.mark.parametrize(
    "name",
    [
        "x-kv-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "x-request-priority",
        "x-expect-version",
    ],
)
def test_headers_of_the_system_do_not_pass(name: str) -> None:
    """A caller must not claim memory or another request's run."""
    assert find_header(forward((name, "1")).headers, name) is None


def test_endpoint_gets_time_left_and_its_own_id() -> None:
    """An endpoint must not work longer than its caller waits, nor for another."""
    sent = forward(("x-deadline-ms", "4000"), ("x-expect-instance", "i-9"))
    names = [name for name, _ in sent.headers]
    assert names.count("x-deadline-ms") == 1
    assert names.count("x-expect-instance") == 1
    assert find_header(sent.headers, "x-deadline-ms") == "1234"
    assert find_header(sent.headers, "x-expect-instance") == "i-1"
    assert find_header(sent.headers, "last-event-id") == "7"
    assert (sent.method, sent.target, sent.body) == ("POST", "/p/x?y", b"history+body")


def test_headers_of_one_connection_do_not_pass() -> None:
    """What concerns the caller's connection says nothing to an endpoint."""
    sent = forward(("connection", "close, x-mine"), ("x-mine", "1"), ("a", "b"))
    assert [name for name, _ in sent.headers if name in ("connection", "x-mine")] == []
    assert find_header(sent.headers, "a") == "b"


def test_connection_can_not_hide_the_request_id() -> None:
    """An endpoint that gets no id can't be matched to its request."""
    sent = forward(("connection", "x-request-id, host"))
    assert find_header(sent.headers, "x-request-id") == "r1"
    assert find_header(sent.headers, "host") == "H.example:80"


def test_prompt_and_turn_are_decoded() -> None:
    """Placement and budgets rest on these values."""
    request = DIALECT.read_request(
        make_request(
            ("x-token-usage", "1460,80"),
            ("x-model", "m"),
            ("x-prompt-prefix", "5c:800, 91:410"),
            ("x-program-id", "p"),
            ("x-token-budget", "4624"),
            ("x-previous-turn", "t"),
            ("cookie", "X-Affinity-Key=17"),
        )
    )
    assert request.host == "h.example"
    assert request.affinity == "17"
    assert request.workload is not None
    assert request.workload.parts == (PromptPart("m/5c", 800), PromptPart("m/91", 410))
    assert request.turn is not None
    assert (request.turn.budget_tokens, request.turn.previous) == (4624, "t")


def test_call_of_a_tool_is_no_turn() -> None:
    """Calls of tools carry the program's id but spend nothing."""
    assert DIALECT.read_request(make_request(("x-program-id", "p"))).turn is None


@pytest.mark.parametrize(
    "header",
    [
        ("x-token-usage", "many"),
        ("x-token-budget", "-4"),
        ("x-deadline-ms", "soon"),
    ],
)
def test_unreadable_value_is_refused(header: tuple[str, str]) -> None:
    """A value that can't be read must not be taken for none."""
    headers = (header, ("x-program-id", "p"))
    with pytest.raises(InvalidInputError):
        DIALECT.read_request(make_request(*headers))


def test_refusal_is_recognized() -> None:
    """Only these answers say that a request has not run."""
    not_run = (("x-not-run", "1"), ("x-request-id", "r1"))
    assert DIALECT.read_answer(503, not_run).is_refusal
    assert DIALECT.read_answer(421, ()).is_refusal
    assert not DIALECT.read_answer(503, ()).is_refusal
    assert not DIALECT.read_answer(500, ()).is_refusal


def test_only_verdicts_of_requests_that_did_not_run_promise_it() -> None:
    """Callers repeat non-idempotent requests after these statuses."""
    promised = {verdict for verdict, status in STATUSES.items() if status == 503}
    assert promised == {
        Verdict.NOT_READY,
        Verdict.RECORD_UNAVAILABLE,
        Verdict.NO_ENDPOINT,
        Verdict.ALL_REFUSED,
    }
    assert STATUSES[Verdict.OUTCOME_UNKNOWN] == 502
    assert STATUSES[Verdict.TIMED_OUT] == 504


def test_promise_says_when_to_come_back() -> None:
    """A caller waits at most a third of its time."""
    left = timedelta(seconds=1)
    answer = DIALECT.make_verdict(RequestId("r1"), Verdict.NO_ENDPOINT, "full", left)
    wait = find_header(answer.headers, "retry-after")
    assert wait is not None
    assert 0 < float(wait) <= left.total_seconds() / 3


def test_answer_of_another_request_is_told_apart() -> None:
    """An answer that arrives late carries the id of its own request."""
    check = DIALECT.make_answer_check(RequestId("r1"))
    assert check((("x-request-id", "r1"),))
    assert not check((("x-request-id", "r2"),))


@pytest.mark.parametrize("hint", ["", "-5", "\u00b2", "many", "9" * 30])
def test_odd_length_hint_is_no_fault(hint: str) -> None:
    """A hint is never binding, whatever a caller sends."""
    request = DIALECT.read_request(
        make_request(("x-token-usage", "1460,80"), ("x-length-hint", hint))
    )
    assert request.workload is not None
    assert 0 < request.workload.expected_output_tokens <= 80


def test_superscript_budget_is_refused() -> None:
    """Digits that are no number must not end the connection's task."""
    with pytest.raises(InvalidInputError):
        DIALECT.read_request(
            make_request(("x-program-id", "p"), ("x-token-budget", "\u00b2"))
        )


@pytest.mark.parametrize(
    ("usage", "parts"), [("100,-5", "a:1"), ("-1,5", "a:1"), ("5,5", "a:-1")]
)
def test_negative_counts_are_refused(usage: str, parts: str) -> None:
    """A turn must not free budget that other turns have reserved."""
    with pytest.raises(InvalidInputError):
        DIALECT.read_request(
            make_request(("x-token-usage", usage), ("x-prompt-prefix", parts))
        )
