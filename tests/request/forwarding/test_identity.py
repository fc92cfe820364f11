"""Guard against requests without a known key, and against shared records."""

from datetime import timedelta

from msgspec.structs import replace

from oleanderhitch.connection.http.messages import HttpRequest
from oleanderhitch.platform.requests import make_platform_dialect
from oleanderhitch.platform.routing import parse_route_table
from oleanderhitch.request.forwarding.core import handle
from oleanderhitch.request.forwarding.identity import (
    ANONYMOUS,
    CallerIdentity,
    get_rank,
    identify_caller,
)
from oleanderhitch.request.forwarding.messages import (
    ReserveTokens,
    SendToEndpoint,
    Start,
)
from oleanderhitch.version.routes.configuration import RouteTable
from tests.platform.test_requests import ENDPOINT
from tests.platform.test_routing import encode, make_configuration
from tests.request.forwarding.test_core import NOW, make_state

DIALECT = make_platform_dialect()


def make_table(is_public: bool = False) -> RouteTable:
    """Return a table with two accounts."""
    configuration = make_configuration(
        tenants=[
            {"name": "desk", "api_keys": ["k1"], "priority": 0},
            {"name": "shop", "api_keys": ["k2"]},
        ]
    )
    for route in configuration["routes"]:
        route["public"] = is_public
    return parse_route_table(encode(configuration))


def identify(table: RouteTable, *headers: tuple[str, str]) -> CallerIdentity | None:
    """Return the identity of a caller that sends these headers."""
    required_headers = (("host", "h.example"), ("x-request-id", "q"))
    http = HttpRequest("POST", "/a/x", (*required_headers, *headers), b"")
    route = table.find_route("h.example", "/a/x")
    assert route is not None
    return identify_caller(DIALECT.read_request(http), route, table)


def test_request_without_a_known_key_has_no_identity() -> None:
    """Guard against serving callers without a key, or with two of them."""
    table = make_table()
    assert identify(table) is None
    assert identify(table, ("authorization", "Token nothing")) is None
    assert identify(table, ("authorization", "Bearer k1")) is None
    twice = (("authorization", "Token k1"), ("authorization", "Token k2"))
    assert identify(table, *twice) is None


def test_key_identifies_the_account() -> None:
    """Guard against another account's identity."""
    identity = identify(make_table(), ("authorization", "token k2"))
    assert identity is not None
    assert identity.account_id == "shop"


def test_public_route_needs_no_key() -> None:
    """Guard against refusing callers of public routes."""
    table = make_table(is_public=True)
    identity = identify(table, ("authorization", "Token nothing"))
    assert identity is not None
    assert identity.account_id is None
    assert identity.is_checked


def test_no_key_is_needed_without_accounts() -> None:
    """Guard against refusals on deployments whose configuration has no accounts."""
    table = parse_route_table(encode(make_configuration()))
    assert identify(table) == ANONYMOUS


def test_rank_of_an_account_goes_before_that_of_the_route() -> None:
    """Guard against serving an account by the urgency of the route."""
    table = make_table()
    route = table.find_route("h.example", "/a/x")
    assert route is not None
    ranks = [
        get_rank(identity, route)
        for key in ("k1", "k2")
        if (identity := identify(table, ("authorization", f"Token {key}"))) is not None
    ]
    assert ranks == [0, 1]


def test_accounts_share_no_records() -> None:
    """Guard against a turn that continues one of another account."""
    table = make_table()
    commands = []
    for key in ("k1", "k2"):
        state = make_state(keeps_history=True, is_turn=True)
        identity = identify(table, ("authorization", f"Token {key}"))
        assert identity is not None
        state.identity = identity
        (effect,) = handle(Start(), state, NOW)
        assert isinstance(effect, ReserveTokens)
        commands.append(effect.command)
    first, second = commands
    assert first.request != second.request
    assert first.program != second.program
    assert first.previous != second.previous


def test_endpoint_sees_the_account_and_not_the_key() -> None:
    """Guard against passing keys on, and against accounts that callers claim."""
    table = make_table()
    headers = (
        ("host", "h.example"),
        ("x-request-id", "q"),
        ("authorization", "Token k1"),
        ("x-tenant", "shop"),
        ("x_tenant", "shop"),
    )
    http = HttpRequest("POST", "/a/x", headers, b"")
    request = DIALECT.read_request(http)
    identity = identify(table, ("authorization", "Token k1"))
    assert identity is not None
    send = SendToEndpoint(
        1, ENDPOINT, b"", timedelta(seconds=1), None, 0, identity.account_id, True
    )
    sent = DIALECT.make_endpoint_request(request, send)
    names = [(name, value) for name, value in sent.headers if "tenant" in name]
    assert names == [("x-tenant", "desk")]
    assert "k1" not in str(sent.headers)
    untouched = DIALECT.make_endpoint_request(
        request, replace(send, account=None, hides_credentials=False)
    )
    assert ("authorization", "Token k1") in untouched.headers
