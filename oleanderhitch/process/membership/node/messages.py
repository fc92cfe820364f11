"""Define the messages within a node's process and the effects of the node core."""

from datetime import datetime

from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.membership.messages import NodeRow, PoolOwner
from oleanderhitch.values import Value
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.documents import ConfigurationDocument
from oleanderhitch.version.ids import ConfigurationVersion

# Messages from other tasks of the process to the node task.


class VersionInstalled(Value, frozen=True):
    """Reports that new work starts under this version and no older one."""

    version: ConfigurationVersion


class InstallFailed(Value, frozen=True):
    """Reports that this software release cannot compile a version."""

    version: ConfigurationVersion
    reason: str


class StoreUnreachable(Value, frozen=True):
    """Reports that the connection to a store failed or cannot be opened."""

    store: HostPort


class LeaveRequested(Value, frozen=True):
    """Makes the node leave, because the process stops once its running work ends."""


# Effects of the node core, and messages from the node task to its subscriber.


class SendToStore(Value, frozen=True):
    """Sends a message to a store."""

    store: HostPort
    message: object


class InstallVersion(Value, frozen=True):
    """Compiles the documents and lets new work start under them."""

    version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]


class WorkPermitted(Value, frozen=True):
    """Allows new work to start before `until`.

    The receiver must check the time itself, since WorkStopped may arrive after `until`.
    """

    until: datetime


class WorkStopped(Value, frozen=True):
    """Forbids new work until the next WorkPermitted."""


class ConfigurationCompiled(Value, frozen=True):
    """Passes a compiled version to the task that starts work.

    That task replies with VersionInstalled once no new work starts under an older
    version. The leader relies on this to report the version in force.
    """

    configuration: Configuration
    reply_address: Address


class MembershipView(Value, frozen=True):
    """Reports the nodes and pool owners in this node's table after a change."""

    nodes: tuple[NodeRow, ...]
    owners: tuple[PoolOwner, ...]
