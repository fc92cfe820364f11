"""State of an engine stand-in."""

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from oleanderhitch.process.mailbox import Address
from standins.process.engine.cache import PrefixCache
from standins.process.engine.orders import LoadedModel
from standins.process.faults import Fault, FaultPlan
from standins.request.ids import StandinProgramId, StreamId
from standins.request.states import StreamPhase
from standins.request.text import CHARACTERS_PER_TOKEN, Messages


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Settings from the command line.

    Load reports are `load_lag` old, cache events become visible after `event_lag`.
    Every `n_events_per_gap`-th event is lost, none if that is 0.
    """

    endpoint: str = "engine"
    model: str = "standin"
    prefill_tokens_per_s: float = 20_000.0
    token_time: timedelta = timedelta(milliseconds=10)
    n_slots: int = 16
    cache_tokens: int = 1_000_000
    checks_fencing: bool = True
    load_lag: timedelta = timedelta(seconds=2)
    event_lag: timedelta = timedelta(milliseconds=500)
    n_events_per_gap: int = 10
    load_time: timedelta = timedelta(milliseconds=500)


@dataclass(slots=True)
class Stream:
    """Generated answer and its subscribers.

    The text is a function of the seed and the character position. `start_offset` is the
    position of its first character: the length of the answer's part that the prompt
    contains already. `prefill_ends_at` is None while the stream waits for a slot.
    """

    stream_id: StreamId
    program: StandinProgramId
    messages: Messages
    seed: str
    start_offset: int
    max_tokens: int
    priority: int
    submission_number: int
    fault: Fault
    subscribers: list[Address]
    phase: StreamPhase = StreamPhase.WAITING
    n_tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    prefill_ends_at: datetime | None = None
    ended_at: datetime | None = None

    @property
    def n_characters(self) -> int:
        """The number of characters generated so far."""
        return self.n_tokens * CHARACTERS_PER_TOKEN


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of the engine at one time."""

    sampled_at: datetime
    n_running: int
    n_waiting: int


@dataclass(slots=True)
class EngineState:
    """State owned by the engine's task.

    Prompts are computed one after the other; `prefill_free_at` is when the last one is
    done. `load_samples` goes back as far as load reports lag.
    """

    settings: EngineSettings
    cache: PrefixCache
    loaded_model: LoadedModel
    faults: FaultPlan = field(default_factory=FaultPlan)
    streams: dict[StreamId, Stream] = field(default_factory=dict)
    waiting: list[Stream] = field(default_factory=list)
    running: list[Stream] = field(default_factory=list)
    ended: deque[Stream] = field(default_factory=deque)
    load_samples: deque[LoadSample] = field(default_factory=deque)
    last_submission_number: int = 0
    n_steps: int = 0
    prefill_free_at: datetime | None = None
    next_step_at: datetime | None = None


def make_engine_state(settings: EngineSettings) -> EngineState:
    """Return the initial state of an engine, with its model loaded."""
    return EngineState(
        settings,
        PrefixCache(
            settings.cache_tokens, settings.event_lag, settings.n_events_per_gap
        ),
        LoadedModel(settings.model, settings.checks_fencing, settings.load_time),
    )
