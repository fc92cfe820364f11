"""Select the requests into which a stand-in injects a fault."""

from dataclasses import dataclass

from standins.request.messages import SetFault
from standins.request.states import FaultKind


@dataclass(frozen=True, slots=True)
class Fault:
    """Fault to inject into a request.

    `factor` multiplies the durations of SLOW. A stream sends `after_chunks` chunks
    before SILENT or DIE_MID_STREAM takes effect, at least one before DIE_MID_STREAM.
    """

    kind: FaultKind
    factor: float
    after_chunks: int


NO_FAULT = Fault(FaultKind.NONE, 1.0, 0)


@dataclass(slots=True)
class FaultPlan:
    """Active fault and the number of requests left; None if it has no limit."""

    fault: Fault = NO_FAULT
    n_requests_left: int | None = None


def set_fault(plan: FaultPlan, message: SetFault) -> None:
    """Replace the active fault."""
    plan.fault = Fault(message.kind, message.factor, message.after_chunks)
    plan.n_requests_left = message.n_requests


def take_fault(plan: FaultPlan) -> Fault:
    """Return the fault for the next request and count that request."""
    if plan.n_requests_left is None:
        return plan.fault
    if plan.n_requests_left <= 0:
        return NO_FAULT
    plan.n_requests_left -= 1
    return plan.fault


def find_persistent_fault(plan: FaultPlan) -> Fault:
    """Return the active fault if it has no limit of requests."""
    return plan.fault if plan.n_requests_left is None else NO_FAULT
