"""Continuous batching: each step generates one token for every decoding stream."""

from datetime import datetime, timedelta

from standins.process.engine.cache import count_cached_tokens, store_prefix
from standins.process.engine.state import EngineState, LoadSample, Stream
from standins.process.faults import find_persistent_fault
from standins.request.messages import Chunk, SendMessage, StreamAborted, Usage
from standins.request.states import FaultKind, StreamPhase
from standins.request.text import (
    CHARACTERS_PER_TOKEN,
    count_prompt_tokens,
    make_text,
    split_continuation,
)

# Relative increase of the step time for each further decoding stream.
STEP_GROWTH_PER_STREAM = 0.05
ENDED_STREAM_RETENTION = timedelta(seconds=60)


def admit_streams(state: EngineState, now: datetime) -> None:
    """Fill free slots with waiting streams; the lowest priority number goes first."""
    state.waiting.sort(key=lambda stream: (stream.priority, stream.submission_number))
    while state.waiting and len(state.running) < state.settings.n_slots:
        _start_prefill(state, state.waiting.pop(0), now)
    _schedule_step(state, now)
    _record_load(state, now)


def step(state: EngineState, now: datetime) -> list[SendMessage]:
    """Generate the next token of each stream whose prefill is complete."""
    state.n_steps += 1
    decoding = [
        s
        for s in state.running
        if s.prefill_ends_at is not None and s.prefill_ends_at <= now
    ]
    effects: list[SendMessage] = []
    for stream in decoding:
        effects.extend(_generate_token(state, stream, now))
    state.next_step_at = None
    if decoding:
        state.next_step_at = now + _get_step_time(state, len(decoding))
    _delete_expired_streams(state, now)
    admit_streams(state, now)
    return effects


def end_stream(state: EngineState, stream: Stream, now: datetime) -> None:
    """Remove a stream from the queue or the batch; a running one's prefix is cached."""
    if stream in state.waiting:
        state.waiting.remove(stream)
    if stream in state.running:
        state.running.remove(stream)
        prompt, existing_text = split_continuation(stream.messages)
        text = existing_text + make_text(
            stream.seed, stream.start_offset, stream.start_offset + stream.n_characters
        )
        store_prefix(state.cache, stream.program, (*prompt, ("assistant", text)), now)
    stream.phase = StreamPhase.ENDED
    stream.ended_at = now
    state.ended.append(stream)


def make_usage(stream: Stream) -> Usage:
    """Return the token usage of a stream."""
    return Usage(stream.prompt_tokens, stream.cached_tokens, stream.n_tokens)


def _start_prefill(state: EngineState, stream: Stream, now: datetime) -> None:
    stream.phase = StreamPhase.RUNNING
    stream.prompt_tokens = count_prompt_tokens(stream.messages)
    stream.cached_tokens = count_cached_tokens(
        state.cache, stream.program, stream.messages
    )
    n_uncached = stream.prompt_tokens - stream.cached_tokens
    started_at = max(now, state.prefill_free_at or now)
    duration = timedelta(seconds=n_uncached / state.settings.prefill_tokens_per_s)
    stream.prefill_ends_at = started_at + duration * _get_slow_factor(state)
    state.prefill_free_at = stream.prefill_ends_at
    state.running.append(stream)


def _schedule_step(state: EngineState, now: datetime) -> None:
    if not state.running:
        state.next_step_at = None
        return
    is_decoding = any(s.n_tokens for s in state.running)
    if state.next_step_at is not None and is_decoding:
        return
    prefill_ends = [
        s.prefill_ends_at for s in state.running if s.prefill_ends_at is not None
    ]
    state.next_step_at = max(now, min(prefill_ends))


def _generate_token(
    state: EngineState, stream: Stream, now: datetime
) -> list[SendMessage]:
    if state.n_steps % _get_steps_per_token(state, stream):
        return []
    chunk = Chunk(
        stream.n_characters,
        make_text(
            stream.seed,
            stream.start_offset + stream.n_characters,
            stream.start_offset + stream.n_characters + CHARACTERS_PER_TOKEN,
        ),
    )
    stream.n_tokens += 1
    effects = [SendMessage(address, chunk) for address in stream.subscribers]
    if _must_abort(stream):
        end_stream(state, stream, now)
        state.streams.pop(stream.stream_id, None)
        return effects + [
            SendMessage(address, StreamAborted()) for address in stream.subscribers
        ]
    if stream.n_tokens >= stream.max_tokens:
        end_stream(state, stream, now)
        usage = make_usage(stream)
        effects.extend(SendMessage(address, usage) for address in stream.subscribers)
    return effects


def _must_abort(stream: Stream) -> bool:
    return stream.fault.kind is FaultKind.DIE_MID_STREAM and stream.n_tokens >= max(
        1, stream.fault.after_chunks
    )


def _get_slow_factor(state: EngineState) -> float:
    fault = find_persistent_fault(state.faults)
    return fault.factor if fault.kind is FaultKind.SLOW else 1.0


def _get_steps_per_token(state: EngineState, stream: Stream) -> int:
    # A fault with a limit of requests makes its streams skip steps; one without a limit
    # makes every step longer, see `_get_slow_factor`.
    if state.faults.n_requests_left is None:
        return 1
    is_slow = stream.fault.kind is FaultKind.SLOW
    return max(1, round(stream.fault.factor)) if is_slow else 1


def _get_step_time(state: EngineState, n_decoding: int) -> timedelta:
    growth = 1.0 + STEP_GROWTH_PER_STREAM * (n_decoding - 1)
    return state.settings.token_time * growth * _get_slow_factor(state)


def _delete_expired_streams(state: EngineState, now: datetime) -> None:
    while state.ended:
        ended_at = state.ended[0].ended_at
        if ended_at is None or now - ended_at < ENDED_STREAM_RETENTION:
            return
        state.streams.pop(state.ended.popleft().stream_id, None)


def _record_load(state: EngineState, now: datetime) -> None:
    state.load_samples.append(LoadSample(now, len(state.running), len(state.waiting)))
    reported_at = now - state.settings.load_lag
    while (
        len(state.load_samples) > 1 and state.load_samples[1].sampled_at <= reported_at
    ):
        state.load_samples.popleft()
