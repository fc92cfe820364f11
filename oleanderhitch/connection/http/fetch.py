"""Send a single request over a new connection."""

from datetime import timedelta

import gevent

from oleanderhitch.connection.http.endpoint import Exchange, make_endpoint_connection
from oleanderhitch.connection.http.messages import (
    ExchangeFailed,
    Headers,
    HttpRequest,
    HttpResponse,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
    ResponseOwner,
)
from oleanderhitch.connection.http.rendering import render_request
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.mailbox import Mailbox, make_mailbox

# Several times what a list of 6,900 endpoints takes.
BODY_LIMIT_BYTES = 8 * 1024 * 1024


def fetch(
    address: HostAddress, request: HttpRequest, timeout: timedelta
) -> HttpResponse:
    """Return the complete response; raise UnavailableError on a failure or timeout."""
    mailbox = make_mailbox(f"fetch {address}")
    connection = make_endpoint_connection(address, mailbox)
    timeout_error = UnavailableError(f"{address} did not answer within {timeout}")
    try:
        with gevent.Timeout(timeout.total_seconds(), timeout_error):
            connection.start()
            request_bytes = render_request(request)
            connection.send(Exchange(0, request_bytes, mailbox, _find_owner))
            return _collect_response(mailbox)
    finally:
        connection.cancel()


def _find_owner(headers: Headers) -> ResponseOwner:
    # The connection is new and has this exchange only.
    return ResponseOwner.THIS_REQUEST


def _collect_response(mailbox: Mailbox) -> HttpResponse:
    head = ResponseHead(0, 0)
    body = bytearray()
    while True:
        message = mailbox.receive()
        if isinstance(message, ResponseHead):
            head = message
        elif isinstance(message, ResponseBody):
            body += message.data
            if len(body) > BODY_LIMIT_BYTES:
                raise UnavailableError(f"the body exceeds {BODY_LIMIT_BYTES} bytes")
        elif isinstance(message, ResponseEnd):
            return HttpResponse(head.status, bytes(body), head.headers)
        elif isinstance(message, ExchangeFailed):
            raise UnavailableError(message.reason)
