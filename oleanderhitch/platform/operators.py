"""Translation of the platform's operator API, which every store serves."""

import json
from functools import singledispatch

from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform.routing import parse_routing
from oleanderhitch.process.repair.messages import (
    GetRetirement,
    RetireStore,
    StoreStandingFound,
    StoreUnknown,
    TooFewStores,
)
from oleanderhitch.process.repair.states import StoreStanding
from oleanderhitch.process.site.messages import (
    GetRouting,
    PublishRouting,
    RoutingAccepted,
    RoutingFound,
)
from oleanderhitch.process.site.operators import OperatorRequest
from oleanderhitch.version.ids import HostName
from oleanderhitch.version.routes.ids import NO_ROUTING

CONFIGURATION_PATH = "/-/config"
RETIREMENT_PATH = "/-/retire/"
JSON_TYPE = ("content-type", "application/json")
RETIREMENT_STATES = {
    StoreStanding.ACTIVE: "running",
    StoreStanding.RETIRING: "running",
    StoreStanding.RETIRED: "completed",
}


class PlatformOperatorDialect:
    """Operator dialect of the platform."""

    def __init__(self, n_stores_min: int) -> None:
        self._n_stores_min = n_stores_min

    def read_call(self, request: HttpRequest) -> OperatorRequest | HttpResponse:
        """Return the request to the group, or the response to an invalid call."""
        call = (request.method, request.path)
        if call == ("GET", CONFIGURATION_PATH):
            return OperatorRequest(GetRouting(), True)
        if call == ("PUT", CONFIGURATION_PATH):
            return _parse_publish(request.body)
        if request.path.startswith(RETIREMENT_PATH):
            host = HostName(request.path.removeprefix(RETIREMENT_PATH))
            if request.method == "GET":
                return OperatorRequest(GetRetirement(host), True)
            if request.method == "POST":
                return OperatorRequest(RetireStore(host, self._n_stores_min), False)
        return _make_json_response(404, {"error": "no such call"})

    def make_response(self, result: object) -> HttpResponse:
        """Return the response for a result of the group."""
        return _make_result_response(result)

    def make_unavailable_response(self, reason: str) -> HttpResponse:
        """Return the response to a call that got no result in time."""
        return _make_json_response(503, {"error": reason})


def _parse_publish(content: bytes) -> OperatorRequest | HttpResponse:
    try:
        configuration = parse_routing(content)
    except InvalidInputError as error:
        return _make_json_response(400, {"error": str(error)})
    return OperatorRequest(PublishRouting(configuration.version, content), False)


@singledispatch
def _make_result_response(result: object) -> HttpResponse:
    return _make_json_response(503, {"error": str(result)})


@_make_result_response.register
def _(result: RoutingAccepted) -> HttpResponse:
    return _make_json_response(200, {"version": result.version})


@_make_result_response.register
def _(result: RoutingFound) -> HttpResponse:
    if result.version == NO_ROUTING:
        return _make_json_response(503, {"error": "no configuration was accepted yet"})
    return HttpResponse(200, result.content, (JSON_TYPE,))


@_make_result_response.register
def _(result: StoreStandingFound) -> HttpResponse:
    return _make_json_response(200, {"state": RETIREMENT_STATES[result.standing]})


@_make_result_response.register
def _(result: StoreUnknown) -> HttpResponse:
    return _make_json_response(404, {"error": "no such store"})


@_make_result_response.register
def _(result: TooFewStores) -> HttpResponse:
    return _make_json_response(
        409, {"error": f"only {result.n_left} stores would be left"}
    )


def _make_json_response(status: int, content: dict[str, object]) -> HttpResponse:
    return HttpResponse(status, json.dumps(content).encode(), (JSON_TYPE,))


def make_platform_operator_dialect(n_losses_tolerated: int) -> PlatformOperatorDialect:
    """Return the platform's dialect of operator calls.

    A group that tolerates the loss of n stores needs 2 n + 1 stores.
    """
    return PlatformOperatorDialect(2 * n_losses_tolerated + 1)
