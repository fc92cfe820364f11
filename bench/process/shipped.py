"""Run the scheduler's decision code against simulated servers."""

from datetime import timedelta
from functools import singledispatchmethod
from random import Random
from typing import Protocol

from xxhash import xxh64_intdigest

from bench.process.loop import EventLoop
from bench.process.servers import Server
from bench.request.calls import Attempt, Call, CallKind
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
N_ENTRY_HOSTS = 6
TICK_INTERVAL_S = 0.05
# A new owner is assigned when the entry hosts renew their leases.
OWNER_FAILOVER_S = 3.0
OUTPUT_LIMIT_TOKENS = 4_096
TIME_TO_DEADLINE_S = 600.0


class Policy(Protocol):
    """Policy that sends the calls of a pool to its servers."""

    def submit(self, call: Call) -> None:
        """Accept a call."""

    def mark_leaving(self, name: EndpointId) -> None:
        """Send no more calls to a server."""

    def lose_owner(self) -> None:
        """Simulate the failure of the process that owns the pool's queue."""


class ShippedPolicy:
    """Policy that sends messages to the pool's queues and performs their effects.

    Without an owner, each entry host has a fallback queue with a part of the slots.
    """

    def __init__(
        self,
        loop: EventLoop,
        servers: list[Server],
        random_source: Random,
        settings: PoolSettings,
    ) -> None:
        self._loop = loop
        self._servers = {server.name: server for server in servers}
        self._random_source = random_source
        self._settings = settings
        self._leaving: set[EndpointId] = set()
        self._calls: dict[RequestId, Call] = {}
        self._running: dict[PermitId, tuple[Attempt, PoolState]] = {}
        self._owner_queue: PoolState | None = self._make_queue(self._make_offers())
        self._fallback_queues: list[PoolState] = []
        self._tick()

    def submit(self, call: Call) -> None:
        """Request a slot from the owner, or from a fallback queue without an owner."""
        self._calls[call.request] = call
        self._handle(self._get_queue(call), self._make_enqueue(call))

    def mark_leaving(self, name: EndpointId) -> None:
        """Announce to the queues that a server is leaving."""
        self._leaving.add(name)
        for state in self._list_queues():
            self._handle(state, self._make_offers())

    def lose_owner(self) -> None:
        """Use the fallback queues of the entry hosts until there is a new owner."""
        waiting = [] if self._owner_queue is None else list(self._owner_queue.waiting)
        self._owner_queue = None
        self._fallback_queues = [
            self._make_queue(EndpointsChanged(())) for _ in range(N_ENTRY_HOSTS)
        ]
        self._register_running()
        for state in self._fallback_queues:
            self._handle(state, reduce_offers(self._make_offers(), N_ENTRY_HOSTS))
        for request in waiting:
            self.submit(self._calls[request])
        self._loop.call_in(OWNER_FAILOVER_S, self._start_new_owner)

    def _start_new_owner(self) -> None:
        fallback_queues, self._fallback_queues = self._fallback_queues, []
        self._owner_queue = self._make_queue(EndpointsChanged(()))
        self._register_running()
        self._handle(self._owner_queue, self._make_offers())
        for state in fallback_queues:
            for request in list(state.waiting):
                self.submit(self._calls[request])

    def _get_queue(self, call: Call) -> PoolState:
        return self._owner_queue or self._fallback_queues[_get_entry_host_number(call)]

    def _register_running(self) -> None:
        for permit, (attempt, _) in list(self._running.items()):
            state = self._get_queue(attempt.call)
            self._running[permit] = (attempt, state)
            self._handle(state, self._make_hold(permit, attempt))

    def _make_queue(self, offers: EndpointsChanged) -> PoolState:
        state = make_pool_state(POOL, self._settings, self._random_source)
        self._handle(state, offers)
        return state

    def _list_queues(self) -> list[PoolState]:
        return (
            self._fallback_queues if self._owner_queue is None else [self._owner_queue]
        )

    def _tick(self) -> None:
        for state in self._list_queues():
            self._handle(state, Tick())
        self._loop.call_in(TICK_INTERVAL_S, self._tick)

    def _handle(self, state: PoolState, message: object) -> None:
        for effect in handle(message, state, self._loop.now):
            self._perform(effect, state)

    @singledispatchmethod
    def _perform(self, effect: Effect, state: PoolState) -> None:
        raise TypeError(f"policy does not support effect type {type(effect).__name__}")

    @_perform.register
    def _(self, grant: GrantSlot, state: PoolState) -> None:
        call = self._calls[grant.request]
        attempt = Attempt(
            call,
            grant.endpoint,
            grant.priority,
            self._loop.now_s,
            self._complete,
            grant.permit,
        )
        if grant.is_hedge:
            self._link_siblings(attempt)
        self._running[grant.permit] = (attempt, state)
        self._servers[grant.endpoint].send(attempt)

    def _link_siblings(self, attempt: Attempt) -> None:
        for running, _ in self._running.values():
            if running.call is attempt.call:
                running.sibling_attempts.append(attempt)
                attempt.sibling_attempts.append(running)

    @_perform.register
    def _(self, refusal: RefuseRequest, state: PoolState) -> None:
        call = self._calls[refusal.request]
        call.n_refusals += 1
        delay_s = refusal.retry_after.total_seconds()
        self._loop.call_in(delay_s, lambda: self.submit(call))

    def _complete(self, attempt: Attempt) -> None:
        for sibling in attempt.sibling_attempts:
            if not sibling.is_cancelled:
                self._servers[sibling.endpoint].cancel(sibling)
                self._release(sibling, False)
        del self._calls[attempt.call.request]
        self._release(attempt, True)
        attempt.call.on_completed(attempt.call, attempt)

    def _release(self, attempt: Attempt, is_success: bool) -> None:
        assert attempt.permit is not None
        _, state = self._running.pop(attempt.permit)
        time_to_first_token = None
        if attempt.first_token_s is not None:
            time_to_first_token = timedelta(
                seconds=attempt.first_token_s - attempt.sent_s
            )
        release = ReleaseSlot(
            POOL,
            attempt.permit,
            attempt.endpoint,
            is_success,
            attempt.output_tokens,
            attempt.computed_tokens,
            time_to_first_token,
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
            NodeId(f"entry-{_get_entry_host_number(call)}"),
            call.is_idempotent,
            call.n_turns,
            call.attained_tokens,
            call.prompt_tokens,
            OUTPUT_LIMIT_TOKENS if call.kind is CallKind.MODEL else 0,
            call.endpoints_with_prefix,
            (),
            timedelta(seconds=TIME_TO_DEADLINE_S),
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
            NodeId(f"entry-{_get_entry_host_number(call)}"),
            attempt.endpoint,
            timedelta(seconds=self._loop.now_s - attempt.sent_s),
        )


def _get_entry_host_number(call: Call) -> int:
    # A load balancer may send each call to any entry host.
    return xxh64_intdigest(call.request.encode()) % N_ENTRY_HOSTS
