"""Define the messages and effects of a pool's queue.

The class names and fields of those in MESSAGES are part of the protocol between hosts.
"""

from datetime import timedelta

from oleanderhitch.process.address import Address
from oleanderhitch.process.explaining.messages import SchedulingExplanation
from oleanderhitch.process.ids import NodeId
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.ids import PermitId, RequestId
from oleanderhitch.values import Value
from oleanderhitch.version.ids import EndpointId, PoolId


class EnqueueRequest(Value, frozen=True):
    """Requests a slot at an endpoint of the pool.

    Times are relative, so that hosts don't need synchronised clocks. `n_turns` and
    `attained_tokens` count what the program has used so far. `holders` are the
    endpoints that may have cached the program's prefix; `excluded` are those that must
    not be granted. `waited` is the time that the request has already waited in other
    queues.
    """

    pool: PoolId
    request: RequestId
    program: ProgramId
    account: AccountId
    node: NodeId
    is_idempotent: bool
    n_turns: int
    attained_tokens: int
    prompt_tokens: int
    max_output_tokens: int
    holders: tuple[EndpointId, ...]
    excluded: tuple[EndpointId, ...]
    time_to_deadline: timedelta
    waited: timedelta


class WithdrawRequest(Value, frozen=True):
    """Removes a request from the queue."""

    pool: PoolId
    request: RequestId


class ReleaseSlot(Value, frozen=True):
    """Releases a slot and reports the observations of its attempt.

    `first_token` is the time to the first token, None if the attempt had none.
    """

    pool: PoolId
    permit: PermitId
    endpoint: EndpointId
    is_success: bool
    n_output_tokens: int
    n_computed_prompt_tokens: int
    first_token: timedelta | None
    duration: timedelta


class HoldSlot(Value, frozen=True):
    """Registers an already running attempt with the queue of its pool's new owner."""

    pool: PoolId
    permit: PermitId
    request: RequestId
    program: ProgramId
    account: AccountId
    node: NodeId
    endpoint: EndpointId
    running_for: timedelta


class NodeGone(Value, frozen=True):
    """Drops the requests and permits of a node.

    Sent for all pools when a node's lease has expired, and for one pool before a node
    registers its running attempts with that pool's owner, so that permits whose grant
    was lost are no longer counted.
    """

    node: NodeId
    pool: PoolId | None = None


class LoadReported(Value, frozen=True):
    """Reports the load that an endpoint measured; `age` is the time since then."""

    endpoint: EndpointId
    n_running: int
    n_waiting: int
    age: timedelta


class EndpointOffer(Value, frozen=True):
    """Endpoint that the pool may use."""

    endpoint: EndpointId
    n_slots: int
    cache_tokens: int
    is_leaving: bool


class EndpointsChanged(Value, frozen=True):
    """Replaces the set of endpoints of the pool."""

    offers: tuple[EndpointOffer, ...]


class GrantSlot(Value, frozen=True):
    """Permits one attempt at an endpoint."""

    pool: PoolId
    node: NodeId
    request: RequestId
    endpoint: EndpointId
    permit: PermitId
    priority: int
    is_hedge: bool


class RefuseRequest(Value, frozen=True):
    """Refuses a request, which no longer waits."""

    pool: PoolId
    node: NodeId
    request: RequestId
    reason: str
    retry_after: timedelta


class ExplainSlot(Value, frozen=True):
    """Asks what would be done with a request, which is not queued."""

    enqueue: EnqueueRequest
    reply_address: Address


class SlotExplained(Value, frozen=True):
    """Delivers an explanation to the address that asked for it."""

    reply_address: Address
    explanation: SchedulingExplanation


# Messages that are sent between hosts.
MESSAGES: tuple[type, ...] = (
    EnqueueRequest,
    WithdrawRequest,
    ReleaseSlot,
    HoldSlot,
    NodeGone,
    LoadReported,
    EndpointsChanged,
    GrantSlot,
    RefuseRequest,
)
