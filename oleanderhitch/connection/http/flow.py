"""Slow an endpoint down to the speed at which its response is handled."""

import gevent.event

# Bytes of a response that were read and not handled yet. A caller that reads slowly
# holds up its endpoint through TCP, and not the memory of this host.
UNHANDLED_LIMIT_BYTES = 128 * 1024


class ResponseFlow:
    """Count of the bytes of one response that wait for their receiver.

    The connection adds what it sends to the receiver, which removes what it has
    handled.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._n_bytes = 0
        self._has_room = gevent.event.Event()
        self._has_room.set()

    def add(self, n_bytes: int) -> None:
        """Count bytes that were sent to the receiver."""
        self._n_bytes += n_bytes
        if self._n_bytes >= self._limit_bytes:
            self._has_room.clear()

    def remove(self, n_bytes: int) -> None:
        """Count bytes that the receiver has handled."""
        self._n_bytes -= n_bytes
        if self._n_bytes < self._limit_bytes:
            self._has_room.set()

    def wait(self) -> None:
        """Wait until fewer bytes than the limit are left."""
        self._has_room.wait()


def make_response_flow(limit_bytes: int = UNHANDLED_LIMIT_BYTES) -> ResponseFlow:
    """Return the flow of one response."""
    return ResponseFlow(limit_bytes)
