"""Name the states and outcomes of a request."""

from enum import Enum


class Outcome(Enum):
    """Say how a request ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Phase(Enum):
    """Say how far a request has come."""

    PREPARING = "preparing"
    RECORDING = "recording"
    RUNNING = "running"
    FINISHING = "finishing"
    ENDED = "ended"
