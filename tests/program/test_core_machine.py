"""Test the record against nodes that die, resend, race and act late."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from oleanderhitch.program import messages as m
from oleanderhitch.program.core import apply
from oleanderhitch.program.states import EndReason
from oleanderhitch.request.states import Outcome
from tests.program.world import RESERVED, World

PROGRAMS = ("p", "p/c", "p/c/g")
NAMES = st.sampled_from(PROGRAMS)
ENDPOINTS = st.sampled_from(("e1", "e2"))
DELIVERED = st.sampled_from((True, True, True, False))
OUTCOMES = st.sampled_from((Outcome.COMPLETED, Outcome.FAILED, Outcome.UNKNOWN))
SPENT = st.sampled_from((RESERVED, RESERVED, RESERVED, 0, 25, 1000))


class ProgramMachine(RuleBasedStateMachine):
    """Let nodes and engines do what they may do, in any order."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.world.start("p", None, 300)

    def _pick(self, data, candidates):
        return data.draw(st.sampled_from(candidates)) if candidates else None

    def _pick_working(self, data):
        # Late runs matter most: they meet the runs that replaced them.
        working = [
            run
            for run in self.world.runs
            if run.is_alive and run.is_begun and run.finish is None
        ]
        return self._pick(data, working[-4:])

    @rule(name=NAMES, budget=st.sampled_from((20, 60)))
    def start(self, name, budget):
        """Start a program, perhaps again."""
        self.world.start(name, name.rpartition("/")[0] or None, budget)

    @rule(
        data=st.data(),
        step=st.sampled_from((0, 0, 0, 1, -1)),
        shift=st.sampled_from((0, 0, 0, 0, 1)),
        n_steps=st.integers(0, 4),
    )
    def begin(self, data, step, shift, n_steps):
        """Take a request on at another node, perhaps out of order."""
        name = self._pick(data, list(self.world.state.programs))
        if name is None:
            return
        entry = self.world.state.programs[name]
        number = entry.n_ordered + entry.n_not_run + 1 + step
        known = apply(m.GetOutcome(name, f"r{number}"), self.world.state)
        sequence = getattr(known, "sequence", entry.next_sequence) + shift
        run = self.world.begin(name, f"r{number}", sequence, number % 2 == 0)
        self._advance(data, run, n_steps)

    @rule(data=st.data(), n_steps=st.integers(1, 3))
    def advance(self, data, n_steps):
        """Let a node do the next steps of its run."""
        run = self._pick_working(data)
        if run is not None:
            self._advance(data, run, n_steps)

    def _advance(self, data, run, n_steps):
        for _ in range(n_steps):
            if run.finish is not None or not run.is_begun:
                return
            ready = sorted(run.acked - run.dispatched - run.failed)
            if ready:
                self.world.dispatch(run, ready[0])
            elif not run.endpoints:
                self.world.attempt(run, data.draw(ENDPOINTS), data.draw(st.booleans()))
            else:
                self.world.finish(run, data.draw(OUTCOMES), data.draw(SPENT))

    @rule(data=st.data(), endpoint=ENDPOINTS, early=st.booleans(), delivered=DELIVERED)
    def attempt(self, data, endpoint, early, delivered):
        """Record an attempt of a working run, perhaps a further one."""
        run = self._pick_working(data)
        if run is not None:
            self.world.attempt(run, endpoint, early, is_delivered=delivered)

    @rule(data=st.data(), delivered=DELIVERED)
    def fail(self, data, delivered):
        """Give an attempt up."""
        run = self._pick_working(data)
        number = run and self._pick(data, sorted(set(run.endpoints) - run.failed))
        if number:
            self.world.fail(run, number, is_delivered=delivered)

    @rule(data=st.data(), outcome=OUTCOMES, spent=SPENT, delivered=DELIVERED)
    def finish(self, data, outcome, spent, delivered):
        """Report an outcome at any point of a run."""
        run = self._pick_working(data)
        if run is not None:
            self.world.finish(run, outcome, spent, is_delivered=delivered)

    @rule(data=st.data())
    def die(self, data):
        """Let a request task die."""
        run = self._pick_working(data)
        if run is not None:
            run.is_alive = False

    @precondition(lambda self: self.world.sent)
    @rule(data=st.data())
    def deliver_again(self, data):
        """Deliver a command late or a second time."""
        index = data.draw(st.integers(1, min(12, len(self.world.sent))))
        command, run = self.world.sent[-index]
        if run is not None or isinstance(command, m.ConfirmRelease):
            self.world.deliver(len(self.world.sent) - index)

    @rule(data=st.data(), is_exact=st.booleans(), is_retried=st.booleans())
    def close(self, data, is_exact, is_retried):
        """Close a request from another node, even of a run that is alive."""
        run = self._pick(data, self.world.runs[-4:])
        if run is None:
            return
        name = run.name if is_exact else None
        self.world.send(m.CloseRequest(*run.key, self.world.now, name))
        if is_retried:
            begin = run.begin
            again = self.world.begin(*run.key, begin.sequence, begin.is_idempotent)
            self._advance(data, again, 2)

    @rule(name=NAMES, number=st.integers(1, 6))
    def look_up(self, name, number):
        """Read an outcome, which must agree with what was told before."""
        query = m.GetOutcome(name, f"r{number}")
        self.world.learn(query, apply(query, self.world.state))

    @rule(data=st.data(), reason=st.sampled_from(tuple(EndReason)))
    def end(self, data, reason):
        """End a program with whatever is open, the root more rarely."""
        names = [n for n in self.world.state.programs for _ in range(n.count("/") + 1)]
        name = self._pick(data, names)
        if name and data.draw(st.sampled_from((True, False))):
            self.world.end(name, reason)

    @rule(data=st.data(), delivered=DELIVERED)
    def free(self, data, delivered):
        """Release a listed engine."""
        releases = apply(m.ListReleases(), self.world.state).releases
        release = self._pick(data, releases)
        if release is not None:
            self.world.free(release, is_delivered=delivered)

    @rule(seconds=st.sampled_from((1, 1, 1, 31, 61, 121)))
    def expire(self, seconds):
        """Let time pass."""
        self.world.expire(seconds)

    @rule()
    def restart(self):
        """Restore the shard from its snapshot."""
        self.world.restart()


TestProgramMachine = ProgramMachine.TestCase
# Shrinking a failure explains it; the explain phase takes minutes here.
TestProgramMachine.settings = settings(
    settings.default,
    max_examples=settings.default.max_examples * 3,
    stateful_step_count=60,
    phases=(Phase.generate, Phase.shrink),
)
