"""Guard against operator calls that get the wrong response."""

import json

from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse
from oleanderhitch.platform.operators import make_platform_operator_dialect
from oleanderhitch.process.repair.messages import (
    GetRetirement,
    RetireStore,
    StoreStandingFound,
    StoreUnknown,
    TooFewStores,
)
from oleanderhitch.process.repair.states import StoreStanding
from oleanderhitch.process.site.messages import (
    EMPTY_ROUTING,
    CommandRefused,
    GetRouting,
    PublishRouting,
    RoutingAccepted,
    RoutingFound,
)
from oleanderhitch.process.site.operators import OperatorRequest
from oleanderhitch.version.ids import HostName
from oleanderhitch.version.routes.ids import RoutingVersion
from tests.platform.test_routing import encode, make_configuration

OPERATOR_DIALECT = make_platform_operator_dialect(1)


def read_call(method: str, target: str, body: bytes = b"") -> object:
    """Return the request to the group that a call is parsed to, or a response."""
    return OPERATOR_DIALECT.read_call(HttpRequest(method, target, (), body))


def test_calls_are_decoded() -> None:
    """Guard against a call that is parsed to the wrong command or read."""
    content = encode(make_configuration())
    publish = PublishRouting(RoutingVersion(7), content)
    assert read_call("PUT", "/-/config", content) == OperatorRequest(publish, False)
    assert read_call("GET", "/-/config") == OperatorRequest(GetRouting(), True)
    retire = RetireStore(HostName("store-a-1"), 3)
    assert read_call("POST", "/-/retire/store-a-1") == OperatorRequest(retire, False)
    retirement = GetRetirement(HostName("store-a-1"))
    assert read_call("GET", "/-/retire/store-a-1") == OperatorRequest(retirement, True)


def test_invalid_configuration_is_rejected_with_its_fault() -> None:
    """Guard against proposing an invalid configuration to the group."""
    response = read_call("PUT", "/-/config", encode(make_configuration(routes=7)))
    assert isinstance(response, HttpResponse)
    assert response.status == 400
    assert b"routes" in response.body


def test_results_have_the_expected_statuses() -> None:
    """Guard against a wrong status, by which operators decide whether to retry."""
    statuses = {
        RoutingAccepted(RoutingVersion(7)): 200,
        StoreUnknown(): 404,
        TooFewStores(2): 409,
        CommandRefused("unreadable"): 503,
        EMPTY_ROUTING: 503,
    }
    for result, status in statuses.items():
        assert OPERATOR_DIALECT.make_response(result).status == status
    assert OPERATOR_DIALECT.make_unavailable_response("no quorum").status == 503


def test_configuration_is_returned_byte_for_byte() -> None:
    """Guard against returning a configuration that differs from the published one.

    Operators compare the two.
    """
    response = OPERATOR_DIALECT.make_response(
        RoutingFound(RoutingVersion(7), b'{"a": 1}')
    )
    assert (response.status, response.body) == (200, b'{"a": 1}')


def test_retirement_is_reported_completed_only_when_retired() -> None:
    """Guard against reporting a retirement as completed too early.

    The platform removes the host as soon as its retirement is completed.
    """
    states = {
        standing: json.loads(
            OPERATOR_DIALECT.make_response(StoreStandingFound(standing)).body
        )
        for standing in StoreStanding
    }
    assert states[StoreStanding.RETIRING] == {"state": "running"}
    assert states[StoreStanding.RETIRED] == {"state": "completed"}
