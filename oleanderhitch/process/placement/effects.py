"""Effects of the placement task."""

from typing import TYPE_CHECKING

from oleanderhitch.process.address import Address
from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.placement.messages import (
    EndpointGranted,
    EndpointRefused,
    LoadsFound,
    SendPermitRequest,
)
from oleanderhitch.process.placement.records import PrefixKnowledge
from oleanderhitch.request.ids import HolderId, PermitId
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId, ServiceName

if TYPE_CHECKING:
    # Hosts that explain nothing do not import it.
    from oleanderhitch.process.explaining.messages import SchedulingExplanation


class SendReply(Value, frozen=True):
    """Sends a message to a reply address."""

    reply_address: Address
    message: "EndpointGranted | EndpointRefused | LoadsFound | SchedulingExplanation"


class QueryCache(Value, frozen=True):
    """Queries an engine for the prompt parts that it has cached."""

    endpoint: ListedEndpoint


class LogEndpointLeaving(Value, frozen=True):
    """Logs that an endpoint has said that it will stop."""

    endpoint: EndpointId


class LogPermitLeft(Value, frozen=True):
    """Logs that a request has ended without returning a permit, which is returned."""

    permit: PermitId
    holder: HolderId


class AskLeader(Value, frozen=True):
    """Asks the leader for the permit to send to a limited endpoint."""

    request: SendPermitRequest


class LogOverload(Value, frozen=True):
    """Logs that requests of a service are refused early; at most once a second."""

    service: ServiceName
    n_refused: int
    n_waiting: int
    freed_per_s: str


class ReportQueueLength(Value, frozen=True):
    """Reports how many requests wait for a service at this entry host."""

    service: ServiceName
    n_waiting: int


class LogRateLimit(Value, frozen=True):
    """Logs that an endpoint has named, changed or dropped a rate limit."""

    endpoint: EndpointId
    requests_per_s: float | None


class ReportPrefixes(Value, frozen=True):
    """Reports how many prompts were sent where their prefix is cached, or not."""

    counts: tuple[tuple[PrefixKnowledge, int], ...]


class ReportSpeedCounts(Value, frozen=True):
    """Reports how many endpoints are slow, and how many ramp up, to the metrics."""

    n_slow: int
    n_ramping: int
