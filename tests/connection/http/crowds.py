"""Crowds of callers that cost a process memory and descriptors, and their measures.

A crowd only sends; what it is answered is not read. Each caller stops when it has sent
everything, when its connection is closed or when nothing more is taken from it.
"""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import gevent
from gevent import socket

from oleanderhitch.connection.addresses import parse_address
from oleanderhitch.connection.ids import HostAddress

# What the smallest entry host has, lowered to two thirds for a small crowd.
MEMORY_LIMIT_BYTES = 96_000_000
# The target is 4,100, of which 200 are reserved for files.
N_DESCRIPTORS_LIMIT = 500
BODY_LIMIT_BYTES = 4 * 1024 * 1024
HEADER_LIMIT_BYTES = 16 * 1024
SEND_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 40.0
# Longer than the deadline of an ordinary request.
ORDINARY_TIMEOUT_S = 5.0
PIECE_BYTES = 16 * 1024

Pieces = Iterator[bytes]


@dataclass(frozen=True)
class Target:
    """Where a crowd goes: the address, the path and what bodies are allowed there."""

    address: HostAddress
    path: str
    body_limit_bytes: int = BODY_LIMIT_BYTES


def make_head(target: Target, number: int, *lines: str) -> bytes:
    """Return the head of a request, without the line that ends it."""
    head = (
        f"POST {target.path} HTTP/1.1",
        "Host: h",
        f"X-Request-Id: crowd-{number}",
        "X-Deadline-Ms: 3000",
        *lines,
    )
    return ("\r\n".join(head) + "\r\n").encode()


def send_short_body(target: Target, number: int) -> Pieces:
    """Yield a body of legal size that stops 16 bytes short, in one of three ways."""
    n_bytes = target.body_limit_bytes - 16
    if number % 3 == 0:
        yield make_head(target, number, f"Content-Length: {n_bytes + 16}") + b"\r\n"
        yield b"a" * n_bytes
    elif number % 3 == 1:
        yield make_head(target, number, f"Content-Length: {n_bytes + 16}") + b"\r\n"
        for _ in range(n_bytes // PIECE_BYTES):
            yield b"a" * PIECE_BYTES
    else:
        yield make_head(target, number, "Transfer-Encoding: chunked") + b"\r\n"
        # Chunks of two bytes; the pieces hold a small part of the legal size.
        for _ in range(40):
            yield b"2\r\naa\r\n" * (PIECE_BYTES // 7)


def send_oversized_body(target: Target, number: int) -> Pieces:
    """Yield a body of several times its limit, with its length and without."""
    n_bytes = target.body_limit_bytes * 8
    if number % 2:
        yield make_head(target, number, f"Content-Length: {n_bytes}") + b"\r\n"
    else:
        yield make_head(target, number, "Transfer-Encoding: chunked") + b"\r\n"
    for _ in range(n_bytes // PIECE_BYTES):
        yield b"%x\r\n" % PIECE_BYTES + b"a" * PIECE_BYTES + b"\r\n"


def send_many_fields(target: Target, number: int) -> Pieces:
    """Yield a head of legal size with thousands of fields; every second one ends."""
    head = make_head(target, number, "Content-Length: 1000")
    n_fields = (HEADER_LIMIT_BYTES - 400) // len("a:b\r\n")
    yield head + b"a:b\r\n" * n_fields
    if number % 2:
        yield b"\r\n"


def send_pipelined(target: Target, number: int) -> Pieces:
    """Yield thousands of short requests at once."""
    request = make_head(target, number, "Content-Length: 0") + b"\r\n"
    for _ in range(80):
        yield request * (PIECE_BYTES // len(request))


def send_slowly(target: Target, number: int) -> Pieces:
    """Yield half of a head or of a body in single bytes, or a request at once."""
    if number % 3 == 0:
        yield make_head(target, number)[:-8]
    elif number % 3 == 1:
        yield make_head(target, number, "Content-Length: 1000") + b"\r\n"
    else:
        yield make_head(target, number, "Content-Length: 0") + b"\r\n"
        return
    for _ in range(4):
        gevent.sleep(0.25)
        yield b"a"


# The number of callers of each kind of traffic.
CROWDS: dict[str, tuple[Callable[[Target, int], Pieces], int]] = {
    "short_bodies": (send_short_body, 60),
    "oversized_bodies": (send_oversized_body, 30),
    "many_fields": (send_many_fields, 300),
    "pipelined": (send_pipelined, 60),
    "slow": (send_slowly, 700),
}


def run_caller(target: Target, pieces: Pieces) -> socket.socket | None:
    """Send the pieces; return the connection, still open, or None if it failed."""
    try:
        connected = socket.create_connection(
            parse_address(target.address), SEND_TIMEOUT_S
        )
    except OSError:
        return None
    try:
        for piece in pieces:
            connected.sendall(piece)
    except OSError:
        pass
    return connected


class Measured:
    """What a process takes of its machine."""

    def __init__(self, process_id: int) -> None:
        self._directory = Path(f"/proc/{process_id}")
        self.n_descriptors_most = 0

    def get_bytes(self, name: str = "VmHWM") -> int:
        """Return the resident memory, by default the most so far."""
        for line in (self._directory / "status").read_text().splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1]) * 1024
        raise AssertionError("the process has ended")

    def update(self) -> None:
        """Count the open descriptors; raise OSError if the process has ended."""
        n_descriptors = len(list((self._directory / "fd").iterdir()))
        self.n_descriptors_most = max(self.n_descriptors_most, n_descriptors)


def has_answer(target: Target, request: bytes, status: bytes = b"200") -> bool:
    """Return whether an ordinary request on a new connection gets a status."""
    try:
        with socket.create_connection(
            parse_address(target.address), ORDINARY_TIMEOUT_S
        ) as connected:
            connected.sendall(request)
            return bool(connected.recv(4096).startswith(b"HTTP/1.1 " + status))
    except OSError:
        return False


def run_crowd(
    kind: str, target: Target, measured: Measured, is_answered: Callable[[], bool]
) -> None:
    """Run a crowd, then check the process while the crowd stays connected."""
    make_pieces, n_callers = CROWDS[kind]
    callers = [
        gevent.spawn(run_caller, target, make_pieces(target, number))
        for number in range(n_callers)
    ]
    while not all(caller.ready() for caller in callers):
        measured.update()
        gevent.sleep(0.05)
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    while not is_answered():
        assert time.monotonic() < deadline, "an ordinary request was not answered"
        measured.update()
        gevent.sleep(0.1)
    measured.update()
    for caller in callers:
        if caller.value is not None:
            caller.value.close()
    print(kind, target.path, measured.get_bytes(), measured.n_descriptors_most)
    assert measured.get_bytes() < MEMORY_LIMIT_BYTES
    assert measured.n_descriptors_most < N_DESCRIPTORS_LIMIT
