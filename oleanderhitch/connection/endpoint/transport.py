"""Send HTTP requests to endpoints without retries or redirects."""

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

# A process talks to the endpoints of its region; the limits bound idle sockets.
N_POOLS = 1024
N_CONNECTIONS_KEPT_PER_ENDPOINT = 16
READ_BYTES = 64 * 1024
# The bytes behind the last event arrive with it; a longer wait saves nothing.
DRAIN_LIMIT = timedelta(milliseconds=100)


def make_pool_manager() -> urllib3.PoolManager:
    """Return the keep-alive connections that the attempts of a process share."""
    return urllib3.PoolManager(
        num_pools=N_POOLS, maxsize=N_CONNECTIONS_KEPT_PER_ENDPOINT, block=False
    )


@contextmanager
def translate_errors(what: str) -> Iterator[None]:
    """Raise ConnectFailedError or ConnectionLostError for HTTP client errors."""
    try:
        yield
    except (NewConnectionError, ConnectTimeoutError) as error:
        raise ConnectFailedError(f"could not connect: {error}") from None
    except TimeoutError:
        raise ConnectionLostError(f"{what} went silent") from None
    except (HTTPError, OSError) as error:
        raise ConnectionLostError(f"{what} broke: {error}") from None


@contextmanager
def limit_wait(what: str, limit: timedelta) -> Iterator[None]:
    """Raise ConnectionLostError when the body takes longer than the limit."""
    timer = gevent.Timeout(max(0.0, limit.total_seconds()))
    timer.start()
    try:
        yield
    except gevent.Timeout as error:
        if error is not timer:
            raise
        seconds = limit.total_seconds()
        raise ConnectionLostError(f"{what} was silent for {seconds:.1f} s") from None
    finally:
        timer.close()


def open_response(
    pools: urllib3.PoolManager,
    method: str,
    url: str,
    connect: timedelta,
    wait: timedelta,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> urllib3.BaseHTTPResponse:
    """Return a response whose body is not read yet.

    Raises ConnectFailedError when no byte was sent, else ConnectionLostError.
    """
    timeout = urllib3.Timeout(
        connect=max(0.001, connect.total_seconds()),
        read=max(0.001, wait.total_seconds()),
    )
    with translate_errors("connection"):
        return pools.request(
            method,
            url,
            body=body,
            headers=headers,
            timeout=timeout,
            retries=False,
            redirect=False,
            preload_content=False,
        )


def read_some(response: urllib3.BaseHTTPResponse, limit: timedelta) -> bytes:
    """Return the next bytes of a body, or nothing at its end."""
    # This runs once per chunk: a context manager would take longer than the read.
    timer = gevent.Timeout(max(0.0, limit.total_seconds()))
    timer.start()
    try:
        return response.read1(READ_BYTES)
    except gevent.Timeout as error:
        if error is not timer:
            raise
        raise ConnectionLostError(f"connection was silent for {limit}") from None
    except (HTTPError, OSError) as error:
        raise ConnectionLostError(f"connection broke: {error}") from None
    finally:
        timer.close()


def read_whole(
    response: urllib3.BaseHTTPResponse, limit: timedelta, limit_bytes: int
) -> bytes:
    """Return the whole body; raise ConnectionLostError when it breaks off."""
    parts: list[bytes] = []
    n_bytes = 0
    with translate_errors("connection"), limit_wait("connection", limit):
        while True:
            part = response.read(READ_BYTES)
            if not part:
                return b"".join(parts)
            n_bytes += len(part)
            if n_bytes > limit_bytes:
                raise ConnectionLostError(f"answer has more than {limit_bytes} bytes")
            parts.append(part)


def keep_connection(response: urllib3.BaseHTTPResponse) -> None:
    """Read the end of a body and keep its connection, or close it."""
    try:
        with limit_wait("connection", DRAIN_LIMIT):
            response.drain_conn()
    except ConnectionLostError:
        response.close()
