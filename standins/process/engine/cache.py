"""Prefix cache of limited capacity, with a numbered log of its changes."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from standins.request.ids import StandinProgramId
from standins.request.text import Messages, count_prompt_tokens

# More changes than a demo causes between two polls of a consumer.
N_EVENTS_LIMIT = 10_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of the cache: `kind` is "stored" or "evicted"."""

    sequence_number: int
    program: StandinProgramId
    kind: str
    recorded_at: datetime


@dataclass(slots=True)
class PrefixCache:
    """Prefixes of programs, least recently stored first.

    Changes are visible after `event_lag`. Every `n_events_per_gap`-th event is lost,
    none if that is 0.
    """

    capacity_tokens: int
    event_lag: timedelta
    n_events_per_gap: int
    prefixes: OrderedDict[StandinProgramId, Messages] = field(
        default_factory=OrderedDict
    )
    n_tokens: int = 0
    last_sequence_number: int = 0
    events: list[CacheEvent] = field(default_factory=list)


def count_cached_tokens(
    cache: PrefixCache, program: StandinProgramId, messages: Messages
) -> int:
    """Return how many leading tokens of a prompt are cached."""
    prefix = cache.prefixes.get(program, ())
    n_equal = 0
    for stored, requested in zip(prefix, messages, strict=False):
        if stored != requested:
            break
        n_equal += 1
    return count_prompt_tokens(messages[:n_equal])


def store_prefix(
    cache: PrefixCache, program: StandinProgramId, messages: Messages, now: datetime
) -> None:
    """Cache a prefix and evict the least recently stored ones beyond the capacity.

    A prefix that exceeds the capacity by itself is not cached but reported as evicted.
    """
    n_tokens = count_prompt_tokens(messages)
    _remove_prefix(cache, program)
    if n_tokens > cache.capacity_tokens:
        _add_event(cache, program, "evicted", now)
        return
    cache.prefixes[program] = messages
    cache.n_tokens += n_tokens
    _add_event(cache, program, "stored", now)
    while cache.n_tokens > cache.capacity_tokens:
        least_recent = next(iter(cache.prefixes))
        _remove_prefix(cache, least_recent)
        _add_event(cache, least_recent, "evicted", now)


def release_prefix(
    cache: PrefixCache, program: StandinProgramId, now: datetime
) -> None:
    """Remove the cached prefix of a program, if there is one."""
    if program in cache.prefixes:
        _remove_prefix(cache, program)
        _add_event(cache, program, "evicted", now)


def list_events(
    cache: PrefixCache, after: int, now: datetime
) -> tuple[list[CacheEvent], int]:
    """Return the visible events after a number, and the last visible number."""
    visible = [
        event for event in cache.events if event.recorded_at <= now - cache.event_lag
    ]
    last_sequence_number = visible[-1].sequence_number if visible else 0
    return [
        event for event in visible if event.sequence_number > after
    ], last_sequence_number


def _remove_prefix(cache: PrefixCache, program: StandinProgramId) -> None:
    messages = cache.prefixes.pop(program, None)
    if messages is not None:
        cache.n_tokens -= count_prompt_tokens(messages)


def _add_event(
    cache: PrefixCache, program: StandinProgramId, kind: str, now: datetime
) -> None:
    cache.last_sequence_number += 1
    if (
        cache.n_events_per_gap
        and cache.last_sequence_number % cache.n_events_per_gap == 0
    ):
        return
    cache.events.append(CacheEvent(cache.last_sequence_number, program, kind, now))
    del cache.events[:-N_EVENTS_LIMIT]
