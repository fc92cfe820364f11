"""State and helpers that an attempt needs, whatever the kind of endpoint."""

from datetime import timedelta

import gevent
import urllib3

from oleanderhitch.connection.endpoint.exceptions import ConnectFailedError
from oleanderhitch.connection.endpoint.messages import EndpointCall, EndpointTimeouts
from oleanderhitch.connection.exceptions import ConnectionLostError
from oleanderhitch.connection.http.memory import MemoryShare
from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.process.metrics.states import Counter, Latency
from oleanderhitch.values import Value

# While the request's mailbox is full, the endpoint's response is not read and TCP flow
# control slows the endpoint down to the speed of the caller's connection.
FULL_MAILBOX_RETRY_DELAY = timedelta(milliseconds=50)
ANSWER_LIMIT_BYTES = 4 * 1024 * 1024


class AttemptContext(Value, frozen=True):
    """An attempt, the address for its answer and its collaborators.

    The share holds what the attempt keeps of the answer, until the attempt has ended.
    """

    call: EndpointCall
    reply_address: Address
    pool_manager: urllib3.PoolManager
    timeouts: EndpointTimeouts
    clock: Clock
    share: MemoryShare
    metrics: Metrics | None = None

    @property
    def time_left(self) -> timedelta:
        """The time until the deadline, at least zero."""
        return max(timedelta(0), self.call.deadline - self.clock.now())

    def bound_by_deadline(self, timeout: timedelta) -> timedelta:
        """Return the timeout, shortened to end at the deadline at the latest."""
        return min(timeout, self.time_left)

    def count(self, counter: Counter, label: str = "") -> None:
        """Increment a counter, if metrics are recorded."""
        if self.metrics is not None:
            self.metrics.count(counter, label)

    def record_latency(self, latency: Latency, duration: timedelta) -> None:
        """Record a latency, if metrics are recorded."""
        if self.metrics is not None:
            self.metrics.record(latency, duration)

    def check_deadline(self) -> None:
        """Raise ConnectFailedError if the deadline has passed."""
        if not self.time_left:
            raise ConnectFailedError("the deadline passed before the call was sent")

    def make_url(self, path: str) -> str:
        """Return the URL of a path at the endpoint."""
        return f"http://{self.call.address}{path}"

    def send_to_request(self, message: object) -> None:
        """Send a message to the request; wait while its mailbox is full.

        Raise ConnectionLostError if the mailbox is still full at the deadline.
        """
        while True:
            try:
                self.reply_address.send(message)
            except UnavailableError:
                if not self.time_left:
                    raise ConnectionLostError(
                        "the request took no messages until its deadline"
                    ) from None
                gevent.sleep(FULL_MAILBOX_RETRY_DELAY.total_seconds())
            else:
                return
