"""Translate callers' requests, endpoints' answers and the system's verdicts."""

from collections.abc import Callable
from datetime import timedelta
from http.cookies import CookieError, SimpleCookie

from oleanderhitch.connection.http.messages import (
    Headers,
    HttpRequest,
    HttpResponse,
    find_header,
)
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform import headers as names
from oleanderhitch.process.placement.messages import InferenceWorkload, PromptPart
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.request.forwarding.messages import (
    AnswerHead,
    ForwardRequest,
    ProgramTurn,
    Send,
)
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.ids import RequestId

MISDIRECTED = 421
MILLISECOND = timedelta(milliseconds=1)
# A caller waits at most a third of the time it has left before it comes back.
RETRY_SHARE = 0.25
RETRY_MIN = timedelta(milliseconds=50)
RETRY_MAX = timedelta(milliseconds=400)

STATUSES = {
    Verdict.NOT_READY: 503,
    Verdict.NO_ROUTE: 404,
    Verdict.MALFORMED: 400,
    Verdict.NO_PREVIOUS_TURN: 404,
    Verdict.BUDGET_SPENT: 402,
    Verdict.RECORD_UNAVAILABLE: 503,
    Verdict.NO_ENDPOINT: 503,
    Verdict.ALL_REFUSED: 503,
    Verdict.OUTCOME_UNKNOWN: 502,
    Verdict.TIMED_OUT: 504,
}
NOT_RUN_STATUS = 503


class PlatformDialect:
    """Translate requests and answers as the platform's callers and runners speak."""

    def read_request(self, request: HttpRequest) -> ForwardRequest:
        """Return a caller's request; raise InvalidInputError."""
        identifier = request.find_header(names.REQUEST_ID)
        if not identifier:
            raise InvalidInputError(f"header {names.REQUEST_ID} is missing")
        host = (request.find_header("host") or "").rpartition(":")
        return ForwardRequest(
            RequestId(identifier),
            request.method,
            (host[0] or host[2]).lower(),
            request.target,
            _select_headers(request.headers),
            request.body,
            _read_duration(request),
            _find_affinity(request),
            _read_shape(request),
            _read_turn(request),
            request.find_header(names.LAST_EVENT),
        )

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Return the head of a runner's answer."""
        return AnswerHead(
            status,
            tuple(
                (name, value) for name, value in headers if name not in names.HOP_BY_HOP
            ),
            find_header(headers, names.SIGNATURE) is not None,
            status == MISDIRECTED or find_header(headers, names.NOT_RUN) is not None,
            status == MISDIRECTED,
        )

    def make_answer_check(self, request: RequestId) -> Callable[[Headers], bool]:
        """Return a check whether an answer belongs to a request."""

        def is_answer(headers: Headers) -> bool:
            echoed = find_header(headers, names.REQUEST_ID)
            # A runner that refuses a request may not have read its id.
            return echoed is None or echoed == request

        return is_answer

    def make_endpoint_request(self, request: ForwardRequest, send: Send) -> HttpRequest:
        """Return the request that a runner gets."""
        added = [
            (names.DEADLINE, str(max(1, int(send.time_left / MILLISECOND)))),
            (names.EXPECT_INSTANCE, send.endpoint.endpoint),
        ]
        if send.last_event_id is not None:
            added.append((names.LAST_EVENT, send.last_event_id))
        return HttpRequest(
            request.method, request.target, (*request.headers, *added), send.body
        )

    def make_verdict(
        self,
        request: RequestId | None,
        verdict: Verdict,
        detail: str,
        time_left: timedelta,
    ) -> HttpResponse:
        """Return the answer that stands for a verdict."""
        status = STATUSES[verdict]
        headers: list[tuple[str, str]] = [("content-type", "text/plain")]
        if request is not None:
            headers.append((names.REQUEST_ID, request))
        if status == NOT_RUN_STATUS:
            wait = min(max(time_left * RETRY_SHARE, RETRY_MIN), RETRY_MAX)
            headers.append(("retry-after", f"{wait.total_seconds():.3f}"))
        body = f"{verdict.value}: {detail}\n".encode("utf-8", "replace")
        return HttpResponse(status, body, tuple(headers))


def _select_headers(headers: Headers) -> Headers:
    dropped = set(names.HOP_BY_HOP | names.SET_BY_SYSTEM)
    for word in (find_header(headers, "connection") or "").split(","):
        # Headers that the caller names here concern its connection only.
        dropped.add(word.strip().lower())
    dropped.discard("host")
    dropped.discard(names.REQUEST_ID)
    return tuple((name, value) for name, value in headers if name not in dropped)


def _read_duration(request: HttpRequest) -> timedelta | None:
    text = request.find_header(names.DEADLINE)
    if text is None:
        return None
    try:
        return timedelta(milliseconds=float(text))
    except (ValueError, OverflowError):
        raise InvalidInputError(f"{names.DEADLINE} is {text!r}") from None


def _find_affinity(request: HttpRequest) -> str | None:
    cookie = request.find_header("cookie")
    if cookie is None:
        return None
    try:
        found = SimpleCookie(cookie).get(names.AFFINITY_COOKIE)
    except CookieError:
        return None
    return None if found is None else found.value


def _read_shape(request: HttpRequest) -> InferenceWorkload | None:
    usage = request.find_header(names.TOKEN_USAGE)
    if usage is None:
        return None
    model = request.find_header(names.MODEL) or ""
    try:
        n_prompt, n_output = (_read_count(word) for word in usage.split(","))
        parts = tuple(
            _read_part(word, model)
            for word in (request.find_header(names.PROMPT_PARTS) or "").split(",")
            if word.strip()
        )
    except ValueError:
        raise InvalidInputError(f"{names.TOKEN_USAGE} is {usage!r}") from None
    return InferenceWorkload(n_prompt, n_output, _read_hint(request, n_output), parts)


def _read_count(word: str) -> int:
    """Return a count of tokens; raise ValueError for anything else."""
    count = int(word)
    if count < 0:
        # A negative count would free budget that other turns have reserved.
        raise ValueError(f"{word!r} is negative")
    return count


def _read_hint(request: HttpRequest, n_output: int) -> int:
    """Return the expected output; a hint is often off and never binding."""
    hint = request.find_header(names.LENGTH_HINT) or ""
    return min(int(hint), n_output) if hint.isdecimal() else n_output // 2


def _read_part(word: str, model: str) -> PromptPart:
    identifier, _, n_tokens = word.strip().partition(":")
    return make_part(model, identifier, _read_count(n_tokens))


def make_part(model: str, identifier: str, n_tokens: int) -> PromptPart:
    """Return a part; what was read for one model serves no other."""
    return PromptPart(f"{model}/{identifier.lower()}", n_tokens)


def _read_turn(request: HttpRequest) -> ProgramTurn | None:
    program = request.find_header(names.PROGRAM)
    budget = request.find_header(names.TOKEN_BUDGET)
    previous = request.find_header(names.PREVIOUS_TURN)
    if program is None or (budget is None and previous is None):
        # Calls of tools carry the program's id too, but spend no tokens.
        return None
    if budget is not None and not budget.isdecimal():
        raise InvalidInputError(f"{names.TOKEN_BUDGET} is {budget!r}")
    return ProgramTurn(
        ProgramId(program),
        None if budget is None else int(budget),
        None if previous is None else RequestId(previous),
    )


def make_platform_dialect() -> PlatformDialect:
    """Return the translation of requests and answers."""
    return PlatformDialect()
