"""Define the messages and effects of the client of replicated groups."""

from dataclasses import dataclass, field
from datetime import timedelta

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.groups.messages import GroupCall
from oleanderhitch.process.ids import GroupId


@dataclass(frozen=True, slots=True)
class SubmitToGroup:
    """Sends a call to the group's leader.

    The call is sent again until it gets a reply or the timeout expires, so the command
    must be safe to deliver more than once. The result carries `tag`, so that the sender
    can match it to the call. A call with `is_rejected_while_away` is not sent, and gets
    a GroupAway, if the group is known not to answer.
    """

    group: GroupId
    body: bytes
    is_read: bool
    timeout: timedelta
    tag: str
    reply_address: Address
    trace: dict[str, str] = field(default_factory=dict)
    is_rejected_while_away: bool = False


@dataclass(frozen=True, slots=True)
class GroupResult:
    """Returns the encoded result of a call."""

    tag: str
    body: bytes


@dataclass(frozen=True, slots=True)
class GroupTimedOut:
    """Reports that a call got no reply in time; it may have taken effect."""

    tag: str
    reason: str


@dataclass(frozen=True, slots=True)
class GroupAway:
    """Reports that a call was not sent, since its group has not answered for a while.

    The call has no effect.
    """

    tag: str
    reason: str


@dataclass(frozen=True, slots=True)
class SendToStore:
    """Sends a call to a store."""

    store: HostAddress
    call: GroupCall


@dataclass(frozen=True, slots=True)
class SendReply:
    """Sends a message to a reply address."""

    reply_address: Address
    message: GroupResult | GroupTimedOut | GroupAway
