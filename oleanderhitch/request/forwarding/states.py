"""Phases of a forwarded request and the responses that the system generates."""

from enum import Enum


class Phase(Enum):
    """What a request is doing; WAITING is for an endpoint, SENT for its response.

    SEARCHING is for the turn to continue, if it is one of another program. READING is
    for the rest of a long history. IMPORTING is for the pieces of a long history of
    another program.
    """

    RESERVING = "reserving"
    SEARCHING = "searching"
    READING = "reading"
    IMPORTING = "importing"
    WAITING = "waiting"
    SENT = "sent"
    COLLECTING = "collecting"
    RELAYING = "relaying"
    RECORDING = "recording"
    ENDED = "ended"


class Verdict(Enum):
    """Kinds of responses that this system, and not an endpoint, generates."""

    NOT_READY = "not_ready"
    NO_ROUTE = "no_route"
    MALFORMED = "malformed"
    UNAUTHORIZED = "unauthorized"
    NOT_CURRENT = "not_current"
    OVER_QUOTA = "over_quota"
    NO_PREVIOUS_TURN = "no_previous_turn"
    BUDGET_SPENT = "budget_spent"
    RECORD_UNAVAILABLE = "record_unavailable"
    NO_ENDPOINT = "no_endpoint"
    ALL_REFUSED = "all_refused"
    QUARANTINED = "quarantined"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMED_OUT = "timed_out"
