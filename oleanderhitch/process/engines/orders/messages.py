"""Define the messages and effects of orders to engines."""

from dataclasses import dataclass
from datetime import datetime

from oleanderhitch.process.ids import Term
from oleanderhitch.version.ids import ModelName


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """Say that this process leads the configuration group.

    `previous_lease_until` is the latest end of the previous leader's lease by
    this process's own clock, with the allowance for clock drift in it.
    """

    term: Term
    previous_lease_until: datetime
    lease_until: datetime


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """Say that the lease of this leader lasts longer."""

    term: Term
    lease_until: datetime


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """Say that this process leads no longer."""


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Hold the demand for a model, in engines that it would keep busy."""

    model: ModelName
    n_engines_needed: float
    weight_bytes: int


@dataclass(frozen=True, slots=True)
class DemandReported:
    """Bring the demand for all models."""

    demands: tuple[ModelDemand, ...]


@dataclass(frozen=True, slots=True)
class StepDown:
    """Say that an engine has seen the fencing number of a newer leader."""

    fencing_number: Term
