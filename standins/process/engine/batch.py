"""Advance the streams of an engine together, one token a step."""

from datetime import datetime, timedelta

from standins.process.engine.cache import count_cached_tokens, store_prefix
from standins.process.engine.state import EngineState, LoadSample, Stream
from standins.process.faults import find_lasting_fault
from standins.request.messages import Piece, Post, StreamLost, Usage
from standins.request.states import FaultKind, StreamPhase
from standins.request.text import (
    CHARACTERS_PER_TOKEN,
    count_prompt_tokens,
    make_text,
    split_continuation,
)

# Each further stream in the batch makes a step this much longer.
BATCH_GROWTH = 0.05
ENDED_KEPT = timedelta(seconds=60)


def admit_streams(state: EngineState, now: datetime) -> None:
    """Fill free slots with the waiting streams of the lowest priority number."""
    state.waiting.sort(key=lambda stream: (stream.priority, stream.number))
    while state.waiting and len(state.running) < state.settings.n_slots:
        _start_prefill(state, state.waiting.pop(0), now)
    _schedule_step(state, now)
    _add_sample(state, now)


def step(state: EngineState, now: datetime) -> list[Post]:
    """Give each stream whose prompt is computed its next token."""
    state.n_steps += 1
    decoding = [
        s for s in state.running if s.ready_at is not None and s.ready_at <= now
    ]
    effects: list[Post] = []
    for stream in decoding:
        effects.extend(_advance(state, stream, now))
    state.next_step_at = None
    if decoding:
        state.next_step_at = now + _get_step_time(state, len(decoding))
    _forget_ended(state, now)
    admit_streams(state, now)
    return effects


def end_stream(state: EngineState, stream: Stream, now: datetime) -> None:
    """Take a stream out of the batch and keep its prefix."""
    if stream in state.waiting:
        state.waiting.remove(stream)
    if stream in state.running:
        state.running.remove(stream)
        prompt, existing = split_continuation(stream.messages)
        text = existing + make_text(
            stream.seed, stream.start, stream.start + stream.n_characters
        )
        store_prefix(state.cache, stream.program, (*prompt, ("assistant", text)), now)
    stream.phase = StreamPhase.ENDED
    stream.ended_at = now
    state.ended.append(stream)


def make_usage(stream: Stream) -> Usage:
    """Return the usage that ends a stream."""
    return Usage(stream.prompt_tokens, stream.cached_tokens, stream.n_tokens)


def _start_prefill(state: EngineState, stream: Stream, now: datetime) -> None:
    stream.phase = StreamPhase.RUNNING
    stream.prompt_tokens = count_prompt_tokens(stream.messages)
    stream.cached_tokens = count_cached_tokens(
        state.cache, stream.program, stream.messages
    )
    n_computed = stream.prompt_tokens - stream.cached_tokens
    begin = max(now, state.prefill_free_at or now)
    duration = timedelta(seconds=n_computed / state.settings.prefill_tokens_per_s)
    stream.ready_at = begin + duration * _get_slow_factor(state)
    state.prefill_free_at = stream.ready_at
    state.running.append(stream)


def _schedule_step(state: EngineState, now: datetime) -> None:
    if not state.running:
        state.next_step_at = None
        return
    is_decoding = any(s.n_tokens for s in state.running)
    if state.next_step_at is not None and is_decoding:
        return
    ready = [s.ready_at for s in state.running if s.ready_at is not None]
    state.next_step_at = max(now, min(ready))


def _advance(state: EngineState, stream: Stream, now: datetime) -> list[Post]:
    if state.n_steps % _get_stride(state, stream):
        return []
    piece = Piece(
        stream.n_characters,
        make_text(
            stream.seed,
            stream.start + stream.n_characters,
            stream.start + stream.n_characters + CHARACTERS_PER_TOKEN,
        ),
    )
    stream.n_tokens += 1
    effects = [Post(address, piece) for address in stream.subscribers]
    if _is_dying(stream):
        end_stream(state, stream, now)
        state.streams.pop(stream.stream, None)
        return effects + [Post(address, StreamLost()) for address in stream.subscribers]
    if stream.n_tokens >= stream.max_tokens:
        end_stream(state, stream, now)
        usage = make_usage(stream)
        effects.extend(Post(address, usage) for address in stream.subscribers)
    return effects


def _is_dying(stream: Stream) -> bool:
    return stream.fault.kind is FaultKind.DIE_MID_STREAM and stream.n_tokens >= max(
        1, stream.fault.after_pieces
    )


def _get_slow_factor(state: EngineState) -> float:
    lasting = find_lasting_fault(state.faults)
    return lasting.factor if lasting.kind is FaultKind.SLOW else 1.0


def _get_stride(state: EngineState, stream: Stream) -> int:
    if state.faults.n_requests_left is None:
        return 1
    is_slow = stream.fault.kind is FaultKind.SLOW
    return max(1, round(stream.fault.factor)) if is_slow else 1


def _get_step_time(state: EngineState, n_decoding: int) -> timedelta:
    growth = 1.0 + BATCH_GROWTH * (n_decoding - 1)
    return state.settings.token_time * growth * _get_slow_factor(state)


def _forget_ended(state: EngineState, now: datetime) -> None:
    while state.ended:
        ended_at = state.ended[0].ended_at
        if ended_at is None or now - ended_at < ENDED_KEPT:
            return
        state.streams.pop(state.ended.popleft().stream, None)


def _add_sample(state: EngineState, now: datetime) -> None:
    state.samples.append(LoadSample(now, len(state.running), len(state.waiting)))
    oldest_needed = now - state.settings.load_lag
    while len(state.samples) > 1 and state.samples[1].at <= oldest_needed:
        state.samples.popleft()
