"""Drive the shipped decision code against the stand-ins of a measurement."""

from datetime import timedelta
from functools import singledispatchmethod
from random import Random
from typing import Protocol

from xxhash import xxh64_intdigest

from bench.process.engine import Server
from bench.process.loop import Loop
from bench.request.calls import Attempt, Call, Kind
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.scheduling.core import Effect, handle, make_pool_state
from oleanderhitch.process.scheduling.fallback import reduce_offers
from oleanderhitch.process.scheduling.messages import (
    EndpointOffer,
    EndpointsChanged,
    EnqueueRequest,
    GrantSlot,
    HoldSlot,
    RefuseRequest,
    ReleaseSlot,
)
from oleanderhitch.process.scheduling.records import PoolState
from oleanderhitch.process.scheduling.settings import PoolSettings
from oleanderhitch.request.ids import PermitId, RequestId
from oleanderhitch.version.ids import EndpointId, PoolId

POOL = PoolId("measured")
N_ENTRIES = 6
TICK_S = 0.05
# A new owner is named with the next renewal of the entries' leases.
OWNER_GAP_S = 3.0
MAX_OUTPUT_TOKENS = 4_096
DEADLINE_S = 600.0


class Policy(Protocol):
    """Serve the calls of one pool."""

    def submit(self, call: Call) -> None:
        """Take a call."""

    def leave(self, name: EndpointId) -> None:
        """Send nothing more to a server."""

    def lose_owner(self) -> None:
        """Lose the process that owns the pool's queue."""


class Shipped:
    """Send messages to pool queues and perform their effects."""

    def __init__(
        self,
        loop: Loop,
        servers: list[Server],
        random: Random,
        settings: PoolSettings,
    ) -> None:
        self._loop = loop
        self._servers = {server.name: server for server in servers}
        self._random = random
        self._settings = settings
        self._leaving: set[EndpointId] = set()
        self._calls: dict[RequestId, Call] = {}
        self._running: dict[PermitId, tuple[Attempt, PoolState]] = {}
        self._owner: PoolState | None = self._make_owner(self._make_offers())
        self._locals: list[PoolState] = []
        self._tick()

    def submit(self, call: Call) -> None:
        """Ask the owner for a slot, or an entry's own queue without an owner."""
        self._calls[call.request] = call
        self._handle(self._get_state(call), self._make_enqueue(call))

    def leave(self, name: EndpointId) -> None:
        """Announce that a server is leaving."""
        self._leaving.add(name)
        for state in self._list_states():
            self._handle(state, self._make_offers())

    def lose_owner(self) -> None:
        """Let entries choose locally until a new owner is rebuilt."""
        waiting = [] if self._owner is None else list(self._owner.waiting)
        self._owner = None
        self._locals = [
            self._make_owner(EndpointsChanged(())) for _ in range(N_ENTRIES)
        ]
        self._hold_running()
        for state in self._locals:
            self._handle(state, reduce_offers(self._make_offers(), N_ENTRIES))
        for request in waiting:
            self.submit(self._calls[request])
        self._loop.call_in(OWNER_GAP_S, self._rebuild)

    def _rebuild(self) -> None:
        old, self._locals = self._locals, []
        self._owner = self._make_owner(EndpointsChanged(()))
        self._hold_running()
        self._handle(self._owner, self._make_offers())
        for state in old:
            for request in list(state.waiting):
                self.submit(self._calls[request])

    def _get_state(self, call: Call) -> PoolState:
        return self._owner or self._locals[_get_entry(call)]

    def _hold_running(self) -> None:
        for permit, (attempt, _) in list(self._running.items()):
            state = self._get_state(attempt.call)
            self._running[permit] = (attempt, state)
            self._handle(state, self._make_hold(permit, attempt))

    def _make_owner(self, offers: EndpointsChanged) -> PoolState:
        state = make_pool_state(POOL, self._settings, self._random)
        self._handle(state, offers)
        return state

    def _list_states(self) -> list[PoolState]:
        return self._locals if self._owner is None else [self._owner]

    def _tick(self) -> None:
        for state in self._list_states():
            self._handle(state, Tick())
        self._loop.call_in(TICK_S, self._tick)

    def _handle(self, state: PoolState, message: object) -> None:
        for effect in handle(message, state, self._loop.now):
            self._perform(effect, state)

    @singledispatchmethod
    def _perform(self, effect: Effect, state: PoolState) -> None:
        raise TypeError(f"no effect {type(effect).__name__}")

    @_perform.register
    def _(self, grant: GrantSlot, state: PoolState) -> None:
        call = self._calls[grant.request]
        attempt = Attempt(
            call,
            grant.endpoint,
            grant.priority,
            self._loop.now_s,
            self._end,
            grant.permit,
        )
        if grant.is_hedge:
            self._join(attempt)
        self._running[grant.permit] = (attempt, state)
        self._servers[grant.endpoint].send(attempt)

    def _join(self, attempt: Attempt) -> None:
        for other, _ in self._running.values():
            if other.call is attempt.call:
                other.others.append(attempt)
                attempt.others.append(other)

    @_perform.register
    def _(self, refusal: RefuseRequest, state: PoolState) -> None:
        call = self._calls[refusal.request]
        call.n_refusals += 1
        delay_s = refusal.retry_after.total_seconds()
        self._loop.call_in(delay_s, lambda: self.submit(call))

    def _end(self, attempt: Attempt) -> None:
        for other in attempt.others:
            if not other.is_cancelled:
                self._servers[other.endpoint].cancel(other)
                self._release(other, False)
        del self._calls[attempt.call.request]
        self._release(attempt, True)
        attempt.call.on_done(attempt.call, attempt)

    def _release(self, attempt: Attempt, is_success: bool) -> None:
        assert attempt.permit is not None
        _, state = self._running.pop(attempt.permit)
        first_token = None
        if attempt.first_token_s is not None:
            first_token = timedelta(seconds=attempt.first_token_s - attempt.sent_s)
        release = ReleaseSlot(
            POOL,
            attempt.permit,
            attempt.endpoint,
            is_success,
            attempt.output_tokens,
            attempt.computed_tokens,
            first_token,
            timedelta(seconds=self._loop.now_s - attempt.sent_s),
        )
        self._handle(state, release)

    def _make_offers(self) -> EndpointsChanged:
        return EndpointsChanged(
            tuple(
                EndpointOffer(name, s.n_slots, s.cache_tokens, name in self._leaving)
                for name, s in self._servers.items()
            )
        )

    def _make_enqueue(self, call: Call) -> EnqueueRequest:
        return EnqueueRequest(
            POOL,
            call.request,
            call.program,
            call.account,
            NodeId(f"entry-{_get_entry(call)}"),
            call.is_idempotent,
            call.n_turns,
            call.attained_tokens,
            call.prompt_tokens,
            MAX_OUTPUT_TOKENS if call.kind is Kind.MODEL else 0,
            call.holders,
            (),
            timedelta(seconds=DEADLINE_S),
            timedelta(seconds=self._loop.now_s - call.submitted_s),
        )

    def _make_hold(self, permit: PermitId, attempt: Attempt) -> HoldSlot:
        call = attempt.call
        return HoldSlot(
            POOL,
            permit,
            call.request,
            call.program,
            call.account,
            NodeId(f"entry-{_get_entry(call)}"),
            attempt.endpoint,
            timedelta(seconds=self._loop.now_s - attempt.sent_s),
        )


def _get_entry(call: Call) -> int:
    # The load balancer may send each call to any entry.
    return xxh64_intdigest(call.request.encode()) % N_ENTRIES
