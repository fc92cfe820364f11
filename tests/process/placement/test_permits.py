"""Guard against permits that outlive their requests, in any order of events."""

from collections import deque
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from oleanderhitch.process.directory.messages import ListedEndpoint
from oleanderhitch.process.placement.core import handle
from oleanderhitch.process.placement.effects import AskLeader, SendReply
from oleanderhitch.process.placement.messages import (
    AttemptResult,
    EndHolder,
    EndpointGranted,
    EndpointsListed,
    GetLoads,
    ReleaseEndpoint,
    SendPermitReply,
)
from oleanderhitch.process.placement.records import PlacementState
from oleanderhitch.request.ids import HolderId, PermitId
from tests.process.placement.test_core import (
    NOW,
    REPLY,
    acquire,
    make_endpoint,
    make_state,
)

N_REQUESTS = 6
EVENTS = st.sampled_from(("begin", "deliver", "answer", "end", "leave", "list", "late"))


def make_known_endpoint(name: str) -> ListedEndpoint:
    """Return an endpoint whose start is known."""
    return replace(make_endpoint(name, 1), born_ms=7)


class Host:
    """Placement and requests, whose messages to each other arrive when told to."""

    def __init__(self) -> None:
        self.state: PlacementState = make_state(
            make_known_endpoint("e1"), make_known_endpoint("e2")
        )
        self._now = NOW
        self._grants: deque[EndpointGranted] = deque()
        self._questions: deque[int] = deque()
        self._running: dict[HolderId, PermitId] = {}
        self._open: set[HolderId] = set()
        self._n_begun = 0

    def perform(self, event: str, choice: int) -> None:
        """Let one thing happen, to the request that the choice selects."""
        chosen = sorted(self._open)[choice % len(self._open)] if self._open else None
        if event == "begin":
            holder = HolderId(f"r{self._n_begun}")
            self._n_begun += 1
            self._open.add(holder)
            self._handle(acquire(holder))
        elif event == "deliver" and self._grants:
            grant = self._grants.popleft()
            # A request that has ended drops what comes for it.
            if grant.holder in self._open:
                self._running[grant.holder] = grant.permit
        elif event == "answer" and self._questions:
            number = self._questions.popleft()
            self._handle(SendPermitReply(number, is_leader=False))
        elif event == "end" and chosen in self._running:
            permit = self._running.pop(chosen)
            self._handle(ReleaseEndpoint(permit, AttemptResult.COMPLETED))
            self._end(chosen)
        elif event == "leave" and chosen is not None:
            self._running.pop(chosen, None)
            self._end(chosen)
        elif event == "list":
            names = ("e1", "e2")[: 1 + choice % 2]
            endpoints = tuple(make_known_endpoint(name) for name in names)
            self._handle(EndpointsListed(endpoints))
        elif event == "late":
            self._now += timedelta(seconds=6)

    def end_all(self) -> None:
        """End all requests in progress."""
        for holder in sorted(self._open):
            self._end(holder)

    def _end(self, holder: HolderId) -> None:
        self._open.discard(holder)
        self._handle(EndHolder(holder))

    def _handle(self, message: object) -> None:
        for effect in handle(message, self.state, self._now):
            if isinstance(effect, AskLeader):
                self._questions.append(effect.request.number)
            elif isinstance(effect, SendReply) and isinstance(
                effect.message, EndpointGranted
            ):
                self._grants.append(effect.message)


@given(st.lists(st.tuples(EVENTS, st.integers(0, N_REQUESTS)), max_size=60))
def test_no_order_of_events_leaves_a_permit_behind(
    events: list[tuple[str, int]],
) -> None:
    """Guard against a service that is refused while its endpoints are idle."""
    host = Host()
    for event, choice in events:
        host.perform(event, choice)
    host.end_all()
    state = host.state
    assert not state.permits
    assert not state.held_permits
    assert not state.undecided
    assert not state.has_waiting
    assert not any(queue.n_running for queue in state.queues.values())
    assert not state.permit_requests
    assert not any(state.pending_prefill_tokens.values())
    assert not any(endpoint.permits for endpoint in state.endpoints.values())


def test_callers_that_leave_at_once_leave_all_places() -> None:
    """Guard against grants on their way to requests that have ended."""
    state = make_state(make_endpoint("e1", 75))
    for number in range(150):
        handle(acquire(str(number)), state, NOW)
    for number in range(150):
        handle(EndHolder(HolderId(str(number))), state, NOW)
    (reply,) = handle(GetLoads(REPLY), state, NOW)
    assert isinstance(reply, SendReply)
    assert reply.message.loads == ()  # type: ignore[union-attr]
