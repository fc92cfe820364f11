"""Build messages of a pool with default fields, which tests override."""

from datetime import UTC, datetime, timedelta
from random import Random

from oleanderhitch.process.scheduling.core import make_pool_state
from oleanderhitch.process.scheduling.messages import (
    EndpointOffer,
    EndpointsChanged,
    EnqueueRequest,
    HoldSlot,
    ReleaseSlot,
)
from oleanderhitch.process.scheduling.settings import PoolSettings

START = datetime(2026, 1, 1, tzinfo=UTC)
POOL = "veslo-llm/hr-coast"


def at(seconds):
    """Return START plus a number of seconds."""
    return START + timedelta(seconds=seconds)


def pool(seed=1, **settings):
    """Return the state of a pool's queue that has no endpoints yet."""
    return make_pool_state(POOL, PoolSettings(**settings), Random(seed))


def enqueue(request, **changes):
    """Return a request for a slot."""
    fields = {
        "pool": POOL,
        "request": request,
        "program": f"program-of-{request}",
        "account": "office",
        "node": "entry-1",
        "is_idempotent": True,
        "n_turns": 0,
        "attained_tokens": 0,
        "prompt_tokens": 100,
        "max_output_tokens": 200,
        "holders": (),
        "excluded": (),
        "time_to_deadline": timedelta(seconds=60),
        "waited": timedelta(0),
    }
    return EnqueueRequest(**(fields | changes))


def offers(n_slots=1, leaving=(), **counts):
    """Return offers of the named endpoints with their slots, by default of e1."""
    names = counts or {"e1": n_slots}
    return EndpointsChanged(
        tuple(
            EndpointOffer(name, n, 1_000_000, name in leaving)
            for name, n in names.items()
        )
    )


def release(grant, **changes):
    """Return the release of a granted slot."""
    fields = {
        "pool": POOL,
        "permit": grant.permit,
        "endpoint": grant.endpoint,
        "is_success": True,
        "n_output_tokens": 100,
        "n_computed_prompt_tokens": 100,
        "first_token": timedelta(milliseconds=100),
        "duration": timedelta(seconds=1),
    }
    return ReleaseSlot(**(fields | changes))


def hold(grant, sent, running_for=timedelta(0)):
    """Return the message that registers a granted slot with a new owner."""
    return HoldSlot(
        POOL,
        grant.permit,
        grant.request,
        sent.program,
        sent.account,
        sent.node,
        grant.endpoint,
        running_for,
    )
