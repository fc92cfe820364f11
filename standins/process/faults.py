"""Decide which requests a stand-in spoils."""

from dataclasses import dataclass

from standins.request.messages import SetFault
from standins.request.states import FaultKind


@dataclass(frozen=True, slots=True)
class Fault:
    """Hold how one request misbehaves."""

    kind: FaultKind
    factor: float
    after_chunks: int


NO_FAULT = Fault(FaultKind.NONE, 1.0, 0)


@dataclass(slots=True)
class FaultPlan:
    """Hold the fault in force and how many requests it still applies to."""

    fault: Fault = NO_FAULT
    n_requests_left: int | None = None


def set_fault(plan: FaultPlan, message: SetFault) -> None:
    """Replace the fault in force."""
    plan.fault = Fault(message.kind, message.factor, message.after_chunks)
    plan.n_requests_left = message.n_requests


def take_fault(plan: FaultPlan) -> Fault:
    """Return the fault of the next request and count it."""
    if plan.n_requests_left is None:
        return plan.fault
    if plan.n_requests_left <= 0:
        return NO_FAULT
    plan.n_requests_left -= 1
    return plan.fault


def find_persistent_fault(plan: FaultPlan) -> Fault:
    """Return the fault that applies to every request until it is replaced."""
    return plan.fault if plan.n_requests_left is None else NO_FAULT
