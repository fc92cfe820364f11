"""Estimate which prompt parts an endpoint's memory holds."""

from collections import OrderedDict
from dataclasses import dataclass, field

from oleanderhitch.process.placement.messages import InferenceWorkload, PromptPart


@dataclass(slots=True)
class CacheEstimate:
    """Hold the parts that were read on an endpoint, least recently used first."""

    capacity_tokens: int
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    n_tokens: int = 0


def count_missing_tokens(cache: CacheEstimate, shape: InferenceWorkload) -> int:
    """Return how many prompt tokens the endpoint has yet to read."""
    n_held = 0
    for part in shape.parts:
        # The part of a session grows with each of its turns; what was read of it
        # before is kept.
        n_part_held = min(cache.parts.get(part.part, 0), part.n_tokens)
        n_held += n_part_held
        if n_part_held < part.n_tokens:
            break
    return max(0, shape.prompt_tokens - n_held)


def note_prompt(cache: CacheEstimate, shape: InferenceWorkload) -> None:
    """Take account of a prompt that an endpoint reads."""
    for part in shape.parts:
        cache.n_tokens += part.n_tokens - cache.parts.get(part.part, 0)
        cache.parts[part.part] = part.n_tokens
        cache.parts.move_to_end(part.part)
    _drop_oldest(cache)


def add_held_parts(cache: CacheEstimate, parts: tuple[PromptPart, ...]) -> None:
    """Take account of parts that the endpoint was found to hold."""
    for part in parts:
        if part.part in cache.parts:
            # A prompt that was placed since then tells more.
            continue
        cache.n_tokens += part.n_tokens
        cache.parts[part.part] = part.n_tokens
        cache.parts.move_to_end(part.part, last=False)
    _drop_oldest(cache)


def resize(cache: CacheEstimate, capacity_tokens: int) -> None:
    """Set how many tokens the endpoint holds."""
    cache.capacity_tokens = capacity_tokens
    _drop_oldest(cache)


def _drop_oldest(cache: CacheEstimate) -> None:
    while cache.n_tokens > cache.capacity_tokens and cache.parts:
        _, n_tokens = cache.parts.popitem(last=False)
        cache.n_tokens -= n_tokens
