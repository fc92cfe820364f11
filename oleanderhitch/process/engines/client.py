"""Call engines over HTTP in a pool of greenlets."""

import json
from datetime import timedelta
from functools import singledispatch
from typing import Any

import gevent
import logbook
import urllib3

from oleanderhitch.connection.endpoint.exceptions import ConnectFailedError
from oleanderhitch.connection.endpoint.transport import (
    limit_wait,
    open_response,
    read_whole,
)
from oleanderhitch.connection.exceptions import ConnectionLostError
from oleanderhitch.connection.http.memory import make_traffic_memory
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.engines.messages import (
    CachedProgramsRead,
    CacheEvent,
    CacheEventsRead,
    CacheReleased,
    CallEngine,
    EngineCallFailed,
    LoadedModelRead,
    LoadRead,
    OrderAccepted,
    OrderRefused,
    ReadCachedPrograms,
    ReadCacheEvents,
    ReadLoad,
    ReadLoadedModel,
    ReleaseCache,
    SendOrder,
)
from oleanderhitch.process.ids import Term
from oleanderhitch.process.mailbox import Address, Mailbox, make_mailbox
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.version.ids import ModelName

# An engine that doesn't respond blocks one greenlet per call until the timeout; each
# core has at most a few calls in progress per engine.
N_GREENLETS = 16
CONNECT_TIMEOUT = timedelta(milliseconds=500)
RESPONSE_TIMEOUT = timedelta(milliseconds=500)
# After this time the connection of a call is closed, so no byte of an order is sent
# later.
CALL_TIMEOUT = CONNECT_TIMEOUT + RESPONSE_TIMEOUT
RESPONSE_LIMIT_BYTES = 16 * 1024 * 1024
log = logbook.Logger("engines")


class EngineClient:
    """Sends the requests of one task to engines and the results to that task."""

    def __init__(
        self,
        reply_address: Address,
        pool_manager: urllib3.PoolManager,
        clock: Clock,
        mailbox: Mailbox,
    ) -> None:
        self._reply_address = reply_address
        self._pool_manager = pool_manager
        self._clock = clock
        self._mailbox = mailbox
        self._memory = make_traffic_memory()

    def send(self, message: object) -> None:
        """Enqueue a CallEngine; raise MailboxFullError if the mailbox is full."""
        self._mailbox.send(message)

    def start(self) -> None:
        """Start the greenlets."""
        for _ in range(N_GREENLETS):
            gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            message = self._mailbox.receive()
            if isinstance(message, CallEngine):
                try:
                    self._reply_address.send(self._call(message))
                except OleanderhitchError as error:
                    # The core retries the call after its own timeout.
                    log.warning(
                        "could not deliver the result of {}: {}", message.request, error
                    )

    def _call(self, call: CallEngine) -> object:
        try:
            return _call_engine(call.request, _EngineApi(call.address, self))
        except ConnectFailedError as error:
            return EngineCallFailed(call.request, False, str(error))
        except (OleanderhitchError, ValueError, KeyError, TypeError) as error:
            reason = f"{type(error).__name__}: {error}"
            return EngineCallFailed(call.request, True, reason)

    def send_request(
        self, address: str, method: str, path: str, body: object = None
    ) -> tuple[int, dict[str, Any]]:
        """Return the status and the JSON object of the response.

        Raise ConnectFailedError if the request was not sent, ConnectionLostError if no
        complete response arrived or it is not a JSON object, and ValueError if it is
        not JSON at all.
        """
        with limit_wait("engine", CALL_TIMEOUT):
            return self._send_request(address, method, path, body)

    def _send_request(
        self, address: str, method: str, path: str, body: object
    ) -> tuple[int, dict[str, Any]]:
        data = None if body is None else json.dumps(body).encode()
        response = open_response(
            self._pool_manager,
            method,
            f"http://{address}{path}",
            CONNECT_TIMEOUT,
            RESPONSE_TIMEOUT,
            data,
            {"Content-Type": "application/json"},
        )
        try:
            with self._memory.make_share() as share:
                content = read_whole(
                    response, RESPONSE_TIMEOUT, RESPONSE_LIMIT_BYTES, share
                )
        except BaseException:
            response.close()
            raise
        decoded = json.loads(content)
        if not isinstance(decoded, dict):
            raise ConnectionLostError("engine response is not a JSON object")
        return response.status, decoded

    def check_send_time(self, order: SendOrder) -> None:
        """Raise ConnectFailedError if a call could end after the order's `send_before`.

        The order then counts as not sent.
        """
        if self._clock.now() + CALL_TIMEOUT > order.send_before:
            raise ConnectFailedError(
                "order deadline is less than the call timeout away"
            )


class _EngineApi:
    """HTTP API of one engine."""

    def __init__(self, address: str, client: EngineClient) -> None:
        self._address = address
        self._client = client

    def get(self, path: str) -> dict[str, Any]:
        """Send a GET request; raise ConnectionLostError unless the status is 200."""
        return self._check_status(
            *self._client.send_request(self._address, "GET", path)
        )

    def post(self, path: str, body: object) -> dict[str, Any]:
        """Send a POST request; raise ConnectionLostError unless the status is 200."""
        return self._check_status(
            *self._client.send_request(self._address, "POST", path, body)
        )

    def post_order(self, order: SendOrder) -> tuple[int, dict[str, Any]]:
        """Send an order and return the status and the JSON object of the response.

        Raise ConnectFailedError if it was not sent in time.
        """
        self._client.check_send_time(order)
        body = {
            "fencing_number": order.fencing_number,
            "kind": order.kind.value,
            "name": order.name,
        }
        return self._client.send_request(self._address, "POST", "/v1/orders", body)

    def _check_status(self, status: int, body: dict[str, Any]) -> dict[str, Any]:
        if status != 200:
            raise ConnectionLostError(f"engine responded with status {status}")
        return body


@singledispatch
def _call_engine(request: object, api: _EngineApi) -> object:
    raise TypeError(f"client does not support request type {type(request).__name__}")


@_call_engine.register
def _(request: ReadLoad, api: _EngineApi) -> object:
    body = api.get("/v1/load")
    return LoadRead(
        request.endpoint,
        int(body["n_running"]),
        int(body["n_waiting"]),
        timedelta(milliseconds=float(body["age_ms"])),
    )


@_call_engine.register
def _(request: ReadCacheEvents, api: _EngineApi) -> object:
    body = api.get(f"/v1/cache/events?after={request.after}")
    events = tuple(
        CacheEvent(
            int(event["number"]),
            ProgramId(str(event["program"])),
            event["kind"] == "stored",
        )
        for event in body["events"]
    )
    return CacheEventsRead(request.endpoint, request.after, events, int(body["last"]))


@_call_engine.register
def _(request: ReadCachedPrograms, api: _EngineApi) -> object:
    body = api.get("/v1/cache/programs")
    programs = frozenset(ProgramId(str(program)) for program in body["programs"])
    return CachedProgramsRead(request.endpoint, programs)


@_call_engine.register
def _(request: ReleaseCache, api: _EngineApi) -> object:
    body = api.post("/v1/cache/release", {"program": request.program})
    is_released = bool(body.get("released", True))
    return CacheReleased(request.endpoint, request.program, is_released)


@_call_engine.register
def _(request: SendOrder, api: _EngineApi) -> object:
    status, body = api.post_order(request)
    if status == 409:
        return OrderRefused(request, Term(int(body.get("fencing_number", 0))))
    if status != 200:
        return EngineCallFailed(request, True, f"order answered with status {status}")
    return OrderAccepted(request)


@_call_engine.register
def _(request: ReadLoadedModel, api: _EngineApi) -> object:
    body = api.get("/v1/orders")
    loading = str(body.get("loading") or "")
    return LoadedModelRead(
        request.endpoint,
        request.requested_at,
        ModelName(str(body["model"])),
        ModelName(loading) if loading else None,
        Term(int(body["fencing_number"])),
    )


def make_engine_client(
    reply_address: Address, pool_manager: urllib3.PoolManager, clock: Clock
) -> EngineClient:
    """Return a client, not started yet, that sends results to `reply_address`."""
    return EngineClient(
        reply_address, pool_manager, clock, make_mailbox("engine-calls")
    )
