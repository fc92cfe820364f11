"""Estimate which prompt parts are in an endpoint's prefix cache."""

from collections import OrderedDict

from msgspec import Struct, field

from oleanderhitch.process.placement.messages import InferenceWorkload, PromptPart


class CacheEstimate(Struct):
    """Estimated cache contents of an endpoint, least recently used part first."""

    capacity_tokens: int
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    n_tokens: int = 0

    def __deepcopy__(self, memo: object) -> "CacheEstimate":
        """Copy the parts at once; an explanation copies those of a whole service."""
        return CacheEstimate(self.capacity_tokens, self.parts.copy(), self.n_tokens)


def count_uncached_tokens(
    cache: CacheEstimate, workload: InferenceWorkload, has_prefix: bool = False
) -> int:
    """Return how many prompt tokens the endpoint still has to compute.

    `has_prefix` is whether it is assumed to have the first part.
    """
    n_cached = 0
    for number, part in enumerate(workload.parts):
        # The part of a session keeps its id and grows with each turn; the tokens of the
        # previous turns stay cached.
        n_part_cached = min(cache.parts.get(part.id, 0), part.n_tokens)
        if has_prefix and not number:
            n_part_cached = part.n_tokens
        n_cached += n_part_cached
        if n_part_cached < part.n_tokens:
            break
    return max(0, workload.prompt_tokens - n_cached)


def knows_prefix(cache: CacheEstimate, workload: InferenceWorkload) -> bool:
    """Return whether the part that a prompt shares with others is known to be cached.

    The last part belongs to the request or to its session.
    """
    return len(workload.parts) < 2 or workload.parts[0].id in cache.parts


def record_prompt(cache: CacheEstimate, workload: InferenceWorkload) -> None:
    """Record that an endpoint computes, and thereby caches, a prompt."""
    for part in workload.parts:
        cache.n_tokens += part.n_tokens - cache.parts.get(part.id, 0)
        cache.parts[part.id] = part.n_tokens
        cache.parts.move_to_end(part.id)
    _evict_oldest(cache)


def add_reported_parts(cache: CacheEstimate, parts: tuple[PromptPart, ...]) -> None:
    """Add parts that the endpoint reported as cached, as least recently used."""
    for part in parts:
        if part.id in cache.parts:
            # A prompt that was sent after the report is more recent.
            continue
        cache.n_tokens += part.n_tokens
        cache.parts[part.id] = part.n_tokens
        cache.parts.move_to_end(part.id, last=False)
    _evict_oldest(cache)


def resize(cache: CacheEstimate, capacity_tokens: int) -> None:
    """Set the cache capacity and evict parts beyond it."""
    cache.capacity_tokens = capacity_tokens
    _evict_oldest(cache)


def _evict_oldest(cache: CacheEstimate) -> None:
    while cache.n_tokens > cache.capacity_tokens and cache.parts:
        _, n_tokens = cache.parts.popitem(last=False)
        cache.n_tokens -= n_tokens
