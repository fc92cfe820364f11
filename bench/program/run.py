"""Run a simulated program step by step against a policy."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod
from itertools import count

from bench.process.loop import EventLoop
from bench.process.servers import Server
from bench.program.workload import (
    ModelStep,
    PauseStep,
    ProgramPlan,
    ServiceStep,
    Step,
    SubAgentStep,
)
from bench.request.calls import Attempt, Call, CallKind
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.ids import RequestId
from oleanderhitch.version.ids import EndpointId

Submit = Callable[[Call], None]


@dataclass(slots=True)
class Measurements:
    """Results of a run, collected for the measures."""

    calls: list[Call] = field(default_factory=list)
    # Account and latency of each program that is not a sub-agent.
    programs: list[tuple[AccountId, float]] = field(default_factory=list)
    plans: list[ProgramPlan] = field(default_factory=list)
    n_running: int = 0


class ProgramRun:
    """Program that runs the steps of its plan in order."""

    def __init__(
        self,
        loop: EventLoop,
        name: str,
        plan: ProgramPlan,
        submit: Submit,
        servers: dict[EndpointId, Server],
        measurements: Measurements,
        on_completed: Callable[[], None],
    ) -> None:
        self.program = ProgramId(name)
        self._loop = loop
        self._plan = plan
        self._submit = submit
        self._servers = servers
        self._measurements = measurements
        self._on_completed = on_completed
        self._sequence_numbers = count(1)
        self._n_steps = 0
        self._n_turns = 0
        self._history_tokens = 0
        self._attained_tokens = 0
        self._endpoints_with_prefix: dict[EndpointId, None] = {}

    def advance(self) -> None:
        """Run the next step, or complete the program."""
        if self._n_steps == len(self._plan.steps):
            for name in self._endpoints_with_prefix:
                self._servers[name].release_cache(self.program)
            self._on_completed()
            return
        self._n_steps += 1
        self._run_step(self._plan.steps[self._n_steps - 1])

    @singledispatchmethod
    def _run_step(self, step: Step) -> None:
        raise TypeError(f"program does not support step type {type(step).__name__}")

    @_run_step.register
    def _(self, step: PauseStep) -> None:
        self._loop.call_in(step.seconds, self.advance)

    @_run_step.register
    def _(self, step: ServiceStep) -> None:
        self._send(CallKind.SERVICE, step.is_idempotent, 0, 0, step.seconds, False)

    @_run_step.register
    def _(self, step: ModelStep) -> None:
        self._send(
            CallKind.MODEL,
            True,
            self._history_tokens + step.new_tokens,
            step.output_tokens,
            0.0,
            step.is_straggler,
        )

    @_run_step.register
    def _(self, step: SubAgentStep) -> None:
        n_left = len(step.programs)

        def complete_one() -> None:
            nonlocal n_left
            n_left -= 1
            if not n_left:
                self.advance()

        for plan in step.programs:
            name = f"{self.program}.{next(self._sequence_numbers)}"
            ProgramRun(
                self._loop,
                name,
                plan,
                self._submit,
                self._servers,
                self._measurements,
                complete_one,
            ).advance()

    def _send(
        self,
        kind: CallKind,
        is_idempotent: bool,
        prompt_tokens: int,
        output_tokens: int,
        service_s: float,
        is_straggler: bool,
    ) -> None:
        call = Call(
            RequestId(f"{self.program}/{next(self._sequence_numbers)}"),
            self.program,
            self._plan.account,
            kind,
            is_idempotent,
            self._n_turns,
            self._attained_tokens,
            self._history_tokens,
            prompt_tokens,
            tuple(self._endpoints_with_prefix) if kind is CallKind.MODEL else (),
            self._loop.now_s,
            self._complete_call,
            output_tokens,
            service_s,
            is_straggler,
        )
        self._measurements.calls.append(call)
        self._submit(call)

    def _complete_call(self, call: Call, attempt: Attempt) -> None:
        call.ended_s = self._loop.now_s
        self._n_turns += 1
        if call.kind is CallKind.MODEL:
            self._history_tokens = call.prompt_tokens + call.output_tokens
            self._attained_tokens += call.prompt_tokens + call.output_tokens
            for each in (*attempt.sibling_attempts, attempt):
                self._endpoints_with_prefix[each.endpoint] = None
        self.advance()
