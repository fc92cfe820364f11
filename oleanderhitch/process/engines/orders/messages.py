"""Define the messages and effects of orders to engines."""

from datetime import datetime

from oleanderhitch.process.ids import Term
from oleanderhitch.values import Value
from oleanderhitch.version.ids import ModelName


class OrdersLeadershipGained(Value, frozen=True):
    """Reports that this process has become leader of the configuration group.

    `previous_lease_until` is the latest time, by the clock of this process, at which
    the previous leader's lease may expire. The allowance for clock drift is already
    subtracted from every leader's `lease_until`.
    """

    term: Term
    previous_lease_until: datetime
    lease_until: datetime


class OrdersLeadershipConfirmed(Value, frozen=True):
    """Reports that the leadership was confirmed, which extends its lease."""

    term: Term
    lease_until: datetime


class OrdersLeadershipLost(Value, frozen=True):
    """Reports that this process is no longer leader."""


class ModelDemand(Value, frozen=True):
    """Demand for a model, as the number of engines that it would keep busy.

    `weight_bytes` is the size of the weights that an engine has to load.
    """

    model: ModelName
    n_engines_needed: float
    weight_bytes: int


class DemandReported(Value, frozen=True):
    """Replaces the demand for all models."""

    demands: tuple[ModelDemand, ...]


class NewerLeaderDetected(Value, frozen=True):
    """Reports that an engine has received the fencing number of a newer leader.

    The orders task has already stopped sending orders when it sends this message.
    """

    fencing_number: Term
