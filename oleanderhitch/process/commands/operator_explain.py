"""Show where a request would go now, and why, without sending it."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import ClassVar
from urllib.parse import SplitResult, urlsplit

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from oleanderhitch.connection.http.messages import Headers, HttpRequest
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.commands.operator_base import (
    JSON_OPTION,
    ExitCode,
    OperatorCommand,
)
from oleanderhitch.process.explaining.messages import (
    BODY_LIMIT_BYTES,
    AccountShare,
    ExplainedEndpoint,
    ExplainRequest,
    Explanation,
    Fact,
)
from oleanderhitch.process.explaining.states import ExplainVerdict
from oleanderhitch.program.ids import AccountId

EXIT_CODES = {
    verdict: ExitCode.OK if verdict is ExplainVerdict.SENT else ExitCode[verdict.name]
    for verdict in ExplainVerdict
}
# What would be refused ends with this exit code or a higher one.
FIRST_REFUSAL_CODE = ExitCode.UNKNOWN_ROUTE
# HTTP sends each character of a header as a byte.
LATIN_SIZE = 256
# Marks the value of --header as the name of a file with headers.
FILE_MARK = "@"
HELP = "Exit codes: " + ", ".join(
    f"{int(code)} {verdict.value}" for verdict, code in EXIT_CODES.items()
)


class ExplainCommand(OperatorCommand):
    """Asks an entry host what it would do with a request of a caller."""

    name = "explain"
    description = "Show where a request would go now, and why, without sending it."
    help = (
        f"{HELP}; {int(ExitCode.ERROR)} for an invalid argument and "
        f"{int(ExitCode.UNREACHABLE)} if the host can't be reached."
    )
    arguments: ClassVar[list[Argument]] = [
        argument("method", "Method, such as POST."),
        argument("url", "URL as a caller sends it, such as http://HOST/PATH."),
    ]
    options: ClassVar[list[Option]] = [
        JSON_OPTION,
        option("entry", None, "Entry host as IP:PORT for other nodes.", flag=False),
        option("key-file", None, "File with the shared key.", flag=False),
        option(
            "header",
            None,
            "Header as 'NAME: VALUE', or @FILE with one in each line, such as one with "
            "the key of an account.",
            flag=False,
            multiple=True,
        ),
        option("body", None, "File with the body.", flag=False),
        option("account", None, "Account, instead of one of its keys.", flag=False),
    ]

    def run_command(self) -> ExitCode:
        """Ask the host; raise InvalidInputError or UnavailableError."""
        entry = self.option("entry")
        if not entry:
            raise InvalidInputError("expected --entry IP:PORT, got none")
        account = self.option("account")
        request = ExplainRequest(
            1, self._make_request(), AccountId(account) if account else None
        )
        explanation = self.dependencies.send_explain_request(
            HostAddress(entry), self.get_key_file(), request
        )
        self.write_result(
            {"explanation": explanation}, list(format_explanation(explanation))
        )
        return EXIT_CODES[explanation.verdict]

    def _make_request(self) -> HttpRequest:
        method = self.argument("method").upper()
        if not method.isascii() or not method.isalpha():
            raise InvalidInputError("expected a method such as POST")
        url = _parse_url(self.argument("url"))
        target = url.path or "/"
        if url.query:
            target = f"{target}?{url.query}"
        headers = tuple(_read_headers(self.option("header")))
        body_file = self.option("body")
        body = b"" if not body_file else _read_file(body_file)
        if len(body) > BODY_LIMIT_BYTES:
            raise InvalidInputError(
                f"body has {len(body)} bytes; at most {BODY_LIMIT_BYTES} are allowed"
            )
        return HttpRequest(
            method,
            target,
            (("host", url.netloc), *headers),
            body,
        )


def _parse_url(text: str) -> SplitResult:
    error = InvalidInputError(
        "expected a URL in the form http://HOST/PATH, with %XX for spaces and for "
        "characters outside of ASCII"
    )
    try:
        url = urlsplit(text)
    except ValueError:
        raise error from None
    is_http = url.scheme == "http" and url.netloc and "@" not in url.netloc
    if not is_http or not text.isascii() or text.split() != [text]:
        raise error
    return url


def _read_headers(options: Iterable[str]) -> Headers:
    """Return headers; errors do not contain them, since one may hold a key."""
    lines: list[str] = []
    for value in options:
        if value.startswith(FILE_MARK):
            content = _read_file(value.removeprefix(FILE_MARK))
            lines.extend(content.decode("latin-1").splitlines())
        else:
            lines.append(value)
    headers = []
    for number, line in enumerate(lines, 1):
        name, separator, value = line.partition(":")
        is_header = separator and name.strip() and name.isascii()
        if line.strip() and not (is_header and _is_latin(value)):
            raise InvalidInputError(
                f"header {number}: expected the form NAME: VALUE, with the characters "
                "of ASCII in the name and of Latin-1 in the value"
            )
        if line.strip():
            headers.append((name.strip().lower(), value.strip()))
    return tuple(headers)


def _is_latin(text: str) -> bool:
    return all(ord(character) < LATIN_SIZE for character in text)


def _read_file(name: str) -> bytes:
    try:
        return Path(name).read_bytes()
    except OSError as error:
        raise InvalidInputError(f"{name} is not readable: {error.strerror}") from None


def format_explanation(explanation: Explanation) -> Iterator[str]:
    """Yield the lines for people."""
    detail = f": {explanation.detail}" if explanation.detail else ""
    yield f"verdict: {explanation.verdict.value}{detail}"
    yield f"host: {explanation.host}"
    if explanation.version is not None:
        yield f"configuration in force: version {explanation.version}"
    if explanation.service is not None:
        yield f"route: {explanation.route}, service {explanation.service}"
    if explanation.verdict is ExplainVerdict.QUEUED:
        yield f"requests ahead: {explanation.n_ahead}"
    wait = explanation.expected_wait
    if explanation.service is not None or wait is not None:
        wait_ms = None if wait is None else wait.total_seconds() * 1000
        is_refused = EXIT_CODES[explanation.verdict] >= FIRST_REFUSAL_CODE
        label = "retry after" if is_refused else "expected wait"
        yield f"{label}: {_format_ms(wait_ms)}"
    if explanation.share is not None:
        yield _format_share(explanation.share)
    if explanation.unchecked:
        names = ", ".join(unchecked.value for unchecked in explanation.unchecked)
        yield f"not known to this host: {names}"
    if explanation.facts:
        yield f"ages: {_format_facts(explanation.facts)}"
    for endpoint in explanation.endpoints:
        yield from _format_endpoint(endpoint)
    if explanation.n_omitted:
        yield f"and {explanation.n_omitted} more endpoints"


def _format_share(share: AccountShare) -> str:
    parts = [f"account: {share.account or 'none'}"]
    if share.n_accounts:
        parts.append(f"{share.n_running} running and {share.n_waiting} waiting here")
    if share.n_accounts and share.account is not None:
        relation = "more than" if share.is_over else "within"
        parts.append(
            f"{relation} its equal share of {share.n_equal:.1f} "
            f"({share.n_accounts} accounts)"
        )
    if share.requests_per_s is not None:
        parts.append(f"{share.requests_per_s:g} requests a second")
    if share.n_credits is not None:
        parts.append(f"{share.n_credits} credits held")
    return ", ".join(parts)


def _format_endpoint(endpoint: ExplainedEndpoint) -> Iterator[str]:
    mark = "-> " if endpoint.is_chosen else "   "
    reason = "" if endpoint.exclusion is None else f", {endpoint.exclusion.value}"
    yield (
        f"{mark}{endpoint.endpoint} in {endpoint.data_centre}: "
        f"{_format_ms(endpoint.total_ms)}, {endpoint.n_running} of "
        f"{endpoint.n_slots} slots{reason}"
    )
    costs = ", ".join(
        f"{cost.part.value} {cost.cost_ms:.1f}"
        for cost in endpoint.costs
        if cost.cost_ms
    )
    if costs:
        yield f"     cost in ms: {costs}"
    known = [fact for fact in endpoint.facts if fact.age_ms is not None]
    if known:
        yield f"     ages: {_format_facts(known)}"


def _format_facts(facts: Iterable[Fact]) -> str:
    return ", ".join(f"{fact.kind.value} {_format_ms(fact.age_ms)}" for fact in facts)


def _format_ms(time_ms: float | None) -> str:
    return "unknown" if time_ms is None else f"{time_ms:.1f} ms"
