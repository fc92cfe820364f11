"""Stand in for a model engine: continuous batching and a prefix cache."""

import heapq
from collections import OrderedDict
from dataclasses import dataclass

from bench.process.loop import Loop
from bench.request.calls import Attempt
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.version.ids import EndpointId


@dataclass(frozen=True, slots=True)
class EngineTiming:
    """Hold the speed and the memory of an engine."""

    n_slots: int = 16
    cache_tokens: int = 450_000
    prefill_base_s: float = 0.02
    prefill_tokens_per_s: float = 10_000.0
    # Between two chunks of a prompt, one of a lower priority number goes first.
    chunk_tokens: int = 2_048
    step_base_s: float = 0.012
    # Each request of the batch makes every step of all others longer.
    step_per_request_s: float = 0.0004

    def get_step_s(self, n_running: int) -> float:
        """Return the time of one token for each request of the batch."""
        return self.step_base_s + self.step_per_request_s * n_running


class Engine:
    """Serve attempts; prompts one by one, answers as one batch."""

    def __init__(self, loop: Loop, name: EndpointId, timing: EngineTiming) -> None:
        self.name = name
        self.timing = timing
        self._loop = loop
        self._slow = 1.0
        self._n_queued = 0
        self._queue: list[tuple[int, int, Attempt]] = []
        self._prompts: list[tuple[int, int, Attempt]] = []
        self._prefilling: tuple[int, int, Attempt] | None = None
        self._batch: list[tuple[float, int, Attempt]] = []
        self._n_slots_taken = 0
        self._n_decoding = 0
        self._progress = 0.0
        self._synced_s = 0.0
        self._prefill_ends_s = 0.0
        self._version = 0
        self._prefill_version = 0
        self._cache: OrderedDict[ProgramId, int] = OrderedDict()
        self._pinned: dict[ProgramId, int] = {}
        self._cached_tokens = 0

    @property
    def n_slots(self) -> int:
        """Return the size of the batch."""
        return self.timing.n_slots

    @property
    def cache_tokens(self) -> int:
        """Return the size of the prefix cache."""
        return self.timing.cache_tokens

    @property
    def load(self) -> tuple[int, int]:
        """Return how many attempts run and how many wait."""
        return self._n_slots_taken, len(self._queue)

    def send(self, attempt: Attempt) -> None:
        """Take an attempt; it waits while the batch is full."""
        self._n_queued += 1
        heapq.heappush(self._queue, (attempt.priority, self._n_queued, attempt))
        self._admit()

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt and free its slot."""
        attempt.is_cancelled = True
        waiting = [entry for entry in self._queue if entry[2] is attempt]
        if waiting:
            self._queue.remove(waiting[0])
            heapq.heapify(self._queue)
            return
        if attempt.joined_progress is not None:
            self._sync()
            attempt.output_tokens = int(self._progress - attempt.joined_progress)
            self._n_decoding -= 1
            self._schedule_batch()
        elif self._prefilling is not None and attempt is self._prefilling[2]:
            self._prefill_version += 1
            self._prefilling = None
        self._leave(attempt)
        self._start_prefill()

    def set_slow(self, factor: float) -> None:
        """Make the engine slower, as a noisy neighbour does."""
        self._sync()
        remaining_s = self._prefill_ends_s - self._loop.now_s
        self._prefill_ends_s = self._loop.now_s + remaining_s * factor / self._slow
        self._slow = factor
        self._schedule_batch()
        if self._prefilling is not None:
            self._schedule_prefill()

    def release(self, program: ProgramId) -> None:
        """Free the memory of a program that has ended."""
        self._cached_tokens -= self._cache.pop(program, 0)

    def _admit(self) -> None:
        while self._queue and self._n_slots_taken < self.timing.n_slots:
            entry = heapq.heappop(self._queue)
            self._n_slots_taken += 1
            program = entry[2].call.program
            self._pinned[program] = self._pinned.get(program, 0) + 1
            heapq.heappush(self._prompts, entry)
        self._start_prefill()

    def _start_prefill(self) -> None:
        while self._prefilling is None and self._prompts:
            entry = heapq.heappop(self._prompts)
            attempt = entry[2]
            if attempt.is_cancelled:
                continue
            self._prefilling = entry
            seconds = 0.0
            if attempt.left_tokens is None:
                seconds = self.timing.prefill_base_s
                self._look_up_prefix(attempt)
            chunk = min(attempt.left_tokens or 0, self.timing.chunk_tokens)
            attempt.left_tokens = (attempt.left_tokens or 0) - chunk
            seconds += chunk / self.timing.prefill_tokens_per_s
            self._prefill_ends_s = self._loop.now_s + seconds * self._slow
            self._schedule_prefill()

    def _look_up_prefix(self, attempt: Attempt) -> None:
        call = attempt.call
        if call.started_s is None:
            call.started_s = self._loop.now_s
        cached = min(self._cache.get(call.program, 0), call.history_tokens)
        attempt.computed_tokens = call.prompt_tokens - cached
        attempt.left_tokens = attempt.computed_tokens
        call.recomputed_tokens += call.history_tokens - cached
        self._remember(call.program, call.prompt_tokens)

    def _schedule_prefill(self) -> None:
        self._prefill_version += 1
        version = self._prefill_version
        self._loop.call_at(self._prefill_ends_s, lambda: self._end_prefill(version))

    def _end_prefill(self, version: int) -> None:
        entry = self._prefilling
        if version != self._prefill_version or entry is None:
            return
        self._prefilling = None
        attempt = entry[2]
        if attempt.left_tokens:
            heapq.heappush(self._prompts, entry)
            self._start_prefill()
            return
        self._sync()
        attempt.first_token_s = self._loop.now_s
        if attempt.call.first_token_s is None:
            attempt.call.first_token_s = self._loop.now_s
        attempt.joined_progress = self._progress
        self._n_decoding += 1
        ends = self._progress + attempt.call.output_tokens
        self._n_queued += 1
        heapq.heappush(self._batch, (ends, self._n_queued, attempt))
        self._schedule_batch()
        self._start_prefill()

    def _sync(self) -> None:
        if self._n_decoding:
            step_s = self.timing.get_step_s(self._n_decoding) * self._slow
            self._progress += (self._loop.now_s - self._synced_s) / step_s
        self._synced_s = self._loop.now_s

    def _schedule_batch(self) -> None:
        self._version += 1
        while self._batch and self._batch[0][2].is_cancelled:
            heapq.heappop(self._batch)
        if not self._batch:
            return
        version = self._version
        step_s = self.timing.get_step_s(self._n_decoding) * self._slow
        delay_s = max(0.0, self._batch[0][0] - self._progress) * step_s
        self._loop.call_in(delay_s, lambda: self._end_first(version))

    def _end_first(self, version: int) -> None:
        if version != self._version:
            return
        self._sync()
        attempt = heapq.heappop(self._batch)[2]
        self._n_decoding -= 1
        attempt.output_tokens = attempt.call.output_tokens
        self._remember(
            attempt.call.program, attempt.call.prompt_tokens + attempt.output_tokens
        )
        self._schedule_batch()
        self._leave(attempt)
        attempt.on_end(attempt)

    def _leave(self, attempt: Attempt) -> None:
        self._n_slots_taken -= 1
        program = attempt.call.program
        self._pinned[program] -= 1
        if not self._pinned[program]:
            del self._pinned[program]
        self._admit()

    def _remember(self, program: ProgramId, n_tokens: int) -> None:
        known = self._cache.pop(program, 0)
        n_tokens = max(known, n_tokens)
        self._cache[program] = n_tokens
        self._cached_tokens += n_tokens - known
        if self._cached_tokens <= self.timing.cache_tokens:
            return
        for oldest in [name for name in self._cache if name not in self._pinned]:
            self._cached_tokens -= self._cache.pop(oldest)
            if self._cached_tokens <= self.timing.cache_tokens:
                return


class Service:
    """Serve calls of a plain service, first come, first served."""

    def __init__(self, loop: Loop, name: EndpointId, n_slots: int) -> None:
        self.name = name
        self.n_slots = n_slots
        self.cache_tokens = 0
        self._loop = loop
        self._slow = 1.0
        self._n_running = 0
        self._queue: list[Attempt] = []

    @property
    def load(self) -> tuple[int, int]:
        """Return how many calls run and how many wait."""
        return self._n_running, len(self._queue)

    def send(self, attempt: Attempt) -> None:
        """Take a call; it waits while all slots are taken."""
        self._queue.append(attempt)
        self._start()

    def cancel(self, attempt: Attempt) -> None:
        """Stop a call; one that runs keeps its slot to its end."""
        attempt.is_cancelled = True
        if attempt in self._queue:
            self._queue.remove(attempt)

    def set_slow(self, factor: float) -> None:
        """Make calls that start from now on slower."""
        self._slow = factor

    def release(self, program: ProgramId) -> None:
        """Do nothing, since a plain service keeps no prefixes."""

    def _start(self) -> None:
        while self._queue and self._n_running < self.n_slots:
            attempt = self._queue.pop(0)
            self._n_running += 1
            if attempt.call.started_s is None:
                attempt.call.started_s = self._loop.now_s
            seconds = attempt.call.service_s * self._slow
            self._loop.call_in(seconds, lambda ended=attempt: self._end(ended))  # type: ignore[misc]

    def _end(self, attempt: Attempt) -> None:
        self._n_running -= 1
        self._start()
        if not attempt.is_cancelled:
            attempt.on_end(attempt)


Server = Engine | Service
