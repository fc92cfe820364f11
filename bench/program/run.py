"""Run one program step by step against a policy."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod
from itertools import count

from bench.process.engine import Server
from bench.process.loop import Loop
from bench.program.workload import (
    ModelStep,
    PauseStep,
    ProgramPlan,
    ServiceStep,
    Step,
    SubAgentStep,
)
from bench.request.calls import Attempt, Call, Kind
from oleanderhitch.program.ids import AccountId, ProgramId
from oleanderhitch.request.ids import RequestId
from oleanderhitch.version.ids import EndpointId

Submit = Callable[[Call], None]


@dataclass(slots=True)
class Measured:
    """Collect what a run shows."""

    calls: list[Call] = field(default_factory=list)
    # Account and latency of each program that is no sub-agent.
    programs: list[tuple[AccountId, float]] = field(default_factory=list)
    plans: list[ProgramPlan] = field(default_factory=list)
    n_running: int = 0


class ProgramRun:
    """Make the calls of one program in order."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        plan: ProgramPlan,
        submit: Submit,
        servers: dict[EndpointId, Server],
        measured: Measured,
        on_end: Callable[[], None],
    ) -> None:
        self.program = ProgramId(name)
        self._loop = loop
        self._plan = plan
        self._submit = submit
        self._servers = servers
        self._measured = measured
        self._on_end = on_end
        self._numbers = count(1)
        self._n_steps = 0
        self._n_turns = 0
        self._history_tokens = 0
        self._attained_tokens = 0
        self._holders: dict[EndpointId, None] = {}

    def advance(self) -> None:
        """Take the next step, or end."""
        if self._n_steps == len(self._plan.steps):
            for name in self._holders:
                self._servers[name].release(self.program)
            self._on_end()
            return
        self._n_steps += 1
        self._take(self._plan.steps[self._n_steps - 1])

    @singledispatchmethod
    def _take(self, step: Step) -> None:
        raise TypeError(f"no step {type(step).__name__}")

    @_take.register
    def _(self, step: PauseStep) -> None:
        self._loop.call_in(step.seconds, self.advance)

    @_take.register
    def _(self, step: ServiceStep) -> None:
        self._send(Kind.SERVICE, step.is_idempotent, 0, 0, step.seconds, False)

    @_take.register
    def _(self, step: ModelStep) -> None:
        self._send(
            Kind.MODEL,
            True,
            self._history_tokens + step.new_tokens,
            step.output_tokens,
            0.0,
            step.is_straggler,
        )

    @_take.register
    def _(self, step: SubAgentStep) -> None:
        n_left = len(step.programs)

        def end_one() -> None:
            nonlocal n_left
            n_left -= 1
            if not n_left:
                self.advance()

        for plan in step.programs:
            name = f"{self.program}.{next(self._numbers)}"
            ProgramRun(
                self._loop,
                name,
                plan,
                self._submit,
                self._servers,
                self._measured,
                end_one,
            ).advance()

    def _send(
        self,
        kind: Kind,
        is_idempotent: bool,
        prompt_tokens: int,
        output_tokens: int,
        service_s: float,
        is_straggler: bool,
    ) -> None:
        call = Call(
            RequestId(f"{self.program}/{next(self._numbers)}"),
            self.program,
            self._plan.account,
            kind,
            is_idempotent,
            self._n_turns,
            self._attained_tokens,
            self._history_tokens,
            prompt_tokens,
            tuple(self._holders) if kind is Kind.MODEL else (),
            self._loop.now_s,
            self._end_call,
            output_tokens,
            service_s,
            is_straggler,
        )
        self._measured.calls.append(call)
        self._submit(call)

    def _end_call(self, call: Call, attempt: Attempt) -> None:
        call.ended_s = self._loop.now_s
        self._n_turns += 1
        if call.kind is Kind.MODEL:
            self._history_tokens = call.prompt_tokens + call.output_tokens
            self._attained_tokens += call.prompt_tokens + call.output_tokens
            for each in (*attempt.others, attempt):
                self._holders[each.endpoint] = None
        self.advance()
