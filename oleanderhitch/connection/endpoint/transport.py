"""HTTP requests to endpoints, without retries and redirects."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

import gevent
import gevent.socket
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    TimeoutError,
)

from oleanderhitch.connection.endpoint.exceptions import ConnectFailedError
from oleanderhitch.connection.exceptions import ConnectionLostError
from oleanderhitch.connection.http.memory import MemoryShare

# Bound the number of idle sockets. urllib3 keeps one connection pool per endpoint, and
# a process connects to the endpoints of its region.
N_POOLS_LIMIT = 1024
N_IDLE_CONNECTIONS_PER_ENDPOINT_LIMIT = 16
# Statuses whose responses have no body (RFC 9112).
BODILESS_STATUSES = (204, 304)
READ_BYTES = 64 * 1024
# Reads of 8 KiB from a socket after which other greenlets run.
N_READS_IN_A_ROW = 8
# The bytes after the last event arrive with it; a longer wait would gain nothing.
DRAIN_TIMEOUT = timedelta(milliseconds=100)


class FairSocket(gevent.socket.socket):  # type: ignore[misc]
    """Socket that lets other greenlets run while there is always more to read.

    Otherwise an endpoint that sends without end would stop the whole process, and no
    timeout would end it.
    """

    _n_reads = 0

    def recv_into(self, *args: Any) -> int:
        """Read into a buffer and return the number of bytes."""
        n_bytes: int = super().recv_into(*args)
        self._n_reads += 1
        if self._n_reads % N_READS_IN_A_ROW == 0:
            gevent.sleep(0)
        return n_bytes


class FairConnection(HTTPConnection):
    """Connection whose socket lets other greenlets run."""

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        opened = self.sock
        timeout = opened.gettimeout()
        self.sock = FairSocket(
            opened.family, opened.type, opened.proto, opened.detach()
        )
        self.sock.settimeout(timeout)


class FairConnectionPool(HTTPConnectionPool):
    """Pool of connections whose sockets let other greenlets run."""

    ConnectionCls = FairConnection


def make_pool_manager() -> urllib3.PoolManager:
    """Return the pool of keep-alive connections that the attempts share."""
    manager = urllib3.PoolManager(
        num_pools=N_POOLS_LIMIT,
        maxsize=N_IDLE_CONNECTIONS_PER_ENDPOINT_LIMIT,
        block=False,
    )
    manager.pool_classes_by_scheme = {"http": FairConnectionPool}
    return manager


@contextmanager
def translate_errors(subject: str) -> Iterator[None]:
    """Raise ConnectFailedError or ConnectionLostError for HTTP client errors."""
    try:
        yield
    except (NewConnectionError, ConnectTimeoutError) as error:
        raise ConnectFailedError(f"could not connect: {error}") from None
    except TimeoutError:
        raise ConnectionLostError(f"{subject} went silent") from None
    except (HTTPError, OSError) as error:
        raise ConnectionLostError(f"{subject} broke: {error}") from None


@contextmanager
def limit_wait(subject: str, timeout: timedelta) -> Iterator[None]:
    """Raise ConnectionLostError if the with block takes longer than the timeout."""
    timer = gevent.Timeout(max(0.0, timeout.total_seconds()))
    timer.start()
    try:
        yield
    except gevent.Timeout as error:
        if error is not timer:
            raise
        seconds = timeout.total_seconds()
        raise ConnectionLostError(f"{subject} was silent for {seconds:.1f} s") from None
    finally:
        timer.close()


def open_response(
    pool_manager: urllib3.PoolManager,
    method: str,
    url: str,
    connect_timeout: timedelta,
    read_timeout: timedelta,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> urllib3.BaseHTTPResponse:
    """Send a request and return the response, whose body is not read yet.

    Raise ConnectFailedError if no byte was sent, else ConnectionLostError, also if the
    head or the interim responses before it do not end in time.
    """
    # urllib3 rejects a timeout of 0.
    timeout = urllib3.Timeout(
        connect=max(0.001, connect_timeout.total_seconds()),
        read=max(0.001, read_timeout.total_seconds()),
    )
    with (
        limit_wait("connection", connect_timeout + read_timeout),
        translate_errors("connection"),
    ):
        return pool_manager.request(
            method,
            url,
            body=body,
            headers=headers,
            timeout=timeout,
            retries=False,
            redirect=False,
            preload_content=False,
        )


def read_chunk(response: urllib3.BaseHTTPResponse, timeout: timedelta) -> bytes:
    """Return the next bytes of a body, none at its end; raise ConnectionLostError."""
    # Called for each chunk; a context manager would take longer than the read.
    timer = gevent.Timeout(max(0.0, timeout.total_seconds()))
    timer.start()
    try:
        return response.read1(READ_BYTES)
    except gevent.Timeout as error:
        if error is not timer:
            raise
        raise ConnectionLostError(f"connection was silent for {timeout}") from None
    except (HTTPError, OSError) as error:
        raise ConnectionLostError(f"connection broke: {error}") from None
    finally:
        timer.close()


def read_whole(
    response: urllib3.BaseHTTPResponse,
    timeout: timedelta,
    limit_bytes: int,
    share: MemoryShare,
) -> bytes:
    """Return the whole body, which the share holds.

    Raise ConnectionLostError if it is truncated, too large or has no room in memory.
    """
    chunks: list[bytes] = []
    n_bytes = 0
    with translate_errors("connection"), limit_wait("connection", timeout):
        while True:
            chunk = response.read(READ_BYTES)
            if not chunk:
                if not n_bytes and not _has_length(response):
                    raise ConnectionLostError("answer ended inside its head")
                return b"".join(chunks)
            n_bytes += len(chunk)
            if n_bytes > limit_bytes:
                raise ConnectionLostError(f"answer has more than {limit_bytes} bytes")
            if not share.resize(n_bytes):
                raise ConnectionLostError("answers take too much memory")
            chunks.append(chunk)


def _has_length(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether the head of a response says where its body ends.

    The library takes a head that ends with the connection for a whole one, so that
    without this an empty body proves nothing.
    """
    return (
        response.headers.get("Content-Length", "").strip().isdecimal()
        or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
        or response.status in BODILESS_STATUSES
    )


def release_connection(response: urllib3.BaseHTTPResponse) -> None:
    """Read the rest of a body and return the connection to the pool, or close it."""
    try:
        with limit_wait("connection", DRAIN_TIMEOUT):
            response.drain_conn()
    except ConnectionLostError:
        response.close()
