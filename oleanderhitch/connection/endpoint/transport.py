"""HTTP requests to endpoints, without retries and redirects."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import gevent
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    TimeoutError,
)

from oleanderhitch.connection.endpoint.exceptions import ConnectFailedError
from oleanderhitch.connection.exceptions import ConnectionLostError

# Bound the number of idle sockets. urllib3 keeps one connection pool per endpoint, and
# a process connects to the endpoints of its region.
N_POOLS_LIMIT = 1024
N_IDLE_CONNECTIONS_PER_ENDPOINT_LIMIT = 16
READ_BYTES = 64 * 1024
# The bytes after the last event arrive with it; a longer wait would gain nothing.
DRAIN_TIMEOUT = timedelta(milliseconds=100)


def make_pool_manager() -> urllib3.PoolManager:
    """Return the pool of keep-alive connections that the attempts share."""
    return urllib3.PoolManager(
        num_pools=N_POOLS_LIMIT,
        maxsize=N_IDLE_CONNECTIONS_PER_ENDPOINT_LIMIT,
        block=False,
    )


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

    Raise ConnectFailedError if no byte was sent, else ConnectionLostError.
    """
    # urllib3 rejects a timeout of 0.
    timeout = urllib3.Timeout(
        connect=max(0.001, connect_timeout.total_seconds()),
        read=max(0.001, read_timeout.total_seconds()),
    )
    with translate_errors("connection"):
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
    response: urllib3.BaseHTTPResponse, timeout: timedelta, limit_bytes: int
) -> bytes:
    """Return the whole body; raise ConnectionLostError if it is truncated."""
    chunks: list[bytes] = []
    n_bytes = 0
    with translate_errors("connection"), limit_wait("connection", timeout):
        while True:
            chunk = response.read(READ_BYTES)
            if not chunk:
                return b"".join(chunks)
            n_bytes += len(chunk)
            if n_bytes > limit_bytes:
                raise ConnectionLostError(f"answer has more than {limit_bytes} bytes")
            chunks.append(chunk)


def release_connection(response: urllib3.BaseHTTPResponse) -> None:
    """Read the rest of a body and return the connection to the pool, or close it."""
    try:
        with limit_wait("connection", DRAIN_TIMEOUT):
            response.drain_conn()
    except ConnectionLostError:
        response.close()
