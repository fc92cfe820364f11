"""Hold what every exchange with an endpoint needs."""

from dataclasses import dataclass
from datetime import timedelta

import gevent
import urllib3

from oleanderhitch.connection.endpoint.exceptions import ConnectFailedError
from oleanderhitch.connection.endpoint.messages import EndpointCall, EndpointTimeouts
from oleanderhitch.connection.exceptions import ConnectionLostError
from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter, Latency

# While the request's mailbox is full the endpoint is not read, so that TCP slows
# it down; the mailbox empties at the pace of the caller's connection.
FULL_MAILBOX_PAUSE = timedelta(milliseconds=50)
ANSWER_LIMIT_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Exchange:
    """Hold one attempt with the address that its answer goes to."""

    call: EndpointCall
    reply: Address
    pools: urllib3.PoolManager
    timeouts: EndpointTimeouts
    clock: Clock
    metrics: Metrics | None = None

    @property
    def time_left(self) -> timedelta:
        """Return the time until the deadline, at least zero."""
        return max(timedelta(0), self.call.deadline - self.clock.now())

    def limit(self, timeout: timedelta) -> timedelta:
        """Return a timeout that the deadline bounds."""
        return min(timeout, self.time_left)

    def count(self, counter: Counter, label: str = "") -> None:
        """Count something that happened to the attempt."""
        if self.metrics is not None:
            self.metrics.count(counter, label)

    def record(self, latency: Latency, duration: timedelta) -> None:
        """Record a latency of the attempt."""
        if self.metrics is not None:
            self.metrics.record(latency, duration)

    def check_deadline(self) -> None:
        """Raise ConnectFailedError when it is too late to send the call."""
        if not self.time_left:
            raise ConnectFailedError("the deadline passed before the call was sent")

    def make_url(self, path: str) -> str:
        """Return the URL of a path at the endpoint."""
        return f"http://{self.call.address}{path}"

    def post(self, message: object) -> None:
        """Send to the request, at the pace at which it takes messages."""
        while True:
            try:
                self.reply.send(message)
            except UnavailableError:
                if not self.time_left:
                    raise ConnectionLostError(
                        "the request took no messages until its deadline"
                    ) from None
                gevent.sleep(FULL_MAILBOX_PAUSE.total_seconds())
            else:
                return
