"""Name the faults and states of requests at a stand-in."""

from enum import Enum


class FaultKind(Enum):
    """Say how a stand-in misbehaves."""

    NONE = "none"
    SLOW = "slow"
    SILENT = "silent"
    DIE_MID_STREAM = "die_mid_stream"
    DROP_ANSWER = "drop_answer"


class StreamPhase(Enum):
    """Say how far a stream has come."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class OrderKind(Enum):
    """Say what an order changes at an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    SET_ROLE = "set_role"
