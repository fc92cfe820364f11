"""Verdicts and reasons of explanations."""

from enum import Enum


class ExplainVerdict(Enum):
    """What would happen to a request now.

    ASKS_LEADER: the host asks the leader for a credit or a permit, and its answer
    decides. ASKS_OWNER: it asks the owner of the pool, which is another entry host.
    NOT_CURRENT: the host has no configuration that it may go by. Verdicts from
    UNKNOWN_ROUTE to UNKNOWN_ID name what the configuration in force does not have, the
    last one also a program that is not known. BUSY is no answer: the host explains
    another request, or is overloaded. All others are refusals.
    """

    SENT = "sent_now"
    QUEUED = "queued"
    ASKS_LEADER = "asks_leader"
    ASKS_OWNER = "asks_owner"
    NOT_CURRENT = "not_current"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_ID = "unknown_id"
    BUSY = "busy"
    MALFORMED = "malformed"
    STOPPING = "stopping"
    OVER_LIMIT = "over_limit"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    NO_ENDPOINT = "no_endpoint"
    IN_PROGRESS = "in_progress"
    NOT_ALLOWED = "not_allowed"


class Exclusion(Enum):
    """Why an endpoint does not get a request now.

    RAMPING, UNRESPONSIVE and NOT_COMPARED endpoints are used if there is no other.
    TRIED: the request was there, or its account may not use the endpoint.
    """

    LEAVING = "leaving"
    FULL = "full"
    AVOIDED = "avoided_after_failure"
    ON_TRIAL = "another_request_tries_it"
    RATE_LIMITED = "rate_limited"
    TRIED = "tried_or_not_allowed"
    UNRESPONSIVE = "unresponsive"
    RAMPING = "ramping"
    ON_PROBATION = "on_probation"
    NOT_COMPARED = "not_compared"


class CostPart(Enum):
    """The components of the cost of a request on an endpoint."""

    QUEUE = "queue"
    DECODE = "decode"
    PREFILL = "prefill"
    ASSUMED_PREFIX = "assumed_prefix"
    BATCH_DELAY = "batch_delay"
    AFFINITY = "affinity"
    SLOWDOWN = "slowdown"
    FAILURE = "failure"
    DISTANCE = "distance"
    PRICE = "price"
    UNSEEN = "unseen_requests"
    PREFILL_BACKLOG = "prefill_backlog"
    CACHE_LOAD = "cache_load"


class FactKind(Enum):
    """What a decision goes by, each with an age."""

    CONFIGURATION = "configuration"
    LEASE = "lease"
    ENDPOINT_LIST = "endpoint_list"
    PEER_LOADS = "peer_loads"
    EVENT_LATENCY = "event_latency"
    FAILURE_RATE = "failure_rate"
    LAST_ACTIVITY = "last_activity"
    RATE_LIMIT = "rate_limit"
    DRAIN_RATE = "drain_rate"
    CREDITS = "credits"
    OWNERSHIP = "ownership"


class Unchecked(Enum):
    """What decides on a request besides, and is not known to the host."""

    RECORD = "record_in_the_stores"
    CREDIT = "credit_of_the_leader"
    PERMIT = "permit_of_the_leader"
    QUEUE_OF_OWNER = "queue_of_the_owner"
