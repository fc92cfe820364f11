"""Define the messages and effects of the client of replicated groups."""

from datetime import timedelta

from msgspec import field

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.address import Address
from oleanderhitch.process.groups.messages import GroupCall
from oleanderhitch.process.ids import GroupId
from oleanderhitch.values import Value


class SubmitToGroup(Value, frozen=True):
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


class GroupResult(Value, frozen=True):
    """Returns the encoded result of a call."""

    tag: str
    body: bytes


class GroupTimedOut(Value, frozen=True):
    """Reports that a call got no reply in time; it may have taken effect."""

    tag: str
    reason: str


class GroupAway(Value, frozen=True):
    """Reports that a call was not sent, since its group has not answered for a while.

    The call has no effect.
    """

    tag: str
    reason: str


class SendToStore(Value, frozen=True):
    """Sends a call to a store."""

    store: HostAddress
    call: GroupCall


class SendReply(Value, frozen=True):
    """Sends a message to a reply address."""

    reply_address: Address
    message: GroupResult | GroupTimedOut | GroupAway
