"""Translate the operators' calls on a store."""

import json
from functools import singledispatch

from oleanderhitch.connection.http.messages import HttpRequest, HttpResponse
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform.routing import read_routing
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
STATES = {
    StoreStanding.ACTIVE: "running",
    StoreStanding.RETIRING: "running",
    StoreStanding.RETIRED: "completed",
}


class PlatformOperators:
    """Translate calls and answers as the platform's operators speak."""

    def __init__(self, n_stores_min: int) -> None:
        self._n_stores_min = n_stores_min

    def read_call(self, request: HttpRequest) -> OperatorRequest | HttpResponse:
        """Return what a call asks of the group, or the answer to a bad call."""
        call = (request.method, request.path)
        if call == ("GET", CONFIGURATION_PATH):
            return OperatorRequest(GetRouting(), True)
        if call == ("PUT", CONFIGURATION_PATH):
            return _read_publish(request.body)
        if request.path.startswith(RETIREMENT_PATH):
            host = HostName(request.path.removeprefix(RETIREMENT_PATH))
            if request.method == "GET":
                return OperatorRequest(GetRetirement(host), True)
            if request.method == "POST":
                return OperatorRequest(RetireStore(host, self._n_stores_min), False)
        return _make_response(404, {"error": "no such call"})

    def make_answer(self, result: object) -> HttpResponse:
        """Return the answer that stands for a result of the group."""
        return _make_answer(result)

    def make_unavailable(self, reason: str) -> HttpResponse:
        """Return the answer to a call that the group did not answer in time."""
        return _make_response(503, {"error": reason})


def _read_publish(content: bytes) -> OperatorRequest | HttpResponse:
    try:
        configuration = read_routing(content)
    except InvalidInputError as error:
        return _make_response(400, {"error": str(error)})
    return OperatorRequest(PublishRouting(configuration.version, content), False)


@singledispatch
def _make_answer(result: object) -> HttpResponse:
    return _make_response(503, {"error": str(result)})


@_make_answer.register
def _(result: RoutingAccepted) -> HttpResponse:
    return _make_response(200, {"version": result.version})


@_make_answer.register
def _(result: RoutingFound) -> HttpResponse:
    if result.version == NO_ROUTING:
        return _make_response(503, {"error": "no configuration was accepted yet"})
    return HttpResponse(200, result.content, (JSON_TYPE,))


@_make_answer.register
def _(result: StoreStandingFound) -> HttpResponse:
    return _make_response(200, {"state": STATES[result.standing]})


@_make_answer.register
def _(result: StoreUnknown) -> HttpResponse:
    return _make_response(404, {"error": "no such store"})


@_make_answer.register
def _(result: TooFewStores) -> HttpResponse:
    return _make_response(409, {"error": f"only {result.n_left} stores would be left"})


def _make_response(status: int, content: dict[str, object]) -> HttpResponse:
    return HttpResponse(status, json.dumps(content).encode(), (JSON_TYPE,))


def make_platform_operators(n_losses_tolerated: int) -> PlatformOperators:
    """Return the translation of operators' calls.

    A group that bears n losses needs 2 n + 1 stores.
    """
    return PlatformOperators(2 * n_losses_tolerated + 1)
