"""Simulated servers: engines with continuous batching and a prefix cache, services.

Time advances by events only. Event callbacks carry a version and are ignored if a later
event has been scheduled in their place.
"""

import heapq
from collections import OrderedDict
from dataclasses import dataclass

from bench.process.loop import EventLoop
from bench.request.calls import Attempt
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.version.ids import EndpointId


@dataclass(frozen=True, slots=True)
class EngineTiming:
    """Speed, batch size and cache capacity of an engine."""

    n_slots: int = 16
    cache_tokens: int = 450_000
    prefill_base_s: float = 0.02
    prefill_tokens_per_s: float = 10_000.0
    # Between two chunks of a prompt, one with a lower priority number may go first.
    prefill_chunk_tokens: int = 2_048
    step_base_s: float = 0.012
    # Each request in the batch makes every step longer by this.
    step_per_request_s: float = 0.0004

    def get_step_s(self, n_running: int) -> float:
        """Return the seconds of a step, which generates a token for each request."""
        return self.step_base_s + self.step_per_request_s * n_running


class Engine:
    """Engine that computes prompts chunk by chunk and generates tokens in one batch.

    `_progress_steps` counts the steps of the batch so far, fractions included; each
    step generates one token for each attempt in the batch. Prefixes of programs with
    running attempts are pinned: they are not evicted.
    """

    def __init__(self, loop: EventLoop, name: EndpointId, timing: EngineTiming) -> None:
        self.name = name
        self.timing = timing
        self._loop = loop
        self._slowdown = 1.0
        self._last_sequence_number = 0
        self._queue: list[tuple[int, int, Attempt]] = []
        self._prefill_queue: list[tuple[int, int, Attempt]] = []
        self._current_prefill: tuple[int, int, Attempt] | None = None
        self._batch: list[tuple[float, int, Attempt]] = []
        self._n_slots_used = 0
        self._n_decoding = 0
        self._progress_steps = 0.0
        self._progress_updated_s = 0.0
        self._chunk_ends_s = 0.0
        self._batch_version = 0
        self._chunk_version = 0
        self._cached_prefixes: OrderedDict[ProgramId, int] = OrderedDict()
        self._pin_counts: dict[ProgramId, int] = {}
        self._cached_tokens = 0

    @property
    def n_slots(self) -> int:
        """The number of attempts that can run at once."""
        return self.timing.n_slots

    @property
    def cache_tokens(self) -> int:
        """The capacity of the prefix cache."""
        return self.timing.cache_tokens

    @property
    def load(self) -> tuple[int, int]:
        """The numbers of attempts that run and that wait."""
        return self._n_slots_used, len(self._queue)

    def send(self, attempt: Attempt) -> None:
        """Queue an attempt, which starts when a slot is free."""
        self._last_sequence_number += 1
        heapq.heappush(
            self._queue, (attempt.priority, self._last_sequence_number, attempt)
        )
        self._admit()

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt and free its slot."""
        attempt.is_cancelled = True
        waiting = [entry for entry in self._queue if entry[2] is attempt]
        if waiting:
            self._queue.remove(waiting[0])
            heapq.heapify(self._queue)
            return
        if attempt.progress_at_first_token is not None:
            self._update_progress()
            attempt.output_tokens = int(
                self._progress_steps - attempt.progress_at_first_token
            )
            self._n_decoding -= 1
            self._schedule_next_completion()
        elif self._current_prefill is not None and attempt is self._current_prefill[2]:
            self._chunk_version += 1
            self._current_prefill = None
        self._free_slot(attempt)
        self._start_next_chunk()

    def set_slowdown(self, factor: float) -> None:
        """Multiply all durations by a factor, as a noisy neighbour would.

        Attempts that are running slow down too.
        """
        self._update_progress()
        remaining_s = self._chunk_ends_s - self._loop.now_s
        self._chunk_ends_s = self._loop.now_s + remaining_s * factor / self._slowdown
        self._slowdown = factor
        self._schedule_next_completion()
        if self._current_prefill is not None:
            self._schedule_chunk_end()

    def release_cache(self, program: ProgramId) -> None:
        """Remove the cached prefix of an ended program."""
        self._cached_tokens -= self._cached_prefixes.pop(program, 0)

    def _admit(self) -> None:
        while self._queue and self._n_slots_used < self.timing.n_slots:
            entry = heapq.heappop(self._queue)
            self._n_slots_used += 1
            program = entry[2].call.program
            self._pin_counts[program] = self._pin_counts.get(program, 0) + 1
            heapq.heappush(self._prefill_queue, entry)
        self._start_next_chunk()

    def _start_next_chunk(self) -> None:
        while self._current_prefill is None and self._prefill_queue:
            entry = heapq.heappop(self._prefill_queue)
            attempt = entry[2]
            if attempt.is_cancelled:
                continue
            self._current_prefill = entry
            seconds = 0.0
            if attempt.remaining_prompt_tokens is None:
                seconds = self.timing.prefill_base_s
                self._look_up_prefix(attempt)
            chunk_tokens = min(
                attempt.remaining_prompt_tokens or 0, self.timing.prefill_chunk_tokens
            )
            attempt.remaining_prompt_tokens = (
                attempt.remaining_prompt_tokens or 0
            ) - chunk_tokens
            seconds += chunk_tokens / self.timing.prefill_tokens_per_s
            self._chunk_ends_s = self._loop.now_s + seconds * self._slowdown
            self._schedule_chunk_end()

    def _look_up_prefix(self, attempt: Attempt) -> None:
        call = attempt.call
        if call.started_s is None:
            call.started_s = self._loop.now_s
        cached_tokens = min(
            self._cached_prefixes.get(call.program, 0), call.history_tokens
        )
        attempt.computed_tokens = call.prompt_tokens - cached_tokens
        attempt.remaining_prompt_tokens = attempt.computed_tokens
        call.recomputed_tokens += call.history_tokens - cached_tokens
        self._cache_prefix(call.program, call.prompt_tokens)

    def _schedule_chunk_end(self) -> None:
        self._chunk_version += 1
        version = self._chunk_version
        self._loop.call_at(self._chunk_ends_s, lambda: self._complete_chunk(version))

    def _complete_chunk(self, version: int) -> None:
        entry = self._current_prefill
        if version != self._chunk_version or entry is None:
            return
        self._current_prefill = None
        attempt = entry[2]
        if attempt.remaining_prompt_tokens:
            heapq.heappush(self._prefill_queue, entry)
            self._start_next_chunk()
            return
        self._update_progress()
        attempt.first_token_s = self._loop.now_s
        if attempt.call.first_token_s is None:
            attempt.call.first_token_s = self._loop.now_s
        attempt.progress_at_first_token = self._progress_steps
        self._n_decoding += 1
        last_token_progress = self._progress_steps + attempt.call.output_tokens
        self._last_sequence_number += 1
        heapq.heappush(
            self._batch, (last_token_progress, self._last_sequence_number, attempt)
        )
        self._schedule_next_completion()
        self._start_next_chunk()

    def _update_progress(self) -> None:
        if self._n_decoding:
            step_s = self.timing.get_step_s(self._n_decoding) * self._slowdown
            self._progress_steps += (
                self._loop.now_s - self._progress_updated_s
            ) / step_s
        self._progress_updated_s = self._loop.now_s

    def _schedule_next_completion(self) -> None:
        self._batch_version += 1
        while self._batch and self._batch[0][2].is_cancelled:
            heapq.heappop(self._batch)
        if not self._batch:
            return
        version = self._batch_version
        step_s = self.timing.get_step_s(self._n_decoding) * self._slowdown
        delay_s = max(0.0, self._batch[0][0] - self._progress_steps) * step_s
        self._loop.call_in(delay_s, lambda: self._complete_first(version))

    def _complete_first(self, version: int) -> None:
        if version != self._batch_version:
            return
        self._update_progress()
        attempt = heapq.heappop(self._batch)[2]
        self._n_decoding -= 1
        attempt.output_tokens = attempt.call.output_tokens
        self._cache_prefix(
            attempt.call.program, attempt.call.prompt_tokens + attempt.output_tokens
        )
        self._schedule_next_completion()
        self._free_slot(attempt)
        attempt.on_completed(attempt)

    def _free_slot(self, attempt: Attempt) -> None:
        self._n_slots_used -= 1
        program = attempt.call.program
        self._pin_counts[program] -= 1
        if not self._pin_counts[program]:
            del self._pin_counts[program]
        self._admit()

    def _cache_prefix(self, program: ProgramId, n_tokens: int) -> None:
        cached_tokens = self._cached_prefixes.pop(program, 0)
        n_tokens = max(cached_tokens, n_tokens)
        self._cached_prefixes[program] = n_tokens
        self._cached_tokens += n_tokens - cached_tokens
        if self._cached_tokens <= self.timing.cache_tokens:
            return
        for oldest in [
            name for name in self._cached_prefixes if name not in self._pin_counts
        ]:
            self._cached_tokens -= self._cached_prefixes.pop(oldest)
            if self._cached_tokens <= self.timing.cache_tokens:
                return


class Service:
    """Plain service with a FIFO queue."""

    def __init__(self, loop: EventLoop, name: EndpointId, n_slots: int) -> None:
        self.name = name
        self.n_slots = n_slots
        self.cache_tokens = 0
        self._loop = loop
        self._slowdown = 1.0
        self._n_running = 0
        self._queue: list[Attempt] = []

    @property
    def load(self) -> tuple[int, int]:
        """The numbers of calls that run and that wait."""
        return self._n_running, len(self._queue)

    def send(self, attempt: Attempt) -> None:
        """Queue a call, which starts when a slot is free."""
        self._queue.append(attempt)
        self._start_calls()

    def cancel(self, attempt: Attempt) -> None:
        """Cancel a call; a running one occupies its slot until its end."""
        attempt.is_cancelled = True
        if attempt in self._queue:
            self._queue.remove(attempt)

    def set_slowdown(self, factor: float) -> None:
        """Multiply the duration of calls that start from now on by a factor."""
        self._slowdown = factor

    def release_cache(self, program: ProgramId) -> None:
        """Do nothing; a plain service caches no prefixes."""

    def _start_calls(self) -> None:
        while self._queue and self._n_running < self.n_slots:
            attempt = self._queue.pop(0)
            self._n_running += 1
            if attempt.call.started_s is None:
                attempt.call.started_s = self._loop.now_s
            seconds = attempt.call.service_s * self._slowdown
            self._loop.call_in(seconds, lambda ended=attempt: self._complete(ended))  # type: ignore[misc]

    def _complete(self, attempt: Attempt) -> None:
        self._n_running -= 1
        self._start_calls()
        if not attempt.is_cancelled:
            attempt.on_completed(attempt)


Server = Engine | Service
