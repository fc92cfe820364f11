"""Interface that a front end implements to have its requests forwarded."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from oleanderhitch.connection.http.messages import (
    Headers,
    HttpRequest,
    HttpResponse,
    ResponseOwner,
)
from oleanderhitch.request.forwarding.messages import (
    EndpointResponseHead,
    ForwardRequest,
    SendToEndpoint,
)
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.ids import RequestId


class Dialect(Protocol):
    """Translates between a front end's HTTP API and typed values."""

    def read_request(self, request: HttpRequest) -> ForwardRequest:
        """Parse a caller's request; raise InvalidInputError if it is malformed."""

    def read_response_head(self, status: int, headers: Headers) -> EndpointResponseHead:
        """Interpret the status and headers of an endpoint's response."""

    def make_owner_finder(
        self, request: RequestId
    ) -> Callable[[Headers], ResponseOwner]:
        """Return a function that tells from its headers whose response one is."""

    def make_endpoint_request(
        self, request: ForwardRequest, send: SendToEndpoint
    ) -> HttpRequest:
        """Return the request to send to an endpoint."""

    def make_verdict(
        self,
        request: RequestId | None,
        verdict: Verdict,
        detail: str,
        time_left: timedelta,
        retry_after: timedelta | None = None,
    ) -> HttpResponse:
        """Return the response for a verdict.

        `retry_after` is when a retry can succeed, None if that is not known.
        """
