"""Define what a front end must translate for the requests that it forwards."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from oleanderhitch.connection.http.messages import Headers, HttpRequest, HttpResponse
from oleanderhitch.request.forwarding.messages import AnswerHead, ForwardRequest, Send
from oleanderhitch.request.forwarding.states import Verdict
from oleanderhitch.request.ids import RequestId


class Dialect(Protocol):
    """Translate between HTTP as callers and endpoints speak it and typed values."""

    def read_request(self, request: HttpRequest) -> ForwardRequest:
        """Return a caller's request; raise InvalidInputError."""

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Return the head of an endpoint's answer."""

    def make_answer_check(self, request: RequestId) -> Callable[[Headers], bool]:
        """Return a check whether an answer belongs to a request."""

    def make_endpoint_request(self, request: ForwardRequest, send: Send) -> HttpRequest:
        """Return the request that an endpoint gets."""

    def make_verdict(
        self,
        request: RequestId | None,
        verdict: Verdict,
        detail: str,
        time_left: timedelta,
    ) -> HttpResponse:
        """Return the answer that stands for a verdict."""
