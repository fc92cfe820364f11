"""Define the messages within a node's process and the effects of the node core."""

from dataclasses import dataclass
from datetime import datetime

from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.membership.messages import NodeRow, PoolOwner
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.documents import ConfigurationDocument
from oleanderhitch.version.ids import ConfigurationVersion

# Messages from other tasks of the process to the node task.


@dataclass(frozen=True, slots=True)
class VersionInstalled:
    """Reports that new work starts under this version and no older one."""

    version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class InstallFailed:
    """Reports that this software release cannot compile a version."""

    version: ConfigurationVersion
    reason: str


@dataclass(frozen=True, slots=True)
class StoreUnreachable:
    """Reports that the connection to a store failed or cannot be opened."""

    store: HostPort


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """Makes the node leave, because the process stops once its running work ends."""


# Effects of the node core, and messages from the node task to its subscriber.


@dataclass(frozen=True, slots=True)
class SendToStore:
    """Sends a message to a store."""

    store: HostPort
    message: object


@dataclass(frozen=True, slots=True)
class InstallVersion:
    """Compiles the documents and lets new work start under them."""

    version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]


@dataclass(frozen=True, slots=True)
class WorkPermitted:
    """Allows new work to start before `until`.

    The receiver must check the time itself, since WorkStopped may arrive after `until`.
    """

    until: datetime


@dataclass(frozen=True, slots=True)
class WorkStopped:
    """Forbids new work until the next WorkPermitted."""


@dataclass(frozen=True, slots=True)
class ConfigurationCompiled:
    """Passes a compiled version to the task that starts work.

    That task replies with VersionInstalled once no new work starts under an older
    version. The leader relies on this to report the version in force.
    """

    configuration: Configuration
    reply_address: Address


@dataclass(frozen=True, slots=True)
class MembershipView:
    """Reports the nodes and pool owners in this node's table after a change."""

    nodes: tuple[NodeRow, ...]
    owners: tuple[PoolOwner, ...]
