"""Guard against forwarding forbidden headers and responding with wrong statuses."""

from datetime import timedelta

import pytest
from msgspec.structs import replace

from oleanderhitch.connection.http.messages import (
    HttpRequest,
    ResponseOwner,
    find_header,
)
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform.requests import VERDICT_STATUSES, make_platform_dialect
from oleanderhitch.process.crashes.evidence import FIRST_QUARANTINE_DURATION
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.placement.messages import PromptPart
from oleanderhitch.request.forwarding.messages import SendToEndpoint
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
    """Return a request with a host, an id and further headers."""
    required_headers = (("host", "H.example:80"), ("x-request-id", "r1"))
    return HttpRequest("POST", "/p/x?y", (*required_headers, *headers), b"body")


def make_endpoint_request(*headers: tuple[str, str], rank: int = 0) -> HttpRequest:
    """Return the request that an endpoint gets for a caller's headers."""
    request = DIALECT.read_request(make_request(*headers))
    send = SendToEndpoint(
        1, ENDPOINT, b"history+body", timedelta(milliseconds=1234.5), "7", rank
    )
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
def test_system_headers_of_a_caller_are_dropped(name: str) -> None:
    """Guard against callers that reserve cache memory or refer to another execution."""
    assert find_header(make_endpoint_request((name, "1")).headers, name) is None


def test_endpoint_gets_remaining_time_and_its_own_id() -> None:
    """Guard against forwarding the caller's own values of both headers.

    With them, an endpoint could work longer than its caller waits, or on a request that
    was meant for another endpoint.
    """
    sent = make_endpoint_request(
        ("x-deadline-ms", "4000"), ("x-expect-instance", "i-9")
    )
    names = [name for name, _ in sent.headers]
    assert names.count("x-deadline-ms") == 1
    assert names.count("x-expect-instance") == 1
    assert find_header(sent.headers, "x-deadline-ms") == "1234"
    assert find_header(sent.headers, "x-expect-instance") == "i-1"
    assert find_header(sent.headers, "last-event-id") == "7"
    assert (sent.method, sent.target, sent.body) == ("POST", "/p/x?y", b"history+body")


def test_connection_headers_are_dropped() -> None:
    """Guard against forwarding headers that apply only to the caller's connection."""
    sent = make_endpoint_request(
        ("connection", "close, x-mine"), ("x-mine", "1"), ("a", "b")
    )
    assert [name for name, _ in sent.headers if name in ("connection", "x-mine")] == []
    assert find_header(sent.headers, "a") == "b"


def test_headers_that_any_connection_header_names_are_dropped() -> None:
    """Guard against an offer of another protocol that goes on to an endpoint."""
    sent = make_endpoint_request(
        ("connection", "keep-alive"),
        ("connection", "Upgrade, HTTP2-Settings"),
        ("upgrade", "h2c"),
        ("http2-settings", "AA"),
    )
    names = {name for name, _ in sent.headers}
    assert not names & {"connection", "upgrade", "http2-settings"}


def test_connection_options_cannot_drop_the_request_id() -> None:
    """Guard against dropping the id by which a response is matched to its request."""
    sent = make_endpoint_request(("connection", "x-request-id, host"))
    assert find_header(sent.headers, "x-request-id") == "r1"
    assert find_header(sent.headers, "host") == "H.example:80"


def test_prompt_and_turn_are_decoded() -> None:
    """Guard against wrong inputs to placement and token budgets."""
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
    assert request.affinity_key == "17"
    assert request.workload is not None
    assert request.workload.parts == (PromptPart("m/5c", 800), PromptPart("m/91", 410))
    assert request.turn is not None
    assert (request.turn.budget_tokens, request.turn.previous) == (4624, "t")


def test_tool_call_is_not_a_turn() -> None:
    """Guard against reserving tokens for tool calls, which carry a program id too."""
    assert DIALECT.read_request(make_request(("x-program-id", "p"))).turn is None


@pytest.mark.parametrize(
    ("text", "time_to_finish"),
    [
        ("1250", timedelta(milliseconds=1250)),
        ("-40.5", timedelta(milliseconds=-40.5)),
        ("soon", None),
        ("nan", None),
        ("1e300", None),
        ("", None),
    ],
)
def test_time_to_finish_is_read_and_never_refused(
    text: str, time_to_finish: timedelta | None
) -> None:
    """Guard against programs without a place in the order, and against errors 400."""
    headers = (("x-program-id", "p"), ("x-finish-ms", text))
    request = DIALECT.read_request(make_request(*headers))
    assert (request.program, request.time_to_finish) == ("p", time_to_finish)


@pytest.mark.parametrize(
    "header",
    [
        ("x-token-usage", "many"),
        ("x-token-budget", "-4"),
        ("x-deadline-ms", "soon"),
        # Numbers beyond what points in time, 64 bits or `int()` hold.
        ("x-token-usage", "100000000000000,5"),
        ("x-token-usage", "5,100000000000000"),
        ("x-token-usage", "9" * 5000 + ",5"),
        ("x-token-budget", "9" * 30),
        ("x-token-budget", "9" * 5000),
    ],
)
def test_malformed_value_is_rejected(header: tuple[str, str]) -> None:
    """Guard against treating a malformed header as an absent one."""
    headers = (header, ("x-program-id", "p"))
    with pytest.raises(InvalidInputError):
        DIALECT.read_request(make_request(*headers))


def test_refusal_is_recognized() -> None:
    """Guard against retrying a request that ran, or not retrying one that did not."""
    not_run = (("x-not-run", "1"), ("x-request-id", "r1"))
    assert DIALECT.read_response_head(503, not_run).is_refusal
    assert DIALECT.read_response_head(421, ()).is_refusal
    assert not DIALECT.read_response_head(503, ()).is_refusal
    assert not DIALECT.read_response_head(500, ()).is_refusal


def test_only_verdicts_of_requests_that_did_not_run_have_status_503() -> None:
    """Guard against status 503 for a request that may have run.

    After this status, callers retry even non-idempotent requests.
    """
    not_run_verdicts = {
        verdict for verdict, status in VERDICT_STATUSES.items() if status == 503
    }
    assert not_run_verdicts == {
        Verdict.NOT_READY,
        Verdict.NOT_CURRENT,
        Verdict.QUOTA_UNAVAILABLE,
        Verdict.RECORD_UNAVAILABLE,
        Verdict.NO_ENDPOINT,
        Verdict.ALL_REFUSED,
        Verdict.OVERLOADED,
        Verdict.QUARANTINED,
    }
    assert VERDICT_STATUSES[Verdict.OUTCOME_UNKNOWN] == 502
    assert VERDICT_STATUSES[Verdict.TIMED_OUT] == 504


def test_quarantined_content_is_not_asked_to_come_back_soon() -> None:
    """Guard against callers that bring back at once what can't be served."""
    response = DIALECT.make_verdict(
        RequestId("r1"), Verdict.QUARANTINED, "", timedelta(seconds=4)
    )
    retry_after = find_header(response.headers, "retry-after")
    assert retry_after is not None
    assert float(retry_after) == FIRST_QUARANTINE_DURATION.total_seconds()


def test_retry_after_fits_the_remaining_time() -> None:
    """Guard against a Retry-After that is too long for callers to wait.

    They wait at most a third of their remaining time before they retry.
    """
    time_left = timedelta(seconds=1)
    response = DIALECT.make_verdict(
        RequestId("r1"), Verdict.NO_ENDPOINT, "full", time_left
    )
    retry_after = find_header(response.headers, "retry-after")
    assert retry_after is not None
    assert 0 < float(retry_after) <= time_left.total_seconds() / 3


def test_measured_retry_after_is_passed_on() -> None:
    """Guard against callers that come back before there may be a slot."""
    response = DIALECT.make_verdict(
        RequestId("r1"),
        Verdict.OVERLOADED,
        "full",
        timedelta(seconds=9),
        timedelta(seconds=2.5),
    )
    assert response.status == 503
    assert find_header(response.headers, "retry-after") == "2.500"


def test_refusal_over_quota_says_when_there_is_room() -> None:
    """Guard against callers that can't tell an account's quota from a full site."""
    retry_after = timedelta(seconds=2)
    response = DIALECT.make_verdict(
        RequestId("r1"), Verdict.OVER_QUOTA, "", timedelta(seconds=1), retry_after
    )
    assert response.status == 429
    assert find_header(response.headers, "retry-after") == "2.000"


def test_programs_in_progress_are_recognized() -> None:
    """Guard against turns and tool calls that are taken for the start of a program."""
    program = ("x-program-id", "p")
    first = DIALECT.read_request(make_request(program, ("x-token-budget", "100")))
    assert first.program == "p" and not first.continues_program
    turn = ("x-token-budget", "100"), ("x-previous-turn", "t")
    assert DIALECT.read_request(make_request(program, *turn)).continues_program
    assert DIALECT.read_request(make_request(program)).continues_program
    assert not DIALECT.read_request(make_request()).continues_program


def test_response_to_another_request_is_detected() -> None:
    """Guard against taking a late response to another request for this one's."""
    find_owner = DIALECT.make_owner_finder(RequestId("r1"))
    assert find_owner((("x-request-id", "r1"),)) is ResponseOwner.THIS_REQUEST
    assert find_owner((("x-request-id", "r2"),)) is ResponseOwner.ANOTHER_REQUEST
    assert find_owner((("x-not-run", "1"),)) is ResponseOwner.UNKNOWN


@pytest.mark.parametrize("hint", ["", "-5", "\u00b2", "many", "9" * 30, "9" * 5000])
def test_malformed_length_hint_is_accepted(hint: str) -> None:
    """Guard against rejecting a request for its hint, which is never binding."""
    request = DIALECT.read_request(
        make_request(("x-token-usage", "1460,80"), ("x-length-hint", hint))
    )
    assert request.workload is not None
    assert 0 < request.workload.expected_output_tokens <= 80


def test_superscript_budget_is_rejected() -> None:
    """Guard against digits that crash the task, since `int()` does not parse them."""
    with pytest.raises(InvalidInputError):
        DIALECT.read_request(
            make_request(("x-program-id", "p"), ("x-token-budget", "\u00b2"))
        )


@pytest.mark.parametrize(
    ("usage", "parts"), [("100,-5", "a:1"), ("-1,5", "a:1"), ("5,5", "a:-1")]
)
def test_negative_token_counts_are_rejected(usage: str, parts: str) -> None:
    """Guard against negative counts, which release budget that other turns reserved."""
    with pytest.raises(InvalidInputError):
        DIALECT.read_request(
            make_request(("x-token-usage", usage), ("x-prompt-prefix", parts))
        )


@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_is_a_refusal_only_with_a_statement(status: int) -> None:
    """Guard against "not run" for a request that a faulty endpoint has run."""
    refused = DIALECT.read_response_head(status, (("x-not-run", "1"),))
    assert refused.is_refusal
    assert not refused.is_unproven_refusal
    unproven = DIALECT.read_response_head(status, (("x-server-stamp", "s"),))
    assert not unproven.is_refusal
    assert unproven.is_unproven_refusal


def test_error_of_an_endpoint_promises_nothing() -> None:
    """Guard against errors that are not passed on as they are."""
    assert not DIALECT.read_response_head(500, ()).is_unproven_refusal
    assert not DIALECT.read_response_head(504, ()).is_unproven_refusal


def test_leaving_endpoint_is_recognised() -> None:
    """Guard against an endpoint that leaves before the list of endpoints shows it."""
    headers = (("server-leaving", "1"), ("x-server-stamp", "s"))
    assert DIALECT.read_response_head(200, headers).is_leaving
    assert not DIALECT.read_response_head(200, headers[1:]).is_leaving


@pytest.mark.parametrize(
    ("text", "requests_per_s", "is_known"),
    [
        ("4.25", 4.25, True),
        ("0", 0.0, True),
        ("-1", None, False),
        ("nan", None, False),
        ("1e999", None, False),
        ("many", None, False),
    ],
)
def test_rate_limit_of_an_endpoint_is_read(
    text: str, requests_per_s: float | None, is_known: bool
) -> None:
    """Guard against limits that are not a number of requests a second."""
    head = DIALECT.read_response_head(200, (("server-limit", text),))
    assert head.requests_per_s == requests_per_s
    assert head.is_rate_limit_known == is_known


def test_fingerprint_is_that_of_the_content() -> None:
    """Guard against repetitions that are not recognised, and against mix-ups."""
    request = make_request(("x-program-id", "p1"))
    again = make_request(("x-program-id", "p2"), ("user-agent", "another"))
    fingerprint = DIALECT.read_request(request).fingerprint
    assert DIALECT.read_request(again).fingerprint == fingerprint
    for other in (
        replace(request, body=b"other"),
        replace(request, target="/p/z"),
        replace(request, method="PUT"),
    ):
        assert DIALECT.read_request(other).fingerprint != fingerprint


@pytest.mark.parametrize(("rank", "priority"), [(0, "0"), (3, "3"), (40, "9")])
def test_engines_are_told_how_urgent_work_is(rank: int, priority: str) -> None:
    """Guard against urgent work that waits in an engine behind patient work.

    The priority that a caller sends is not taken over.
    """
    usage = ("x-token-usage", "1460,80")
    request = make_endpoint_request(usage, ("x-request-priority", "7"), rank=rank)
    assert find_header(request.headers, "x-request-priority") == priority


def test_calls_of_plain_services_have_no_priority() -> None:
    """Guard against headers that mean nothing to a plain service."""
    request = make_endpoint_request(rank=1)
    assert find_header(request.headers, "x-request-priority") is None
