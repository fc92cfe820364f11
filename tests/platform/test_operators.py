"""Guard against orders that are acknowledged wrongly or refused wrongly."""

import json

from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse
from oleanderhitch.platform.operators import make_platform_operators
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

OPERATORS = make_platform_operators(1)


def call(method: str, target: str, body: bytes = b"") -> object:
    """Return what a call is read as."""
    return OPERATORS.read_call(HttpRequest(method, target, (), body))


def test_calls_are_decoded() -> None:
    """Each call asks the group for one thing."""
    content = encode(make_configuration())
    publish = PublishRouting(RoutingVersion(7), content)
    assert call("PUT", "/-/config", content) == OperatorRequest(publish, False)
    assert call("GET", "/-/config") == OperatorRequest(GetRouting(), True)
    retire = RetireStore(HostName("store-a-1"), 3)
    assert call("POST", "/-/retire/store-a-1") == OperatorRequest(retire, False)
    asked = GetRetirement(HostName("store-a-1"))
    assert call("GET", "/-/retire/store-a-1") == OperatorRequest(asked, True)


def test_invalid_configuration_is_refused_with_its_fault() -> None:
    """An invalid configuration must not reach the group."""
    answer = call("PUT", "/-/config", encode(make_configuration(routes=7)))
    assert isinstance(answer, HttpResponse)
    assert answer.status == 400
    assert b"routes" in answer.body


def test_results_have_their_statuses() -> None:
    """Operators decide by the status whether to send an order again."""
    statuses = {
        RoutingAccepted(RoutingVersion(7)): 200,
        StoreUnknown(): 404,
        TooFewStores(2): 409,
        CommandRefused("unreadable"): 503,
        EMPTY_ROUTING: 503,
    }
    for result, status in statuses.items():
        assert OPERATORS.make_answer(result).status == status
    assert OPERATORS.make_unavailable("no quorum").status == 503


def test_configuration_is_read_back_as_it_was_sent() -> None:
    """An operator compares what it reads with what it sent."""
    answer = OPERATORS.make_answer(RoutingFound(RoutingVersion(7), b'{"a": 1}'))
    assert (answer.status, answer.body) == (200, b'{"a": 1}')


def test_retirement_is_completed_only_when_it_is() -> None:
    """The host is taken away as soon as it is told."""
    states = {
        standing: json.loads(OPERATORS.make_answer(StoreStandingFound(standing)).body)
        for standing in StoreStanding
    }
    assert states[StoreStanding.RETIRING] == {"state": "running"}
    assert states[StoreStanding.RETIRED] == {"state": "completed"}
