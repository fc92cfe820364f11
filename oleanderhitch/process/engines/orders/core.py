"""Decide which orders the configuration leader sends to engines.

An engine that checks fencing numbers refuses the orders of an earlier leader itself.
For engines that don't, a leader sends no order that could still be in transit when its
lease expires, and a new leader sends none before the previous lease has expired by its
own clock. After each order, the leader reads which model the engine has loaded.
"""

from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.process.engines.messages import (
    CallEngine,
    EngineCallFailed,
    EngineDescription,
    EnginesChanged,
    LoadedModelRead,
    OrderAccepted,
    OrderRefused,
    ReadLoadedModel,
    SendOrder,
)
from oleanderhitch.process.engines.orders.messages import (
    DemandReported,
    ModelDemand,
    NewerLeaderDetected,
    OrdersLeadershipConfirmed,
    OrdersLeadershipGained,
    OrdersLeadershipLost,
)
from oleanderhitch.process.engines.orders.plan import AssignedEngine, find_reassignment
from oleanderhitch.process.engines.states import OrderKind
from oleanderhitch.process.ids import Term
from oleanderhitch.process.messages import Tick
from oleanderhitch.version.ids import EndpointId, ModelName

# Longest time from the decision to send an order until its connection is closed. The
# engine client's call timeout is shorter, and it sends no order whose call could end
# after `send_before`.
ORDER_SEND_TIMEOUT = timedelta(seconds=2)
# An order without effect counts as outstanding for this long. It must be longer than
# ORDER_SEND_TIMEOUT, or two orders of one leader could arrive in the wrong sequence.
ORDER_TIMEOUT = timedelta(seconds=10)
# A read takes about 1.2 ms of the leader's CPU time, and 6,900 engines are read.
IDLE_READ_INTERVAL = timedelta(minutes=5)
N_CONCURRENT_READS_LIMIT = 256
LOADING_READ_INTERVAL = timedelta(milliseconds=500)
# An order without a result may arrive after a later order of the same term and override
# it, so an engine is read more often for some time after an order.
WATCH_DURATION = timedelta(minutes=2)
WATCH_READ_INTERVAL = timedelta(seconds=5)
# Planning iterates over all engines. After an order, the next plan is made as soon as
# the weight store is free.
PLAN_INTERVAL = timedelta(seconds=2)
# A load that takes longer counts as failed.
MODEL_LOAD_TIMEOUT = timedelta(minutes=10)


class EngineRecord(Struct):
    """Last known state of an engine and its outstanding order.

    `model` is the loaded model or the one being loaded, as of `read_at`; it is None if
    the last read failed. `has_order_result` is set once the order was accepted or its
    call failed after sending.
    """

    description: EngineDescription
    model: ModelName | None = None
    read_at: datetime | None = None
    read_sent_at: datetime | None = None
    is_read_requested: bool = True
    loading_since: datetime | None = None
    order: SendOrder | None = None
    ordered_at: datetime | None = None
    has_order_result: bool = False
    watch_until: datetime | None = None


class Leadership(Struct):
    """Term and lease under which this leader sends orders."""

    term: Term
    previous_lease_until: datetime
    lease_until: datetime


class OrdersState(Struct):
    """Engines, demand for models and use of the weight store.

    All engines load weights from the weight store, which serves
    `weight_store_bytes_per_s`. `weight_store_free_at` is the time by which it has
    served the last order. `watched_engines` have a recent or outstanding order; their
    reads are checked at every tick, those of the others only when a plan is due.
    """

    weight_store_bytes_per_s: float
    leadership: Leadership | None = None
    engines: dict[EndpointId, EngineRecord] = field(default_factory=dict)
    demands: dict[ModelName, ModelDemand] = field(default_factory=dict)
    weight_store_free_at: datetime | None = None
    next_plan_at: datetime | None = None
    watched_engines: set[EndpointId] = field(default_factory=set)


def make_orders_state(weight_store_bytes_per_s: float) -> OrdersState:
    """Return the state of a process that is not the leader."""
    return OrdersState(weight_store_bytes_per_s)


@singledispatch
def handle(message: object, state: OrdersState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(f"orders does not support message type {type(message).__name__}")


@handle.register
def _(
    message: OrdersLeadershipGained, state: OrdersState, now: datetime
) -> list[object]:
    state.leadership = Leadership(
        message.term, message.previous_lease_until, message.lease_until
    )
    # Another leader may have sent orders since the last term of this one.
    for endpoint, record in state.engines.items():
        state.engines[endpoint] = EngineRecord(record.description)
    state.weight_store_free_at = None
    state.next_plan_at = None
    state.watched_engines.clear()
    return []


@handle.register
def _(
    message: OrdersLeadershipConfirmed, state: OrdersState, now: datetime
) -> list[object]:
    leadership = state.leadership
    if leadership is not None and leadership.term == message.term:
        leadership.lease_until = max(leadership.lease_until, message.lease_until)
    return []


@handle.register
def _(message: OrdersLeadershipLost, state: OrdersState, now: datetime) -> list[object]:
    state.leadership = None
    return []


@handle.register
def _(message: EnginesChanged, state: OrdersState, now: datetime) -> list[object]:
    previous = state.engines
    state.engines = {}
    for description in message.engines:
        record = previous.get(description.endpoint)
        if record is None or record.description.address != description.address:
            record = EngineRecord(description)
        record.description = description
        state.engines[description.endpoint] = record
    return []


@handle.register
def _(message: DemandReported, state: OrdersState, now: datetime) -> list[object]:
    state.demands = {demand.model: demand for demand in message.demands}
    return []


@handle.register
def _(message: OrderAccepted, state: OrdersState, now: datetime) -> list[object]:
    record = _find_ordered_engine(state, message.order)
    if record is not None:
        record.is_read_requested = True
        record.has_order_result = True
    return []


@handle.register
def _(message: OrderRefused, state: OrdersState, now: datetime) -> list[object]:
    record = _find_ordered_engine(state, message.order)
    if record is not None:
        _clear_order(record)
    return _check_fencing_number(state, message.fencing_number)


@handle.register
def _(message: EngineCallFailed, state: OrdersState, now: datetime) -> list[object]:
    request = message.request
    record = state.engines.get(request.endpoint)
    if record is None:
        return []
    if (
        isinstance(request, ReadLoadedModel)
        and request.requested_at == record.read_sent_at
    ):
        record.read_sent_at = None
        record.read_at = now
        record.model = None
    elif record.order == request and not message.was_sent:
        _clear_order(record)
    elif record.order == request:
        record.is_read_requested = True
        record.has_order_result = True
    return []


@handle.register
def _(message: LoadedModelRead, state: OrdersState, now: datetime) -> list[object]:
    record = state.engines.get(message.endpoint)
    if record is None or record.read_sent_at != message.requested_at:
        return []
    # The result is at least as recent as the request.
    record.read_at = record.read_sent_at
    record.read_sent_at = None
    record.model = message.loading_model or message.model
    if message.loading_model is None:
        record.loading_since = None
    elif record.loading_since is None:
        record.loading_since = now
    if record.order is not None and _is_order_finished(record, message, now):
        _clear_order(record)
    return _check_fencing_number(state, message.fencing_number)


@handle.register
def _(message: Tick, state: OrdersState, now: datetime) -> list[object]:
    leadership = state.leadership
    if leadership is None or now >= leadership.lease_until:
        return []
    is_plan_due = state.next_plan_at is None or now >= state.next_plan_at
    effects = _read_engines(state, leadership.previous_lease_until, now, is_plan_due)
    if is_plan_due:
        state.next_plan_at = now + PLAN_INTERVAL
        effects.extend(_send_next_order(state, leadership, now))
    return effects


def _read_engines(
    state: OrdersState, previous_lease_until: datetime, now: datetime, reads_all: bool
) -> list[object]:
    records = (
        list(state.engines.values()) if reads_all else _list_watched_engines(state, now)
    )
    n_reads_left = N_CONCURRENT_READS_LIMIT - sum(
        _is_being_read(engine, now) for engine in records
    )
    effects: list[object] = []
    for record in records:
        if len(effects) >= n_reads_left:
            # The remaining engines are read as soon as these reads have ended.
            state.next_plan_at = now
            break
        if _is_read_due(record, previous_lease_until, now):
            record.read_sent_at = now
            record.is_read_requested = False
            request = ReadLoadedModel(record.description.endpoint, now)
            effects.append(CallEngine(record.description.address, request))
    return effects


def _list_watched_engines(state: OrdersState, now: datetime) -> list[EngineRecord]:
    state.watched_engines = {
        endpoint
        for endpoint in state.watched_engines
        if endpoint in state.engines and _is_watched(state.engines[endpoint], now)
    }
    return [state.engines[endpoint] for endpoint in sorted(state.watched_engines)]


def _is_watched(record: EngineRecord, now: datetime) -> bool:
    is_recent = record.watch_until is not None and now < record.watch_until
    return is_recent or record.order is not None


def _is_being_read(record: EngineRecord, now: datetime) -> bool:
    # A read without a result after this time counts as lost.
    return (
        record.read_sent_at is not None
        and now - record.read_sent_at < ORDER_SEND_TIMEOUT
    )


def _send_next_order(
    state: OrdersState, leadership: Leadership, now: datetime
) -> list[object]:
    if any(record.read_at is None for record in state.engines.values()):
        # Loads that an earlier leader ordered use the weight store as well, so all
        # engines are read before the first order of a term.
        state.next_plan_at = now
        return []
    if now + ORDER_SEND_TIMEOUT > leadership.lease_until or not _is_weight_store_free(
        state, now
    ):
        return []
    engines = [
        AssignedEngine(
            record.description.endpoint,
            record.description.models,
            _get_assigned_model(record),
            _may_change_model(record, leadership, now),
        )
        for record in state.engines.values()
        if record.model is not None or record.order is not None
    ]
    demand = {
        model: model_demand.n_engines_needed
        for model, model_demand in state.demands.items()
    }
    reassignment = find_reassignment(engines, demand)
    if reassignment is None:
        return []
    endpoint, model = reassignment
    return [_send_order(state, state.engines[endpoint], model, leadership, now)]


def _is_weight_store_free(state: OrdersState, now: datetime) -> bool:
    if state.weight_store_free_at is not None and now < state.weight_store_free_at:
        return False
    return not any(
        record.order is None and _is_loading(record, now)
        for record in state.engines.values()
    )


def _is_loading(record: EngineRecord, now: datetime) -> bool:
    since = record.loading_since
    return since is not None and now - since < MODEL_LOAD_TIMEOUT


def _send_order(
    state: OrdersState,
    record: EngineRecord,
    model: ModelName,
    leadership: Leadership,
    now: datetime,
) -> CallEngine:
    order = SendOrder(
        record.description.endpoint,
        leadership.term,
        OrderKind.LOAD_MODEL,
        model,
        min(now + ORDER_SEND_TIMEOUT, leadership.lease_until),
    )
    record.order = order
    record.ordered_at = now
    record.has_order_result = False
    record.watch_until = now + WATCH_DURATION
    state.watched_engines.add(record.description.endpoint)
    seconds = state.demands[model].weight_bytes / state.weight_store_bytes_per_s
    state.weight_store_free_at = now + timedelta(seconds=seconds)
    state.next_plan_at = state.weight_store_free_at
    return CallEngine(record.description.address, order)


def _get_assigned_model(record: EngineRecord) -> ModelName:
    if record.order is not None:
        return ModelName(record.order.name)
    return record.model or ModelName("")


def _may_change_model(
    record: EngineRecord, leadership: Leadership, now: datetime
) -> bool:
    if record.order is not None or record.read_at is None:
        return False
    if _is_loading(record, now):
        return False
    if record.description.checks_fencing_tokens:
        return True
    # Until its lease expired, the previous leader may have changed the model.
    return (
        now >= leadership.previous_lease_until
        and record.read_at >= leadership.previous_lease_until
    )


def _is_read_due(
    record: EngineRecord, previous_lease_until: datetime, now: datetime
) -> bool:
    if _is_being_read(record, now):
        return False
    if record.is_read_requested or record.read_at is None:
        return True
    if (
        not record.description.checks_fencing_tokens
        and record.read_at < previous_lease_until <= now
    ):
        return True
    return now - record.read_at >= _get_read_interval(record, now)


def _get_read_interval(record: EngineRecord, now: datetime) -> timedelta:
    if record.order is not None or _is_loading(record, now):
        return LOADING_READ_INTERVAL
    has_failed = record.model is None
    return (
        WATCH_READ_INTERVAL
        if has_failed or _is_watched(record, now)
        else IDLE_READ_INTERVAL
    )


def _is_order_finished(
    record: EngineRecord, read: LoadedModelRead, now: datetime
) -> bool:
    if record.order is None or record.ordered_at is None:
        return True
    elapsed = now - record.ordered_at
    if not record.has_order_result and elapsed < ORDER_SEND_TIMEOUT:
        # The order may still be in transit even if the engine reports its model, which
        # an earlier order may have set.
        return False
    if read.model == record.order.name and read.loading_model is None:
        return True
    if read.loading_model == record.order.name:
        return elapsed >= MODEL_LOAD_TIMEOUT
    return elapsed >= ORDER_TIMEOUT


def _find_ordered_engine(state: OrdersState, order: SendOrder) -> EngineRecord | None:
    record = state.engines.get(order.endpoint)
    return record if record is not None and record.order == order else None


def _clear_order(record: EngineRecord) -> None:
    record.order = None
    record.ordered_at = None


def _check_fencing_number(state: OrdersState, fencing_number: Term) -> list[object]:
    leadership = state.leadership
    if leadership is None or fencing_number <= leadership.term:
        return []
    state.leadership = None
    return [NewerLeaderDetected(fencing_number)]
