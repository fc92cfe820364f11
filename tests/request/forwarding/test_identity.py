"""Guard against requests without a known key, and against shared records."""

from datetime import timedelta

import pytest
from msgspec.structs import replace

from oleanderhitch.connection.http.messages import HttpRequest
from oleanderhitch.platform.requests import make_platform_dialect
from oleanderhitch.platform.routing import parse_route_table
from oleanderhitch.process.placement.messages import AttemptResult, EndpointGranted
from oleanderhitch.process.site.subscription.lease import LeaseState
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.forwarding.core import handle
from oleanderhitch.request.forwarding.identity import (
    ANONYMOUS,
    CallerIdentity,
    find_departure_fault,
    get_rank,
    identify_caller,
    judge_arrival,
    qualify_request,
    qualify_turn,
)
from oleanderhitch.request.forwarding.messages import (
    AbortResponse,
    GrantBarred,
    ProgramTurn,
    ReserveTokens,
    ReturnPermit,
    SendToEndpoint,
    SendVerdict,
    Start,
)
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.ids import HolderId, PermitId, RequestId
from oleanderhitch.version.routes.accounts import Account, make_key_digest
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


def judge(
    table: RouteTable, lease: LeaseState, key: str, path: str = "/a/x"
) -> CallerIdentity | Verdict:
    """Return how a request with a key is judged on arrival."""
    headers = (("host", "h.example"), ("x-request-id", "q"))
    if key:
        headers = (*headers, ("authorization", f"Token {key}"))
    request = DIALECT.read_request(HttpRequest("POST", path, headers, b""))
    judged = judge_arrival(request, table, lease)
    return judged if isinstance(judged, Verdict) else judged.identity


def test_arrival_without_a_lease_is_neither_served_nor_denied() -> None:
    """Guard against removed keys that are served, and new ones that are refused."""
    table = make_table()
    assert judge(table, LeaseState.LAPSED, "k1") is Verdict.NOT_CURRENT
    for lease in (LeaseState.LAPSED, LeaseState.VALID):
        assert judge(table, lease, "new") is Verdict.NOT_CURRENT
        assert judge(table, lease, "k1", "/new") is Verdict.NOT_CURRENT
    assert isinstance(judge(table, LeaseState.VALID, "k1"), CallerIdentity)
    assert judge(table, LeaseState.FRESH, "new") is Verdict.UNAUTHORIZED
    assert judge(table, LeaseState.FRESH, "k1", "/new") is Verdict.NO_ROUTE


def test_requests_that_need_no_key_need_no_lease() -> None:
    """Guard against refusals of public requests while no store answers."""
    public = make_table(is_public=True)
    assert isinstance(judge(public, LeaseState.LAPSED, ""), CallerIdentity)
    assert judge(public, LeaseState.LAPSED, "k1") is Verdict.NOT_CURRENT
    unkeyed = parse_route_table(encode(make_configuration()))
    assert judge(unkeyed, LeaseState.LAPSED, "k1") == ANONYMOUS
    assert judge(unkeyed, LeaseState.LAPSED, "k1", "/new") is Verdict.NO_ROUTE


@pytest.mark.parametrize(
    ("key", "lease", "fault"),
    [
        ("k1", LeaseState.VALID, None),
        ("k1", LeaseState.LAPSED, Verdict.NOT_CURRENT),
        ("removed", LeaseState.VALID, Verdict.UNAUTHORIZED),
        ("removed", LeaseState.LAPSED, Verdict.NOT_CURRENT),
        # The key belongs to another account than on arrival.
        ("k2", LeaseState.VALID, Verdict.UNAUTHORIZED),
    ],
)
def test_departure_needs_the_key_and_a_lease(
    key: str, lease: LeaseState, fault: Verdict | None
) -> None:
    """Guard against sending what waited while its key was removed."""
    table = make_table()
    identity = identify(table, ("authorization", "Token k1"))
    assert identity is not None
    request = replace(make_state().request, key=make_key_digest(key))
    route = table.find_route("h.example", "/a/x")
    assert route is not None
    for newest, expected in (
        (table, fault),
        (parse_route_table(encode(make_configuration())), None),
    ):
        assert find_departure_fault(request, identity, route, newest, lease) is expected
    assert find_departure_fault(request, ANONYMOUS, route, table, lease) is None


@pytest.mark.parametrize(
    ("n_runs", "verdict"), [(0, Verdict.UNAUTHORIZED), (1, Verdict.OUTCOME_UNKNOWN)]
)
def test_barred_request_is_not_sent(n_runs: int, verdict: Verdict) -> None:
    """Guard against a 401 for a request that may have run, and a kept permit."""
    state = make_state(n_attempts=2)
    handle(Start(), state, NOW)
    state.n_runs = n_runs
    grant = EndpointGranted(state.holder, PermitId(1), ENDPOINT)
    effects = handle(GrantBarred(grant, Verdict.UNAUTHORIZED), state, NOW)
    assert ReturnPermit(grant.permit, AttemptResult.UNSENT) in effects
    verdicts = [effect.verdict for effect in effects if isinstance(effect, SendVerdict)]
    assert verdicts == [verdict]
    assert not any(isinstance(effect, SendToEndpoint) for effect in effects)
    assert state.has_ended


def test_barred_stream_is_cut() -> None:
    """Guard against a second head in a response that has begun."""
    state = make_state(n_attempts=2)
    handle(Start(), state, NOW)
    state.n_runs, state.has_started_response = 1, True
    grant = EndpointGranted(state.holder, PermitId(1), ENDPOINT)
    effects = handle(GrantBarred(grant, Verdict.NOT_CURRENT), state, NOW)
    assert AbortResponse() in effects
    other = replace(grant, holder=HolderId("other"))
    assert handle(GrantBarred(other, Verdict.NOT_CURRENT), state, NOW) == []


# Guards against stores that end for memory by the ids that callers choose.
@pytest.mark.parametrize("account", [None, "desk"])
def test_long_ids_are_recorded_by_their_digests(account: str | None) -> None:
    """Record short ids as they are, long ones shortly, and no two alike."""
    identity = ANONYMOUS
    if account is not None:
        identity = CallerIdentity(Account(AccountId(account), ()), True)
    ids = ["p", "p" * 128, "p" * 129, "p" * 15_000, "p" * 15_000 + "q"]
    recorded = set()
    for caller_id in ids:
        request = qualify_request(RequestId(caller_id), identity)
        turn = qualify_turn(
            ProgramTurn(ProgramId(caller_id), None, RequestId(caller_id)), identity
        )
        assert turn is not None
        assert turn.program == turn.previous == request
        assert len(request) < 150
        recorded.add(request)
    assert len(recorded) == len(ids)
    assert any(request.endswith("p" * 128) for request in recorded)
