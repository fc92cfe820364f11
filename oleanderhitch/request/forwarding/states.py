"""List the phases of a forwarded request and the answers that end it."""

from enum import Enum


class Phase(Enum):
    """Tell what a request waits for."""

    RESERVING = "reserving"
    WAITING = "waiting"
    SENT = "sent"
    COLLECTING = "collecting"
    RELAYING = "relaying"
    RECORDING = "recording"
    ENDED = "ended"


class Verdict(Enum):
    """Name the answers that the system gives by itself."""

    NOT_READY = "not_ready"
    NO_ROUTE = "no_route"
    MALFORMED = "malformed"
    NO_PREVIOUS_TURN = "no_previous_turn"
    BUDGET_SPENT = "budget_spent"
    RECORD_UNAVAILABLE = "record_unavailable"
    NO_ENDPOINT = "no_endpoint"
    ALL_REFUSED = "all_refused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMED_OUT = "timed_out"
