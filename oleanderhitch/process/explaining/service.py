"""Answer operators' calls for explanations over authenticated peer streams."""

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

import logbook

from oleanderhitch.connection.codec import Codec, make_codec
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer import messages as peer
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.messages import PeerMessage
from oleanderhitch.connection.peer.server import PeerServer, make_peer_server
from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.address import Address
from oleanderhitch.process.explaining import messages
from oleanderhitch.process.explaining.messages import (
    BODY_LIMIT_BYTES,
    ExplainRequest,
    Explanation,
)
from oleanderhitch.process.explaining.states import ExplainVerdict
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.mailbox import Mailbox
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter

# An operator has one stream, and a few may work at the same time.
N_OPERATOR_STREAMS = 4
# Peers that have not proved to be operators yet may send a frame, which is kept twice:
# 9 MB in all, where the smallest entry host has 128 MB.
FRAME_LIMIT_BYTES = BODY_LIMIT_BYTES + 64 * 1024
# Callers' paths are shorter; a frame has room for a path of a megabyte.
LOGGED_TARGET_LENGTH = 200
# Tasks answer within milliseconds unless the host is overloaded.
ANSWER_TIMEOUT = timedelta(seconds=1)

Answer = Callable[[ExplainRequest], Explanation]

log = logbook.Logger("operators")


Expected = TypeVar("Expected")


def ask_task(
    task: Address, question: object, mailbox: Mailbox, expected: type[Expected]
) -> Expected:
    """Return the reply of a task; raise UnavailableError if it does not answer."""
    task.send(question)
    reply = mailbox.receive(ANSWER_TIMEOUT)
    if reply is None or not isinstance(reply, expected):
        seconds = ANSWER_TIMEOUT.total_seconds()
        raise UnavailableError(f"a task of the host did not answer within {seconds} s")
    return reply


class ExplainService:
    """Answers one call at a time, since each delays the requests of the host."""

    def __init__(self, host: NodeId, answer: Answer, metrics: Metrics) -> None:
        self._host = host
        self._answer = answer
        self._metrics = metrics
        self._is_busy = False

    def serve(self, delivery: PeerMessage) -> None:
        """Answer a call in the greenlet of its stream."""
        request = delivery.message
        if not isinstance(request, ExplainRequest):
            log.warning("unexpected message type", type=type(request).__name__)
            return
        explanation = self._explain(request)
        log.info(
            "operator call answered",
            method="explain",
            target=request.request.path[:LOGGED_TARGET_LENGTH],
            status=explanation.verdict.value,
            operator=delivery.node,
        )
        self._metrics.count(Counter.OPERATOR_CALLS, explanation.verdict.value)
        delivery.reply_address.send(explanation)

    def _explain(self, request: ExplainRequest) -> Explanation:
        if self._is_busy:
            return self._make_busy(request, "the host explains another request")
        self._is_busy = True
        try:
            return self._answer(request)
        except UnavailableError as error:
            return self._make_busy(request, str(error))
        finally:
            self._is_busy = False

    def _make_busy(self, request: ExplainRequest, detail: str) -> Explanation:
        return Explanation(request.number, self._host, ExplainVerdict.BUSY, detail)


def make_explain_service(
    host: NodeId, answer: Answer, metrics: Metrics
) -> ExplainService:
    """Return the service of a host."""
    return ExplainService(host, answer, metrics)


def make_explain_codec() -> Codec:
    """Return the codec of the calls between operators and entry hosts."""
    return make_codec((*peer.MESSAGES, *messages.MESSAGES), FRAME_LIMIT_BYTES)


def make_explain_server(
    address: HostAddress, identity: Identity, service: ExplainService
) -> PeerServer:
    """Return a server for operators only, not started yet."""
    return make_peer_server(
        address,
        make_explain_codec(),
        identity,
        service.serve,
        n_streams_limit=N_OPERATOR_STREAMS,
    )
