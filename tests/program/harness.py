"""Drive a shard with simulated nodes and engines and check its invariants."""

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from oleanderhitch.program import messages as m
from oleanderhitch.program.core import apply, make_shard_state
from oleanderhitch.program.snapshot import (
    encode_snapshot,
    make_snapshot_codec,
    restore_snapshot,
)
from oleanderhitch.program.states import EndReason
from oleanderhitch.request.states import Outcome

SILENCE_LIMIT = timedelta(seconds=60)
RETENTION = timedelta(seconds=120)
RESERVED_TOKENS = 10
SNAPSHOT_CODEC = make_snapshot_codec()


@dataclass(eq=False, repr=False)
class Run:
    """The state and progress of one request task on one node.

    The numbers of its attempts are in `acked` once their record is confirmed, in
    `dispatched` once an engine executes them, and in `failed` once abandoned.
    """

    name: str
    begin: m.BeginRequest
    is_alive: bool = True
    is_begun: bool = False
    endpoints: dict[int, str] = field(default_factory=dict)
    acked: set[int] = field(default_factory=set)
    dispatched: set[int] = field(default_factory=set)
    failed: set[int] = field(default_factory=set)
    finish: m.FinishRequest | None = None

    def __repr__(self):
        return f"{self.name} of {self.key}"

    @property
    def key(self):
        """The program and the request that the run serves."""
        return self.begin.program, self.begin.request


def _get_program(command):
    return getattr(command, "program", None)


class ShardHarness:
    """A shard, all commands sent to it, and the real effects outside of it.

    `executions` counts the executions of each request, and `used_tokens` what they used
    in each program and its ancestors. `reported_outcomes` are the outcomes that callers
    received. `cached_prompts` are the pairs of program and engine whose engine caches
    the prompt, and `expected_releases` those of them that the shard must list once the
    program has ended.
    """

    def __init__(self):
        self.state = make_shard_state(retention=RETENTION)
        self.now = datetime(2026, 1, 1, tzinfo=UTC)
        self.runs = []
        self.n_runs = 0
        self.sent = []
        self.results = {}
        self.executions = {}
        self.used_tokens = {}
        self.reported_outcomes = {}
        self.cached_prompts = set()
        self.expected_releases = set()

    # Commands and their results.

    def send(self, command, run=None, is_delivered=True):
        """Send a command; if it is not delivered now, it can be delivered later."""
        self.sent.append((command, run))
        return self.deliver(len(self.sent) - 1) if is_delivered else None

    def deliver(self, index):
        """Apply a sent command and pass the result to its sender."""
        command, run = self.sent[index]
        self.record_expected_releases(command, run)
        result = apply(command, self.state)
        self.record_result(command, result)
        if run is not None and run.is_alive:
            self.update_run(run, command, result)
        self.check_invariants()
        return result

    def record_expected_releases(self, command, run):
        """Add the engines that the shard must list once it has applied a command."""
        if run is None or run.begin.program not in self.state.programs:
            return
        if isinstance(command, m.RecordAttempt):
            if command.attempt in run.dispatched:
                pair = command.program, command.endpoint
                self.expected_releases |= {pair} & self.cached_prompts
        elif isinstance(command, m.FinishRequest | m.FailAttempt):
            entry = self.state.programs[command.program]
            for number in run.dispatched & run.acked:
                endpoint = run.endpoints[number]
                pair = command.program, endpoint
                is_recorded = endpoint in entry.holders or endpoint in entry.released
                if is_recorded and getattr(command, "was_sent", True):
                    self.expected_releases |= {pair} & self.cached_prompts

    def record_result(self, command, result):
        """Record the outcome that a result reports to the caller, if any."""
        if isinstance(result, m.RequestRecord) and result.outcome is not None:
            self.record_outcome(
                (result.program, result.request), result.outcome, result.answer
            )
        if isinstance(command, m.FinishRequest) and result == m.Done():
            key = command.program, command.request
            self.record_outcome(key, command.outcome, command.answer)

    def record_outcome(self, key, outcome, answer):
        """Check that the outcome reported for a request never changes."""
        if key[0] in self.state.programs:
            assert self.reported_outcomes.setdefault(key, (outcome, answer)) == (
                outcome,
                answer,
            )

    def update_run(self, run, command, result):
        """Update the progress of a run from the result of its command."""
        if isinstance(command, m.BeginRequest):
            run.is_begun = run.is_begun or isinstance(result, m.Begun)
        if isinstance(command, m.RecordAttempt) and result == m.Done():
            run.acked.add(command.attempt)

    # Actions of nodes, engines and time.

    def start_program(self, program, parent, budget, at=None, repeats=3):
        """Start a program or a sub-agent."""
        command = m.StartProgram(
            program, "a", parent, budget, 20, SILENCE_LIMIT, at or self.now, repeats
        )
        return self.send(command)

    def begin_request(
        self, program, request, sequence, is_idempotent, content=None, **options
    ):
        """Begin a request in a new run on a new node."""
        self.n_runs += 1
        name = f"run-{self.n_runs}"
        content = content or f"{program} {request}".encode()
        begin = m.BeginRequest(
            *(program, request, sequence, f"node-{self.n_runs}"),
            *(is_idempotent, RESERVED_TOKENS, content, f"{request}", self.now, name),
        )
        run = Run(name, begin)
        self.runs.append(run)
        self.send(begin, run, **options)
        return run

    def record_attempt(self, run, endpoint, is_early, **options):
        """Record an attempt; an early one is sent in parallel with its record."""
        number = len(run.endpoints) + 1
        run.endpoints[number] = endpoint
        if is_early and number == 1 and run.begin.is_idempotent:
            self.execute_attempt(run, number)
        command = m.RecordAttempt(
            *(*run.key, number, endpoint, RESERVED_TOKENS, True, self.now, run.name)
        )
        return self.send(command, run, **options)

    def execute_attempt(self, run, number):
        """Execute an attempt at its engine, which then caches the prompt."""
        run.dispatched.add(number)
        program, _ = run.key
        self.executions[run.key] = self.executions.get(run.key, 0) + 1
        while program:
            self.used_tokens[program] = (
                self.used_tokens.get(program, 0) + RESERVED_TOKENS
            )
            program = program.rpartition("/")[0]
        entry = self.state.programs.get(run.begin.program)
        open_request = entry and entry.open_request
        endpoint = run.endpoints[number]
        self.cached_prompts.add((run.begin.program, endpoint))
        if open_request and open_request.run == run.name and endpoint in entry.holders:
            self.expected_releases.add((run.begin.program, endpoint))

    def fail_attempt(self, run, number, **options):
        """Record that an attempt was not sent, or was sent and got no response."""
        run.failed.add(number)
        was_sent = number in run.dispatched
        spent = RESERVED_TOKENS if was_sent else 0
        command = m.FailAttempt(*run.key, number, was_sent, spent, self.now, run.name)
        return self.send(command, run, **options)

    def finish_request(self, run, outcome, spent=RESERVED_TOKENS, **options):
        """Report the outcome of a run, adjusted to what its attempts allow."""
        is_run = bool(run.dispatched)
        outcome = outcome if is_run else Outcome.NOT_RUN
        open_numbers = run.dispatched - run.failed
        if outcome is Outcome.COMPLETED and not open_numbers:
            outcome = Outcome.FAILED
        answer = run.name.encode() if outcome is Outcome.COMPLETED else b""
        spent = max(spent, RESERVED_TOKENS * bool(open_numbers))
        run.finish = m.FinishRequest(
            *(*run.key, outcome, answer, spent),
            *(self.now, run.name, max(open_numbers, default=None)),
        )
        return self.send(run.finish, run, **options)

    def end_program(self, program, reason=EndReason.FINISHED):
        """End a program."""
        return self.send(m.EndProgram(program, reason, self.now))

    def confirm_release(self, release, **options):
        """Delete the cached prompt of an engine and confirm the release."""
        self.expected_releases.discard((release.program, release.endpoint))
        self.cached_prompts.discard((release.program, release.endpoint))
        command = m.ConfirmRelease(
            release.program, release.endpoint, self.now, release.number
        )
        return self.send(command, **options)

    def expire_programs(self, seconds):
        """Let time pass and expire programs."""
        self.now += timedelta(seconds=seconds)
        before = set(self.state.programs)
        self.send(m.ExpirePrograms(self.now))
        for program in before - set(self.state.programs):
            assert not [p for p, _ in self.expected_releases if p == program]
            self.remove_program(program)

    def remove_program(self, program):
        """Remove all data of a deleted program, whose id may be used again."""
        self.used_tokens.pop(program, None)
        self.reported_outcomes = {
            k: v for k, v in self.reported_outcomes.items() if k[0] != program
        }
        self.executions = {k: v for k, v in self.executions.items() if k[0] != program}
        self.runs = [run for run in self.runs if run.begin.program != program]
        self.sent = [pair for pair in self.sent if program != _get_program(pair[0])]

    def restore_from_snapshot(self):
        """Replace the shard by one that is restored from its snapshot."""
        data = encode_snapshot(self.state, SNAPSHOT_CODEC)
        restored = make_shard_state(retention=RETENTION)
        restore_snapshot(restored, data, SNAPSHOT_CODEC)
        assert restored.programs == self.state.programs
        assert list(restored.programs) == list(self.state.programs)
        assert encode_snapshot(restored, SNAPSHOT_CODEC) == data
        self.state = restored

    # Invariants, checked after every step.

    def check_invariants(self):
        """Check all invariants."""
        for entry in self.state.programs.values():
            self.check_budget(entry)
            self.check_history(entry)
        for (program, request), (outcome, _) in self.reported_outcomes.items():
            if outcome is Outcome.NOT_RUN:
                assert not self.executions.get((program, request)), "ran after not run"
        self.check_executions()
        self.check_releases()

    def check_budget(self, entry):
        """Check that a program and its children stay within the budget."""
        committed = entry.spent_tokens + entry.reserved_tokens
        assert min(entry.spent_tokens, entry.reserved_tokens) >= 0
        assert committed <= entry.budget_tokens
        assert self.used_tokens.get(entry.program, 0) <= committed, (
            "used tokens exceed spent and reserved tokens"
        )
        open_tokens = entry.open_request.reserved_tokens if entry.open_request else 0
        children = [self.state.programs[child] for child in entry.children]
        for child in children:
            is_live = child.end_reason is None
            open_tokens += child.budget_tokens if is_live else child.reserved_tokens
            assert is_live is False or entry.end_reason is None
        assert entry.reserved_tokens == open_tokens

    def check_history(self, entry):
        """Check that turns are in order and belong to their program."""
        history = apply(m.GetHistory(entry.program), self.state)
        numbers = [turn.sequence for turn in history.turns]
        assert numbers == sorted(set(numbers))
        for turn in history.turns:
            assert turn.content.split()[0] == entry.program.encode()

    def check_executions(self):
        """Check that non-idempotent work ran at most once."""
        for run in self.runs:
            if not run.begin.is_idempotent:
                assert self.executions.get(run.key, 0) <= 1, "ran twice"

    def check_releases(self):
        """Check that engines of ended programs are listed until confirmed."""
        listed = {
            (release.program, release.endpoint)
            for release in apply(m.ListReleases(), self.state).releases
        }
        for program, endpoint in self.expected_releases:
            entry = self.state.programs.get(program)
            if entry and entry.end_reason and entry.open_request is None:
                assert (program, endpoint) in listed, "cached prompt is not listed"
