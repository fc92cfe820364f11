"""Translation between the platform's HTTP headers and forwarded requests."""

import math
from collections.abc import Callable
from datetime import timedelta
from http.cookies import CookieError, SimpleCookie

import logbook
import xxhash

from oleanderhitch.connection.http.messages import (
    Headers,
    HttpRequest,
    HttpResponse,
    ResponseOwner,
    find_header,
)
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform import headers as header_names
from oleanderhitch.process.crashes.evidence import FIRST_QUARANTINE_DURATION
from oleanderhitch.process.placement.messages import InferenceWorkload, PromptPart
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.request.forwarding.messages import (
    EndpointResponseHead,
    ForwardRequest,
    ProgramTurn,
    SendToEndpoint,
)
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.ids import RequestFingerprint, RequestId
from oleanderhitch.version.routes.accounts import make_key_digest
from oleanderhitch.version.routes.ids import KeyDigest

log = logbook.Logger("request")

MISDIRECTED_STATUS = 421
KEY_SCHEME = "token"
# Callers take these statuses as a promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, MISDIRECTED_STATUS, 429, 503})
LOWEST_PRIORITY = 9
MILLISECOND = timedelta(milliseconds=1)
# A year; longer times would exceed the range of points in time.
TIME_TO_FINISH_MAX_MS = 365 * 24 * 3600 * 1000
# More than any engine reads or generates. Expected times that follow from larger counts
# would exceed the range of points in time, and fail the placement of other requests.
N_TOKENS_MAX = 10**9
# Larger numbers may not fit the 64 bits of a record, or be refused by `int()`.
N_DIGITS_MAX = 18
# Callers wait at most a third of their remaining time before they retry. The share
# stays below that; RETRY_AFTER_MIN exceeds a third when less than 150 ms remain.
RETRY_AFTER_SHARE = 0.25
RETRY_AFTER_MIN = timedelta(milliseconds=50)
RETRY_AFTER_MAX = timedelta(milliseconds=400)

VERDICT_STATUSES = {
    Verdict.NOT_READY: 503,
    Verdict.NO_ROUTE: 404,
    Verdict.MALFORMED: 400,
    Verdict.UNAUTHORIZED: 401,
    Verdict.NOT_CURRENT: 503,
    Verdict.OVER_QUOTA: 429,
    Verdict.QUOTA_UNAVAILABLE: 503,
    Verdict.NO_PREVIOUS_TURN: 404,
    Verdict.BUDGET_SPENT: 402,
    Verdict.RECORD_UNAVAILABLE: 503,
    Verdict.NO_ENDPOINT: 503,
    Verdict.ALL_REFUSED: 503,
    Verdict.OVERLOADED: 503,
    Verdict.QUARANTINED: 503,
    Verdict.OUTCOME_UNKNOWN: 502,
    Verdict.TIMED_OUT: 504,
}
NOT_RUN_STATUS = 503


class PlatformDialect:
    """Dialect of the platform's callers and endpoints."""

    def read_request(self, request: HttpRequest) -> ForwardRequest:
        """Parse a caller's request; raise InvalidInputError if it is malformed."""
        request_id = request.find_header(header_names.REQUEST_ID)
        if not request_id:
            raise InvalidInputError(f"header {header_names.REQUEST_ID} is missing")
        host = _read_host(request)
        return ForwardRequest(
            RequestId(request_id),
            request.method,
            host,
            request.target,
            _select_forwarded_headers(request.headers),
            request.body,
            _read_caller_timeout(request),
            _find_affinity_key(request),
            _read_workload(request),
            _read_turn(request),
            request.find_header(header_names.LAST_EVENT_ID),
            _make_fingerprint(request, host),
            _read_key(request.headers),
            *_read_program(request),
            _read_time_to_finish(request),
        )

    def read_response_head(self, status: int, headers: Headers) -> EndpointResponseHead:
        """Interpret the status and headers of an endpoint's response."""
        is_misdirected = status == MISDIRECTED_STATUS
        is_refusal = (
            is_misdirected or find_header(headers, header_names.NOT_RUN) is not None
        )
        return EndpointResponseHead(
            status,
            tuple(
                (name, value)
                for name, value in headers
                if name not in header_names.HOP_BY_HOP
            ),
            find_header(headers, header_names.SIGNATURE) is not None,
            is_refusal,
            is_misdirected,
            not is_refusal and status in NOT_RUN_STATUSES,
            find_header(headers, header_names.LEAVING) is not None,
            *_read_rate_limit(headers),
        )

    def make_owner_finder(
        self, request: RequestId
    ) -> Callable[[Headers], ResponseOwner]:
        """Return a function that tells from its headers whose response one is."""

        def find_owner(headers: Headers) -> ResponseOwner:
            echoed = find_header(headers, header_names.REQUEST_ID)
            if echoed is None:
                # An endpoint that refuses a request may not have parsed its id.
                return ResponseOwner.UNKNOWN
            if echoed == request:
                return ResponseOwner.THIS_REQUEST
            return ResponseOwner.ANOTHER_REQUEST

        return find_owner

    def make_endpoint_request(
        self, request: ForwardRequest, send: SendToEndpoint
    ) -> HttpRequest:
        """Return the request to send to an endpoint."""
        endpoint_headers = [
            (header_names.DEADLINE, str(max(1, int(send.time_left / MILLISECOND)))),
            (header_names.EXPECT_INSTANCE, send.endpoint.endpoint),
        ]
        if request.workload is not None:
            # Engines admit urgent work first. Without it the arrivals of an urgent
            # class wait behind all others in the engine's own queue.
            priority = min(send.rank, LOWEST_PRIORITY)
            endpoint_headers.append((header_names.PRIORITY, str(priority)))
        if send.last_event_id is not None:
            endpoint_headers.append((header_names.LAST_EVENT_ID, send.last_event_id))
        headers = request.headers
        if send.hides_credentials:
            headers = _remove_credentials(headers)
        if send.account is not None:
            endpoint_headers.append((header_names.ACCOUNT, send.account))
        return HttpRequest(
            request.method,
            request.target,
            (*headers, *endpoint_headers),
            send.body,
        )

    def make_verdict(
        self,
        request: RequestId | None,
        verdict: Verdict,
        detail: str,
        time_left: timedelta,
        retry_after: timedelta | None = None,
    ) -> HttpResponse:
        """Return the response for a verdict."""
        status = VERDICT_STATUSES[verdict]
        headers: list[tuple[str, str]] = [("content-type", "text/plain")]
        if request is not None:
            headers.append((header_names.REQUEST_ID, request))
        if status == NOT_RUN_STATUS:
            if retry_after is None:
                retry_after = min(time_left * RETRY_AFTER_SHARE, RETRY_AFTER_MAX)
            retry_after = max(retry_after, RETRY_AFTER_MIN)
            if verdict is Verdict.QUARANTINED:
                retry_after = FIRST_QUARANTINE_DURATION
        if retry_after is not None:
            headers.append(("retry-after", f"{retry_after.total_seconds():.3f}"))
        body = f"{verdict.value}: {detail}\n".encode("utf-8", "replace")
        return HttpResponse(status, body, tuple(headers))


def _select_forwarded_headers(headers: Headers) -> Headers:
    dropped = set(header_names.HOP_BY_HOP | header_names.SET_BY_SYSTEM)
    for name, value in headers:
        if name == "connection":
            # Connection options name further headers that apply to one connection.
            dropped.update(option.strip().lower() for option in value.split(","))
    # Connection options must not remove the host or the request id, by which responses
    # are matched.
    dropped.discard("host")
    dropped.discard(header_names.REQUEST_ID)
    return tuple((name, value) for name, value in headers if name not in dropped)


def _read_key(headers: Headers) -> KeyDigest | None:
    """Return the digest of the key that a caller sends, None without exactly one."""
    credentials = [value for name, value in headers if _is_credential(name)]
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0].strip().partition(" ")
    if scheme.lower() != KEY_SCHEME or not key.strip():
        return None
    return make_key_digest(key.strip())


def _is_credential(name: str) -> bool:
    return name == header_names.AUTHORIZATION


def _remove_credentials(headers: Headers) -> Headers:
    """Return the headers without keys and without names of accounts.

    Some servers take an underscore in a name for a hyphen.
    """
    return tuple(
        (name, value)
        for name, value in headers
        if not _is_credential(name) and name.replace("_", "-") != header_names.ACCOUNT
    )


def _read_host(request: HttpRequest) -> str:
    """Return the host that a request names, without a port."""
    host, _, port = (request.find_header("host") or "").rpartition(":")
    return (host or port).lower()


def _make_fingerprint(request: HttpRequest, host: str) -> RequestFingerprint:
    """Return what is the same for all requests with this content.

    Repetitions come with other ids, under other programs and from other connections.
    """
    head = f"{request.method} {host} {request.target}\n"
    digest = xxhash.xxh3_64(head.encode("utf-8", "replace"))
    digest.update(request.body)
    return RequestFingerprint(digest.hexdigest())


def _read_rate_limit(headers: Headers) -> tuple[float | None, bool]:
    """Return the requests a second that an endpoint takes, and whether that is known.

    Without a limit the number is None.
    """
    text = find_header(headers, header_names.RATE_LIMIT)
    if text is None:
        return None, True
    try:
        limit = float(text)
    except ValueError:
        limit = math.nan
    if not math.isfinite(limit) or limit < 0:
        log.warning("unreadable rate limit", text=text)
        return None, False
    return limit, True


def _read_caller_timeout(request: HttpRequest) -> timedelta | None:
    text = request.find_header(header_names.DEADLINE)
    if text is None:
        return None
    try:
        return timedelta(milliseconds=float(text))
    except (ValueError, OverflowError):
        raise InvalidInputError(f"{header_names.DEADLINE} is {text!r}") from None


def _read_time_to_finish(request: HttpRequest) -> timedelta | None:
    """Return the time left to finish the program, None without a usable one.

    It orders waiting requests and binds nothing, so it is no reason for a refusal.
    """
    try:
        time_ms = float(request.find_header(header_names.FINISH) or "nan")
    except ValueError:
        return None
    if not abs(time_ms) <= TIME_TO_FINISH_MAX_MS:
        return None
    return time_ms * MILLISECOND


def _find_affinity_key(request: HttpRequest) -> str | None:
    cookie = request.find_header("cookie")
    if cookie is None:
        return None
    try:
        morsel = SimpleCookie(cookie).get(header_names.AFFINITY_COOKIE)
    except CookieError:
        return None
    return None if morsel is None else morsel.value


def _read_workload(request: HttpRequest) -> InferenceWorkload | None:
    usage = request.find_header(header_names.TOKEN_USAGE)
    if usage is None:
        return None
    model = request.find_header(header_names.MODEL) or ""
    try:
        prompt_tokens, max_output_tokens = (
            _read_token_count(word) for word in usage.split(",")
        )
        parts = tuple(
            _read_prompt_part(raw, model)
            for raw in (request.find_header(header_names.PROMPT_PARTS) or "").split(",")
            if raw.strip()
        )
    except ValueError:
        raise InvalidInputError(f"{header_names.TOKEN_USAGE} is {usage!r}") from None
    return InferenceWorkload(
        prompt_tokens,
        max_output_tokens,
        _estimate_output_tokens(request, max_output_tokens),
        parts,
    )


def _read_token_count(text: str) -> int:
    """Parse a number of tokens; raise ValueError if it is not one."""
    count = int(text)
    # A negative number would release budget that other turns have reserved.
    if not 0 <= count <= N_TOKENS_MAX:
        raise ValueError(f"{text!r} is no number of tokens")
    return count


def _estimate_output_tokens(request: HttpRequest, max_output_tokens: int) -> int:
    """Return the expected number of output tokens.

    The caller's hint is often inaccurate and never binding. Without a valid one, half
    of the maximum is expected.
    """
    hint = request.find_header(header_names.LENGTH_HINT) or ""
    return (
        min(int(hint), max_output_tokens)
        if _is_number(hint)
        else max_output_tokens // 2
    )


def _is_number(text: str) -> bool:
    return text.isdecimal() and len(text) <= N_DIGITS_MAX


def _read_prompt_part(raw: str, model: str) -> PromptPart:
    part_id, _, n_tokens = raw.strip().partition(":")
    return make_prompt_part(model, part_id, _read_token_count(n_tokens))


def make_prompt_part(model: str, part_id: str, n_tokens: int) -> PromptPart:
    """Return a part whose id includes the model, as models share no cache."""
    return PromptPart(f"{model}/{part_id.lower()}", n_tokens)


def _read_turn(request: HttpRequest) -> ProgramTurn | None:
    program = request.find_header(header_names.PROGRAM)
    budget = request.find_header(header_names.TOKEN_BUDGET)
    previous = request.find_header(header_names.PREVIOUS_TURN)
    if program is None or (budget is None and previous is None):
        # Tool calls carry the program id too, but spend no tokens.
        return None
    if budget is not None and not _is_number(budget):
        raise InvalidInputError(f"{header_names.TOKEN_BUDGET} is {budget!r}")
    return ProgramTurn(
        ProgramId(program),
        None if budget is None else int(budget),
        None if previous is None else RequestId(previous),
    )


def _read_program(request: HttpRequest) -> tuple[ProgramId | None, bool]:
    """Return the program of a request, and whether it shows that one is in progress.

    Turns that continue another one and tool calls do.
    """
    program = request.find_header(header_names.PROGRAM)
    if not program:
        return None, False
    is_first_turn = (
        request.find_header(header_names.TOKEN_BUDGET) is not None
        and request.find_header(header_names.PREVIOUS_TURN) is None
    )
    return ProgramId(program), not is_first_turn


def make_platform_dialect() -> PlatformDialect:
    """Return the platform's dialect of requests and responses."""
    return PlatformDialect()
