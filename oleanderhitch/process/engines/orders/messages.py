"""Define the messages and effects of orders to engines."""

from dataclasses import dataclass
from datetime import datetime

from oleanderhitch.process.ids import Term
from oleanderhitch.version.ids import ModelName


@dataclass(frozen=True, slots=True)
class OrdersLeadershipGained:
    """Report that this process has become leader of the configuration group.

    previous_lease_until is the latest time, by the clock of this process, at which
    the previous leader's lease expires; it includes the allowance for clock drift.
    """

    term: Term
    previous_lease_until: datetime
    lease_until: datetime


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """Report that the lease of this leader was extended."""

    term: Term
    lease_until: datetime


@dataclass(frozen=True, slots=True)
class OrdersLeadershipLost:
    """Report that this process is no longer leader."""


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand for a model, as the number of engines that it would keep busy.

    weight_bytes is the size of the weights that an engine loads from the weight store.
    """

    model: ModelName
    n_engines_needed: float
    weight_bytes: int


@dataclass(frozen=True, slots=True)
class DemandReported:
    """Replace the demand for all models."""

    demands: tuple[ModelDemand, ...]


@dataclass(frozen=True, slots=True)
class NewerLeaderDetected:
    """Report that an engine has received the fencing number of a newer leader.

    The orders task has then already stopped sending orders.
    """

    fencing_number: Term
