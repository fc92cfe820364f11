"""States of requests and attempts, and reasons for ends and refusals."""

from enum import Enum


class EndReason(Enum):
    """Why a program ended."""

    FINISHED = "finished"
    GIVEN_UP = "given_up"
    TURN_LIMIT = "turn_limit"
    SILENT = "silent"
    LOOPING = "looping"
    PARENT_ENDED = "parent_ended"


class RequestProgress(Enum):
    """How far a recorded request has progressed."""

    BEGUN = "begun"
    ATTEMPTED = "attempted"
    INTERRUPTED = "interrupted"
    ENDED = "ended"


class AttemptState(Enum):
    """The recorded state of one attempt of a request."""

    RUNNING = "running"
    NOT_SENT = "not_sent"
    # Sent, and ended without a response.
    LOST = "lost"


class RefusalReason(Enum):
    """Why a program shard refused a command."""

    UNKNOWN_PROGRAM = "unknown_program"
    UNKNOWN_REQUEST = "unknown_request"
    PROGRAM_EXISTS = "program_exists"
    PROGRAM_ENDED = "program_ended"
    SEQUENCE_OUT_OF_ORDER = "sequence_out_of_order"
    PREVIOUS_CALL_OPEN = "previous_call_open"
    REQUEST_ID_REUSED = "request_id_reused"
    BUDGET_EXCEEDED = "budget_exceeded"
    REQUEST_CLOSED = "request_closed"
    REPEAT_NOT_ALLOWED = "repeat_not_allowed"
    ATTEMPT_RECORDED = "attempt_recorded"
    SUPERSEDED = "superseded"
    HISTORY_FULL = "history_full"
    PROGRAM_RUNNING = "program_running"
    INVALID_COMMAND = "invalid_command"
