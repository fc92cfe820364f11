"""Enums of the requests to a stand-in."""

from enum import Enum


class FaultKind(Enum):
    """Fault that a stand-in injects into its responses.

    SLOW multiplies durations, SILENT stops sending and keeps the connection open,
    DIE_MID_STREAM drops the connection within the response, DROP_ANSWER runs the
    request and drops the connection without a response.
    """

    NONE = "none"
    SLOW = "slow"
    SILENT = "silent"
    DIE_MID_STREAM = "die_mid_stream"
    DROP_ANSWER = "drop_answer"


class StreamPhase(Enum):
    """Phase of a stream."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class OrderKind(Enum):
    """What an order changes at an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    SET_ROLE = "set_role"
