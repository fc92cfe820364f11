"""Phases, outcomes and error codes of a request."""

from enum import Enum


class Outcome(Enum):
    """How a request ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why a call has its outcome; the value is the error code in responses."""

    OK = "ok"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    NOT_FOUND = "not_found"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PROGRAM = "unknown_program"
    UNKNOWN_REQUEST = "unknown_request"
    PROGRAM_EXISTS = "program_exists"
    PROGRAM_ENDED = "program_ended"
    SEQUENCE_OUT_OF_ORDER = "sequence_out_of_order"
    PREVIOUS_CALL_OPEN = "previous_call_open"
    REQUEST_ID_REUSED = "request_id_reused"
    REQUEST_IN_PROGRESS = "request_in_progress"
    REPEAT_NOT_ALLOWED = "repeat_not_allowed"
    REQUEST_CLOSED = "request_closed"
    BUDGET_EXCEEDED = "budget_exceeded"
    ATTEMPT_RECORDED = "attempt_recorded"
    SUPERSEDED = "superseded"
    HISTORY_FULL = "history_full"
    PROGRAM_RUNNING = "program_running"
    INVALID_COMMAND = "invalid_command"
    LIMIT_EXCEEDED = "limit_exceeded"
    PLACEMENT_NOT_ALLOWED = "placement_not_allowed"
    POOL_REFUSED = "pool_refused"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    STATE_UNAVAILABLE = "state_unavailable"
    NO_LEASE = "no_lease"
    SHUTTING_DOWN = "shutting_down"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_REFUSED = "endpoint_refused"
    ANSWER_LOST = "answer_lost"


class Phase(Enum):
    """What a request is waiting for."""

    BEGIN = "begin"
    OWNER_CHECK = "owner_check"
    SLOT = "slot"
    ATTEMPT_RECORD = "attempt_record"
    ANSWER = "answer"
    LOOKUP = "lookup"
    FINISH_RECORD = "finish_record"
    ENDED = "ended"
