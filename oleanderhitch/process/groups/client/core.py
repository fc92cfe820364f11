"""Choose the store that each call is sent to and resend calls without a reply."""

from datetime import datetime, timedelta
from functools import singledispatch

from msgspec import Struct, field

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.messages import LinkDown, LinkUp
from oleanderhitch.process.groups.client.messages import (
    GroupAway,
    GroupResult,
    GroupTimedOut,
    SendReply,
    SendToStore,
    SubmitToGroup,
)
from oleanderhitch.process.groups.messages import (
    GroupAnswer,
    GroupCall,
    GroupRedirect,
    GroupUncertain,
    StoresChanged,
)
from oleanderhitch.process.ids import CallId, GroupId, NodeId
from oleanderhitch.process.messages import Tick
from oleanderhitch.process.storage.identity import get_node

# A leader replies within a few milliseconds, so a store that takes longer than this has
# probably failed or is isolated.
RESEND_INTERVAL = timedelta(milliseconds=400)
# While a group has no leader, every store redirects immediately; the delay keeps the
# client from resending in a tight loop.
REDIRECT_DELAY = timedelta(milliseconds=50)
# One call at a time looks for the leader of a group, and the others follow it. All of
# them would flood a group that has no leader or is behind, which keeps it behind.
PROBE_INTERVAL = REDIRECT_DELAY
# An election takes up to a second, and a caller that waits for it is served sooner than
# one that is rejected. A group that leaves calls without an answer for longer than this
# has lost its majority or is overloaded.
AWAY_TIMEOUT = timedelta(milliseconds=1500)


class PendingCall(Struct):
    """Call that has no reply yet.

    `store` is where it was sent last or, if that store has refused it, goes next.
    """

    submission: SubmitToGroup
    call: GroupCall
    expires_at: datetime
    sent_at: datetime
    resend_at: datetime
    store: HostAddress
    is_refused: bool = False


class ClientState(Struct):
    """Pending calls and the last known leader of each group."""

    stores: dict[NodeId, HostAddress]
    leaders: dict[GroupId, HostAddress] = field(default_factory=dict)
    pending: dict[CallId, PendingCall] = field(default_factory=dict)
    # Since when each group has had waiting calls and answered none.
    unanswered_since: dict[GroupId, datetime] = field(default_factory=dict)
    # When a call last looked for the leader of each group.
    probed_at: dict[GroupId, datetime] = field(default_factory=dict)
    n_calls: int = 0


def make_client_state(stores: dict[NodeId, HostAddress]) -> ClientState:
    """Return the state of a client that has not found the leader of any group."""
    return ClientState(dict(stores))


@singledispatch
def handle(message: object, state: ClientState, now: datetime) -> list[object]:
    """Handle a message and return its effects."""
    raise TypeError(
        f"group client does not support message type {type(message).__name__}"
    )


@handle.register
def _(message: SubmitToGroup, state: ClientState, now: datetime) -> list[object]:
    if message.is_rejected_while_away and _is_away(message.group, state, now):
        reason = f"group {message.group} does not answer"
        return [SendReply(message.reply_address, GroupAway(message.tag, reason))]
    if not _has_waiting_call(message.group, state):
        state.unanswered_since[message.group] = now
    state.n_calls += 1
    call = GroupCall(
        CallId(state.n_calls),
        message.group,
        message.body,
        message.is_read,
        message.trace,
    )
    store = state.leaders.get(message.group) or next(iter(state.stores.values()))
    pending = PendingCall(
        message, call, now + message.timeout, now, now + RESEND_INTERVAL, store
    )
    state.pending[call.call] = pending
    return [SendToStore(store, call)]


@handle.register
def _(message: GroupAnswer, state: ClientState, now: datetime) -> list[object]:
    pending = state.pending.pop(message.call, None)
    if pending is None:
        return []
    state.leaders[pending.call.group] = pending.store
    state.unanswered_since[pending.call.group] = now
    result = GroupResult(pending.submission.tag, message.body)
    return [SendReply(pending.submission.reply_address, result)]


@handle.register
def _(message: GroupRedirect, state: ClientState, now: datetime) -> list[object]:
    pending = state.pending.get(message.call)
    if pending is None:
        return []
    leader_store = None
    if message.leader is not None:
        leader_store = state.stores.get(get_node(message.leader))
    if leader_store is not None and leader_store != pending.store:
        state.leaders[pending.call.group] = leader_store
        return _send(pending, leader_store, now)
    state.leaders.pop(pending.call.group, None)
    _refuse(pending, pending.store, state, now)
    return []


@handle.register
def _(message: GroupUncertain, state: ClientState, now: datetime) -> list[object]:
    pending = state.pending.get(message.call)
    if pending is not None:
        _refuse(pending, pending.store, state, now)
    return []


@handle.register
def _(message: LinkDown, state: ClientState, now: datetime) -> list[object]:
    for group in [g for g, store in state.leaders.items() if store == message.peer]:
        del state.leaders[group]
    for pending in state.pending.values():
        if pending.store == message.peer:
            resend_at = pending.resend_at
            _refuse(pending, message.peer, state, now)
            pending.resend_at = min(pending.resend_at, resend_at)
    return []


@handle.register
def _(message: StoresChanged, state: ClientState, now: datetime) -> list[object]:
    state.stores = dict(message.stores)
    return []


@handle.register
def _(message: LinkUp, state: ClientState, now: datetime) -> list[object]:
    return []


@handle.register
def _(message: Tick, state: ClientState, now: datetime) -> list[object]:
    effects: list[object] = []
    # Those that were sent last look for the leader last, so that each has its turn.
    for pending in sorted(state.pending.values(), key=_get_sent_at):
        if now >= pending.expires_at:
            del state.pending[pending.call.call]
            timed_out = GroupTimedOut(
                pending.submission.tag,
                f"group {pending.call.group} did not answer within "
                f"{pending.submission.timeout.total_seconds():.1f} s",
            )
            effects.append(SendReply(pending.submission.reply_address, timed_out))
        elif now >= pending.resend_at:
            effects.extend(_resend(pending, state, now))
    return effects


def _is_away(group: GroupId, state: ClientState, now: datetime) -> bool:
    """Return whether a group is known not to answer.

    One call at least must be waiting, since its answer shows that the group is back.
    """
    since = state.unanswered_since.get(group)
    is_overdue = since is not None and now - since >= AWAY_TIMEOUT
    return is_overdue and _has_waiting_call(group, state)


def _has_waiting_call(group: GroupId, state: ClientState) -> bool:
    return any(pending.call.group == group for pending in state.pending.values())


def _get_sent_at(pending: PendingCall) -> datetime:
    return pending.sent_at


def _resend(pending: PendingCall, state: ClientState, now: datetime) -> list[object]:
    """Send a call to a leader that has not got it, or let it look for the leader."""
    group = pending.call.group
    leader = state.leaders.get(group)
    if leader is not None and (pending.is_refused or leader != pending.store):
        return _send(pending, leader, now)
    probed_at = state.probed_at.get(group)
    if probed_at is not None and now - probed_at < PROBE_INTERVAL:
        return []
    state.probed_at[group] = now
    # Either the last store did not reply, or it refused the call and the next store has
    # already been chosen.
    has_timed_out = pending.resend_at - pending.sent_at >= RESEND_INTERVAL
    store = _get_next_store(state, pending.store) if has_timed_out else pending.store
    state.leaders.pop(group, None)
    return _send(pending, store, now)


def _refuse(
    pending: PendingCall, store: HostAddress, state: ClientState, now: datetime
) -> None:
    """Let the next store get a call that a store did not take."""
    pending.store = _get_next_store(state, store)
    pending.resend_at = now + REDIRECT_DELAY
    pending.is_refused = True


def _send(pending: PendingCall, store: HostAddress, now: datetime) -> list[object]:
    pending.store = store
    pending.is_refused = False
    pending.sent_at = now
    pending.resend_at = now + RESEND_INTERVAL
    return [SendToStore(store, pending.call)]


def _get_next_store(state: ClientState, store: HostAddress) -> HostAddress:
    stores = list(state.stores.values())
    position = stores.index(store) if store in stores else -1
    return stores[(position + 1) % len(stores)]
