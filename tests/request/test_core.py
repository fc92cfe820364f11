"""Test the course of a request against a real program record.

Each run draws what shard, queue and endpoint do, in any order, with lost
answers; the shard is the shipped program core.
"""

from dataclasses import replace
from datetime import UTC, datetime, timedelta
from functools import singledispatch

from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.program.core import apply, make_shard_state
from oleanderhitch.program.ids import AccountId, ProgramId, RunId, SequenceNumber
from oleanderhitch.program.messages import (
    BeginRequest,
    Begun,
    FailAttempt,
    FinishRequest,
    GetOutcome,
    GetProgram,
    RecordAttempt,
    RequestRecord,
    StartProgram,
)
from oleanderhitch.request.core import handle
from oleanderhitch.request.ids import AttemptNumber, PermitId, RequestId
from oleanderhitch.request.messages import (
    AnswerCaller,
    AttemptRecorded,
    BeginAnswered,
    Call,
    CancelAttempt,
    CheckOwner,
    ChunkReceived,
    Dispatch,
    EndTask,
    EnqueueCall,
    LookupAnswered,
    LookUpCall,
    ModelWork,
    OwnerChecked,
    RelayChunk,
    ReleasePermit,
    ServiceWork,
    ShardUnreachable,
    SlotGranted,
    SlotRefused,
    Start,
    StreamEnded,
    StreamFailed,
    SubmitAttempt,
    SubmitBegin,
    SubmitFailedAttempt,
    SubmitFinish,
    WithdrawCall,
)
from oleanderhitch.request.results import make_answer, make_unreachable
from oleanderhitch.request.state import make_request_state
from oleanderhitch.request.states import Outcome
from oleanderhitch.version.ids import EndpointId, PoolId

NOW = datetime(2026, 1, 1, tzinfo=UTC)
PROGRAM = ProgramId("p")
REQUEST = RequestId("r")
RUN = RunId("run")
ANSWER = b"hello world"
START_PROGRAM = StartProgram(
    PROGRAM, AccountId("a"), None, 500, 9, timedelta(hours=1), NOW
)


def make_call(is_idempotent):
    """Return a call of a model or of an operation that may not be repeated."""
    work = ModelWork("m", ({"role": "user", "content": "hi"},), 10)
    if not is_idempotent:
        work = ServiceWork("s", "file_waiver", b"{}")
    return Call(
        REQUEST,
        AccountId("a"),
        PROGRAM,
        SequenceNumber(1),
        PoolId("m@r"),
        work,
        is_idempotent,
        20,
        "digest",
        NOW + timedelta(seconds=10),
        {},
    )


class World:
    """Play shard, queue and endpoints for one request.

    Messages of one sender arrive in order, those of different senders in any.
    """

    def __init__(self, data, is_idempotent):
        self.data = data
        self.now = NOW
        self.call = make_call(is_idempotent)
        self.state = make_request_state(self.call)
        self.shard = make_shard_state()
        apply(START_PROGRAM, self.shard)
        self.lanes = {}
        self.answers = []
        self.relayed = b""
        self.permits = set()
        self.n_permits = 0
        self.n_sent = 0
        self.has_ended = False
        self.post("caller", Start())

    def choose(self, *options):
        """Draw one of the options."""
        return self.data.draw(st.sampled_from(options))

    def post(self, lane, message):
        """Queue a message behind the others of its sender."""
        self.lanes.setdefault(lane, []).append(message)

    def run(self):
        """Deliver messages and time until the request ends."""
        for _ in range(200):
            waiting = [lane for lane, messages in self.lanes.items() if messages]
            if self.has_ended:
                return
            if not waiting or self.choose(True, False, False, False):
                self.now += timedelta(seconds=self.choose(0, 1, 11))
                self.step(Tick())
            else:
                self.step(self.lanes[self.choose(*waiting)].pop(0))

    def step(self, message):
        """Handle a message and play the effects."""
        for effect in handle(message, self.state, self.now):
            perform(effect, self)

    def submit(self, command):
        """Apply a command, or lose it, or lose its answer."""
        fate = self.choose("answered", "answered", "answered", "lost", "unsent")
        result = None if fate == "unsent" else apply(command, self.shard)
        message = make_unreachable(command, "no answer")
        if fate == "answered":
            message = make_answer(command, result)
        if message is not None:
            self.post(f"shard {type(command).__name__}", message)

    def grant(self, is_hedge):
        """Grant a slot."""
        self.n_permits += 1
        permit = PermitId(str(self.n_permits))
        self.permits.add(permit)
        endpoint = EndpointId(f"e{self.n_permits}")
        self.post("queue", SlotGranted(endpoint, permit, 0, is_hedge))


@singledispatch
def perform(effect, world):
    """Play what an effect leads to."""
    assert isinstance(effect, CancelAttempt), f"no part plays {type(effect).__name__}"


@perform.register
def _(effect: SubmitBegin, world):
    sequence = SequenceNumber(1)
    is_idempotent = world.call.is_idempotent
    world.submit(
        BeginRequest(
            PROGRAM,
            REQUEST,
            sequence,
            NodeId("n"),
            is_idempotent,
            20,
            b"content",
            "digest",
            world.now,
            RUN,
        )
    )


@perform.register
def _(effect: SubmitAttempt, world):
    number, endpoint, tokens = (
        effect.attempt,
        effect.endpoint,
        effect.reserved_tokens,
    )
    world.submit(
        RecordAttempt(PROGRAM, REQUEST, number, endpoint, tokens, True, world.now, RUN)
    )


@perform.register
def _(effect: SubmitFailedAttempt, world):
    number, was_sent, tokens = effect.attempt, effect.was_sent, effect.spent_tokens
    world.submit(
        FailAttempt(PROGRAM, REQUEST, number, was_sent, tokens, world.now, RUN)
    )


@perform.register
def _(effect: SubmitFinish, world):
    world.submit(
        FinishRequest(
            PROGRAM,
            REQUEST,
            effect.outcome,
            effect.answer,
            effect.spent_tokens,
            world.now,
            RUN,
            effect.attempt,
            effect.context_tokens,
        )
    )


@perform.register
def _(effect: CheckOwner, world):
    world.post("intake", OwnerChecked(False))


@perform.register
def _(effect: EnqueueCall, world):
    if world.choose(True, True, True, False):
        world.grant(False)
        if world.choose(True, False):
            world.grant(True)
    else:
        world.post("queue", SlotRefused("full", timedelta(seconds=1)))


@perform.register
def _(effect: WithdrawCall, world):
    for message in world.lanes.pop("queue", []):
        world.permits.discard(getattr(message, "permit", None))


@perform.register
def _(effect: ReleasePermit, world):
    assert effect.permit in world.permits, "a permit was released twice"
    world.permits.remove(effect.permit)


@perform.register
def _(effect: Dispatch, world):
    number = effect.attempt
    lane = f"stream {number}"
    rest = ANSWER[len(effect.answered) :]
    fate = world.choose("whole", "whole", "cut", "refused", "connect", "silent")
    if fate == "connect":
        world.post(lane, StreamFailed(number, False, False, "refused"))
        return
    world.n_sent += 1
    if not world.call.is_idempotent:
        record = apply(GetOutcome(PROGRAM, REQUEST), world.shard)
        assert record.n_attempts >= number, "sent before its attempt was recorded"
    if fate == "refused":
        world.post(lane, StreamFailed(number, True, True, "status 400"))
        return
    n_bytes = len(rest) if fate == "whole" else world.choose(*range(len(rest) + 1))
    world.post(lane, ChunkReceived(number, 0, rest[: n_bytes // 2 + 1]))
    world.post(lane, ChunkReceived(number, n_bytes // 2, rest[n_bytes // 2 : n_bytes]))
    if fate == "whole":
        world.post(lane, StreamEnded(number, 5, 0, 5))
    elif fate == "cut":
        world.post(lane, StreamFailed(number, True, False, "broken"))


@perform.register
def _(effect: LookUpCall, world):
    world.post("look-up", LookupAnswered(world.choose(True, False), b"found"))


@perform.register
def _(effect: RelayChunk, world):
    world.relayed += effect.data


@perform.register
def _(effect: AnswerCaller, world):
    world.answers.append(effect)
    check_answer(world, effect)


@perform.register
def _(effect: EndTask, world):
    world.has_ended = True


@given(st.data(), st.booleans())
@settings(max_examples=600)
def test_course_of_a_request(data, is_idempotent):
    """Guard against doubled calls, false outcomes, mixed text and lost permits."""
    world = World(data, is_idempotent)
    world.run()
    assert len(world.answers) <= 1, "a caller got two answers"
    if not is_idempotent:
        assert world.n_sent <= 1, "a call that may not be repeated was sent twice"
    summary = apply(GetProgram(PROGRAM), world.shard)
    assert summary.spent_tokens + summary.reserved_tokens <= 500
    if not world.has_ended:
        return
    assert len(world.answers) == 1
    assert not world.permits - {
        message.permit
        for message in world.lanes.get("queue", [])
        if isinstance(message, SlotGranted)
    }, "a permit was never given back"


def check_answer(world, answer):
    """Check that the answer agrees with the record and with what was sent."""
    record = apply(GetOutcome(PROGRAM, REQUEST), world.shard)
    if answer.outcome is Outcome.NOT_RUN:
        assert world.n_sent == 0, "told not run, but it was sent"
    if answer.outcome is Outcome.COMPLETED:
        assert isinstance(record, RequestRecord)
        assert record.outcome is Outcome.COMPLETED
        assert record.answer == answer.answer
        assert answer.answer in (ANSWER, b"found")
        if answer.answer == ANSWER:
            assert world.relayed == ANSWER, "the streamed text is not the answer"


def test_a_repeat_that_cannot_ask_the_record_is_not_told_not_run():
    """Guard against "not run" for a call whose first delivery ran elsewhere."""
    for has_key, outcome in ((True, Outcome.UNKNOWN), (False, Outcome.NOT_RUN)):
        call = replace(make_call(False), has_caller_key=has_key)
        state = make_request_state(call)
        handle(Start(), state, NOW)
        told = handle(ShardUnreachable("no answer"), state, NOW)[0]
        assert told.outcome is outcome


def test_finds_the_one_endpoint_that_takes_connections():
    """Guard against a call that fails because a few endpoints are down."""
    state = make_request_state(make_call(True))
    handle(Start(), state, NOW)
    handle(BeginAnswered(Begun((), 0, (), 20)), state, NOW)
    for number in range(1, 6):
        granted = SlotGranted(EndpointId(f"e{number}"), PermitId("p"), 0, False)
        effects = handle(granted, state, NOW)
        if number > 1:
            effects = handle(AttemptRecorded(AttemptNumber(number)), state, NOW)
        assert any(isinstance(effect, Dispatch) for effect in effects)
        failed = StreamFailed(AttemptNumber(number), False, False, "refused")
        effects = handle(failed, state, NOW)
        assert isinstance(effects[-1], EnqueueCall)
    assert len(effects[-1].excluded) == 5
