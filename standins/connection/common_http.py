"""Routes and helpers of both stand-ins, among them those that inject faults."""

import json
import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import bottle
from gevent.event import Event
from gevent.pywsgi import WSGIHandler

from oleanderhitch.process.mailbox import Address, Mailbox, make_mailbox
from standins.request.messages import Response, SetFault
from standins.request.states import FaultKind

_SOCKET_KEY = "standins.socket"
REPLY_TIMEOUT = timedelta(seconds=10)


class RequestCounter:
    """Counts the requests in progress; keep-alive connections alone don't count."""

    def __init__(self) -> None:
        self._n_in_progress = 0
        self._idle = Event()
        self._idle.set()

    def start(self) -> None:
        """Add a request that is in progress."""
        self._n_in_progress += 1
        self._idle.clear()

    def finish(self) -> None:
        """Remove a request that has ended, with or without a response."""
        self._n_in_progress -= 1
        if self._n_in_progress == 0:
            self._idle.set()

    def wait_until_idle(self, timeout: timedelta) -> bool:
        """Wait until no request is in progress; return whether that is so."""
        return bool(self._idle.wait(timeout.total_seconds()))


class SocketHandler(WSGIHandler):  # type: ignore[misc]
    """Gives request handlers access to their socket, so that they can inject faults.

    Sets TCP_NODELAY so that each chunk of an answer is sent immediately. With Nagle's
    algorithm a chunk waits until the caller's host acknowledges the preceding one,
    which it delays by 40 ms.
    """

    def __init__(self, accepted: socket.socket, remote: object, server: object) -> None:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(accepted, remote, server)

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the socket added."""
        environ: dict[str, Any] = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        return environ

    def handle_one_response(self) -> None:
        """Serve one request and count it while it is in progress."""
        counter: RequestCounter = self.server.request_counter
        counter.start()
        try:
            super().handle_one_response()
        finally:
            counter.finish()


def drop_connection() -> None:
    """Close the connection of the current request without a (complete) response."""
    bottle.request.environ[_SOCKET_KEY].shutdown(socket.SHUT_RDWR)


def wait_for_disconnect() -> None:
    """Block until the client closes the connection."""
    bottle.request.environ[_SOCKET_KEY].recv(1)


def send_request(address: Address, make_message: Callable[[Mailbox], object]) -> object:
    """Send a message with a reply mailbox to a task; return the reply, None if late."""
    reply_mailbox = make_mailbox("reply")
    address.send(make_message(reply_mailbox))
    return reply_mailbox.receive(REPLY_TIMEOUT)


def write_response(response: object) -> str:
    """Set the status of the HTTP response and return its body; 503 without a reply."""
    if not isinstance(response, Response):
        bottle.response.status = 503
        return json.dumps({"error": "the stand-in did not answer in time"})
    bottle.response.status = response.status
    bottle.response.content_type = "application/json"
    return json.dumps(response.body)


def read_json() -> dict[str, Any]:
    """Return the request's JSON object; abort with 400 on anything else."""
    try:
        body = json.load(bottle.request.body)
    except ValueError:
        body = None
    if isinstance(body, dict):
        return body
    raise bottle.HTTPError(400, "the body must be a JSON object")


def add_common_routes(app: bottle.Bottle, address: Address) -> None:
    """Add the routes that both stand-ins have: health check and fault injection."""

    @app.get("/healthz")
    def _() -> str:
        return "ok\n"

    @app.post("/v1/faults")
    def _() -> dict[str, object]:
        body = read_json()
        try:
            kind = FaultKind(body.get("kind"))
        except ValueError:
            kinds = ", ".join(member.value for member in FaultKind)
            bottle.abort(400, f"kind must be one of {kinds}")
        n_requests = body.get("n_requests")
        address.send(
            SetFault(
                kind,
                float(body.get("factor", 1.0)),
                None if n_requests is None else int(n_requests),
                int(body.get("after_pieces", 0)),
            )
        )
        return {"kind": kind.value}
