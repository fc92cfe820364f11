"""Apply orders that change the loaded model, its version, its adapters or the role.

An order carries the fencing number of the leader that sent it. An engine that checks it
refuses orders with a lower number than that of the last order it applied.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from standins.request.messages import ApplyOrder
from standins.request.states import OrderKind


@dataclass(slots=True)
class LoadedModel:
    """Loaded model, version, adapters and role, and the load in progress.

    `pending_model` replaces `model` at `load_ends_at`.
    """

    model: str
    checks_fencing: bool
    load_time: timedelta
    version: str = ""
    role: str = "mixed"
    adapters: list[str] = field(default_factory=list)
    fencing_number: int = 0
    n_applied: int = 0
    pending_model: str = ""
    load_ends_at: datetime | None = None


def apply_order(
    loaded: LoadedModel, order: ApplyOrder, now: datetime
) -> tuple[int, dict[str, object]]:
    """Return the HTTP status and body of the response to an order."""
    complete_load(loaded, now)
    if loaded.checks_fencing and order.fencing_number < loaded.fencing_number:
        error = f"fencing number {order.fencing_number} is older than"
        return 409, {
            "error": f"{error} {loaded.fencing_number}",
            "fencing_number": loaded.fencing_number,
        }
    loaded.fencing_number = order.fencing_number
    loaded.n_applied += 1
    _apply_change(loaded, order.kind, order.name, now)
    return 200, describe_loaded_model(loaded, now)


def _apply_change(
    loaded: LoadedModel, kind: OrderKind, name: str, now: datetime
) -> None:
    if kind is OrderKind.LOAD_MODEL and name != loaded.model:
        loaded.pending_model = name
        loaded.load_ends_at = now + loaded.load_time
        complete_load(loaded, now)
    elif kind is OrderKind.LOAD_ADAPTER and name not in loaded.adapters:
        loaded.adapters.append(name)
    elif kind is OrderKind.LOAD_VERSION:
        loaded.version = name
    elif kind is OrderKind.SET_ROLE:
        loaded.role = name


def complete_load(loaded: LoadedModel, now: datetime) -> None:
    """Switch to the pending model if its load has ended."""
    if loaded.load_ends_at is not None and now >= loaded.load_ends_at:
        loaded.model = loaded.pending_model
        loaded.pending_model = ""
        loaded.load_ends_at = None
        loaded.adapters.clear()


def describe_loaded_model(loaded: LoadedModel, now: datetime) -> dict[str, object]:
    """Return the response body that reports what is loaded."""
    complete_load(loaded, now)
    return {
        "model": loaded.model,
        "loading": loaded.pending_model,
        "version": loaded.version,
        "role": loaded.role,
        "adapters": list(loaded.adapters),
        "fencing_number": loaded.fencing_number,
        "n_applied": loaded.n_applied,
    }
