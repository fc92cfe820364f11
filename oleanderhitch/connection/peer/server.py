"""Server that accepts peer streams."""

import gevent
import logbook
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from oleanderhitch.connection.addresses import parse_address
from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.stream import (
    CountBytes,
    Deliver,
    PeerStream,
    StreamTiming,
    ignore_bytes,
)
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import Clock, make_system_clock
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.messages import StopTask

log = logbook.Logger("peer")


class PeerServer:
    """Owner of the listening socket and of one greenlet per accepted stream."""

    def __init__(
        self,
        listen: HostAddress,
        codec: Codec,
        identity: Identity,
        deliver: Deliver,
        timing: StreamTiming,
        count_bytes: CountBytes,
        clock: Clock,
        n_streams_limit: int | None,
    ) -> None:
        self._codec = codec
        self._identity = identity
        self._deliver = deliver
        self._timing = timing
        self._count_bytes = count_bytes
        self._clock = clock
        self._streams = Pool(n_streams_limit)
        self._server = StreamServer(
            parse_address(listen), self._serve, spawn=self._streams
        )

    @property
    def n_streams(self) -> int:
        """The number of open streams."""
        return len(self._streams)

    def start(self) -> None:
        """Start to accept streams."""
        self._server.start()

    def stop(self) -> None:
        """Close the listening socket and every stream."""
        self._server.stop(timeout=0)

    def _serve(self, accepted: socket.socket, remote: object) -> None:
        stream = PeerStream(
            accepted,
            self._codec,
            self._identity,
            self._timing,
            self._clock,
            self._count_bytes,
        )
        outgoing = make_mailbox(f"peer {remote}")
        try:
            peer = stream.authenticate_as_server()
            stream.run_as_server(peer, outgoing, self._deliver)
        except OleanderhitchError as error:
            log.info("stream from {} ended: {}", remote, error)
        except gevent.GreenletExit:
            outgoing.send(StopTask())
        finally:
            stream.close()


def make_peer_server(
    listen: HostAddress,
    codec: Codec,
    identity: Identity,
    deliver: Deliver,
    timing: StreamTiming | None = None,
    count_bytes: CountBytes = ignore_bytes,
    clock: Clock | None = None,
    n_streams_limit: int | None = None,
) -> PeerServer:
    """Return a server that has not been started.

    With a limit on its streams, further peers wait until one has ended.
    """
    timing = timing or StreamTiming()
    clock = clock or make_system_clock()
    return PeerServer(
        listen,
        codec,
        identity,
        deliver,
        timing,
        count_bytes,
        clock,
        n_streams_limit,
    )
