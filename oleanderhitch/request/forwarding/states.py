"""Phases of a forwarded request and the responses that the system generates."""

from enum import Enum


class Phase(Enum):
    """What a request is doing; WAITING is for an endpoint, SENT for its response.

    ADMITTING is for a credit of its account, before anything is reserved for it.
    RENEWING is for another one in place of a credit that expired while it waited.
    SEARCHING is for the turn to continue, if it is one of another program. READING is
    for the rest of a long history. IMPORTING is for the pieces of a long history of
    another program.
    """

    ADMITTING = "admitting"
    RESERVING = "reserving"
    SEARCHING = "searching"
    READING = "reading"
    IMPORTING = "importing"
    WAITING = "waiting"
    RENEWING = "renewing"
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
    QUOTA_UNAVAILABLE = "quota_unavailable"
    NO_PREVIOUS_TURN = "no_previous_turn"
    BUDGET_SPENT = "budget_spent"
    RECORD_UNAVAILABLE = "record_unavailable"
    NO_ENDPOINT = "no_endpoint"
    ALL_REFUSED = "all_refused"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMED_OUT = "timed_out"
