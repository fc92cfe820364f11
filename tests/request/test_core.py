"""Guard against wrong decisions of a request, with the decision core of its shard.

Each run draws the responses of shard, queue and endpoints and the order of their
arrival, including commands and replies that are lost.
"""

from datetime import UTC, datetime, timedelta
from functools import singledispatch

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

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
    AttemptRecorded,
    BeginReplyReceived,
    Call,
    CancelAttempt,
    CheckOwner,
    ChunkReceived,
    Dispatch,
    EndTask,
    EnqueueCall,
    LookUpCall,
    LookupCompleted,
    ModelWork,
    OwnerChecked,
    RelayChunk,
    ReleasePermit,
    RespondToCaller,
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
from oleanderhitch.request.results import translate_result, translate_timeout
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
    """Return a model call, or a call of a non-idempotent operation."""
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


class RequestHarness:
    """Simulates the shard, the queue and the endpoints of one request.

    Messages of one sender arrive in order, those of different senders in any order.
    """

    def __init__(self, data, is_idempotent):
        self.data = data
        self.now = NOW
        self.call = make_call(is_idempotent)
        self.state = make_request_state(self.call)
        self.shard = make_shard_state()
        apply(START_PROGRAM, self.shard)
        self.queues = {}
        self.caller_responses = []
        self.relayed = b""
        self.permits = set()
        self.n_permits = 0
        self.n_sent = 0
        self.has_ended = False
        self.enqueue("caller", Start())

    def choose(self, *options):
        """Draw one of the options."""
        return self.data.draw(st.sampled_from(options))

    def enqueue(self, sender, message):
        """Append a message to the queue of its sender."""
        self.queues.setdefault(sender, []).append(message)

    def run(self):
        """Deliver messages and advance the time until the request ends."""
        for _ in range(200):
            senders = [sender for sender, messages in self.queues.items() if messages]
            if self.has_ended:
                return
            if not senders or self.choose(True, False, False, False):
                self.now += timedelta(seconds=self.choose(0, 1, 11))
                self.step(Tick())
            else:
                self.step(self.queues[self.choose(*senders)].pop(0))

    def step(self, message):
        """Handle a message and simulate its effects."""
        for effect in handle(message, self.state, self.now):
            perform(effect, self)

    def submit(self, command):
        """Apply a command, lose it, or apply it and lose its reply."""
        delivery = self.choose("delivered", "delivered", "delivered", "lost", "unsent")
        result = None if delivery == "unsent" else apply(command, self.shard)
        message = translate_timeout(command, "no answer")
        if delivery == "delivered":
            message = translate_result(command, result)
        if message is not None:
            self.enqueue(f"shard {type(command).__name__}", message)

    def grant(self, is_hedge):
        """Grant a slot at a new endpoint."""
        self.n_permits += 1
        permit = PermitId(str(self.n_permits))
        self.permits.add(permit)
        endpoint = EndpointId(f"e{self.n_permits}")
        self.enqueue("queue", SlotGranted(endpoint, permit, 0, is_hedge))


@singledispatch
def perform(effect, harness):
    """Simulate the response to an effect."""
    assert isinstance(effect, CancelAttempt), f"unsupported: {type(effect).__name__}"


@perform.register
def _(effect: SubmitBegin, harness):
    sequence = SequenceNumber(1)
    is_idempotent = harness.call.is_idempotent
    harness.submit(
        BeginRequest(
            PROGRAM,
            REQUEST,
            sequence,
            NodeId("n"),
            is_idempotent,
            20,
            b"content",
            "digest",
            harness.now,
            RUN,
        )
    )


@perform.register
def _(effect: SubmitAttempt, harness):
    number, endpoint, tokens = (
        effect.attempt,
        effect.endpoint,
        effect.reserved_tokens,
    )
    harness.submit(
        RecordAttempt(
            PROGRAM, REQUEST, number, endpoint, tokens, True, harness.now, RUN
        )
    )


@perform.register
def _(effect: SubmitFailedAttempt, harness):
    number, was_sent, tokens = effect.attempt, effect.was_sent, effect.spent_tokens
    harness.submit(
        FailAttempt(PROGRAM, REQUEST, number, was_sent, tokens, harness.now, RUN)
    )


@perform.register
def _(effect: SubmitFinish, harness):
    harness.submit(
        FinishRequest(
            PROGRAM,
            REQUEST,
            effect.outcome,
            effect.answer,
            effect.spent_tokens,
            harness.now,
            RUN,
            effect.attempt,
            effect.context_tokens,
        )
    )


@perform.register
def _(effect: CheckOwner, harness):
    harness.enqueue("intake", OwnerChecked(False))


@perform.register
def _(effect: EnqueueCall, harness):
    if harness.choose(True, True, True, False):
        harness.grant(False)
        if harness.choose(True, False):
            harness.grant(True)
    else:
        harness.enqueue("queue", SlotRefused("full", timedelta(seconds=1)))


@perform.register
def _(effect: WithdrawCall, harness):
    for message in harness.queues.pop("queue", []):
        harness.permits.discard(getattr(message, "permit", None))


@perform.register
def _(effect: ReleasePermit, harness):
    assert effect.permit in harness.permits, "a permit was released twice"
    harness.permits.remove(effect.permit)


@perform.register
def _(effect: Dispatch, harness):
    number = effect.attempt
    sender = f"stream {number}"
    rest = ANSWER[len(effect.partial_answer) :]
    result = harness.choose("whole", "whole", "cut", "refused", "connect", "silent")
    if result == "connect":
        harness.enqueue(sender, StreamFailed(number, False, False, "refused"))
        return
    harness.n_sent += 1
    if not harness.call.is_idempotent:
        record = apply(GetOutcome(PROGRAM, REQUEST), harness.shard)
        assert record.n_attempts >= number, "the attempt was sent before its record"
    if result == "refused":
        harness.enqueue(sender, StreamFailed(number, True, True, "status 400"))
        return
    n_bytes = len(rest) if result == "whole" else harness.choose(*range(len(rest) + 1))
    harness.enqueue(sender, ChunkReceived(number, 0, rest[: n_bytes // 2 + 1]))
    harness.enqueue(
        sender, ChunkReceived(number, n_bytes // 2, rest[n_bytes // 2 : n_bytes])
    )
    if result == "whole":
        harness.enqueue(sender, StreamEnded(number, 5, 0, 5))
    elif result == "cut":
        harness.enqueue(sender, StreamFailed(number, True, False, "broken"))


@perform.register
def _(effect: LookUpCall, harness):
    harness.enqueue("lookup", LookupCompleted(harness.choose(True, False), b"found"))


@perform.register
def _(effect: RelayChunk, harness):
    harness.relayed += effect.data


@perform.register
def _(effect: RespondToCaller, harness):
    harness.caller_responses.append(effect)
    check_response(harness, effect)


@perform.register
def _(effect: EndTask, harness):
    harness.has_ended = True


@given(st.data(), st.booleans())
@settings(max_examples=600)
def test_random_request(data, is_idempotent):
    """Guard against duplicate calls, false outcomes, mixed text and leaked permits."""
    harness = RequestHarness(data, is_idempotent)
    harness.run()
    assert len(harness.caller_responses) <= 1, "the caller got two responses"
    if not is_idempotent:
        assert harness.n_sent <= 1, "a non-idempotent call was sent twice"
    summary = apply(GetProgram(PROGRAM), harness.shard)
    assert summary.spent_tokens + summary.reserved_tokens <= 500
    if not harness.has_ended:
        return
    assert len(harness.caller_responses) == 1
    assert not harness.permits - {
        message.permit
        for message in harness.queues.get("queue", [])
        if isinstance(message, SlotGranted)
    }, "a permit was never released"


def check_response(harness, response):
    """Check that a response matches the record and the calls that were sent."""
    record = apply(GetOutcome(PROGRAM, REQUEST), harness.shard)
    if response.outcome is Outcome.NOT_RUN:
        assert harness.n_sent == 0, "reported as not run, but sent"
    if response.outcome is Outcome.COMPLETED:
        assert isinstance(record, RequestRecord)
        assert record.outcome is Outcome.COMPLETED
        assert record.answer == response.answer
        assert response.answer in (ANSWER, b"found")
        if response.answer == ANSWER:
            assert harness.relayed == ANSWER, "the streamed text is not the answer"


def test_possible_duplicate_without_record_has_unknown_outcome():
    """Guard against a false "not run" for a call that was delivered twice.

    The first delivery may have run at another host; its record is in the shard, which
    does not reply.
    """
    for has_key, outcome in ((True, Outcome.UNKNOWN), (False, Outcome.NOT_RUN)):
        call = replace(make_call(False), has_idempotency_key=has_key)
        state = make_request_state(call)
        handle(Start(), state, NOW)
        response = handle(ShardUnreachable("no answer"), state, NOW)[0]
        assert response.outcome is outcome


def test_retries_while_endpoints_refuse_connections():
    """Guard against a call that fails because a few endpoints refuse connections."""
    state = make_request_state(make_call(True))
    handle(Start(), state, NOW)
    handle(BeginReplyReceived(Begun((), 0, (), 20)), state, NOW)
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
