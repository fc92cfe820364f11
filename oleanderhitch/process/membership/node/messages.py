"""Define the messages within a node's process and the effects of its decisions."""

from dataclasses import dataclass
from datetime import datetime

from oleanderhitch.process.mailbox import Address
from oleanderhitch.process.membership.messages import NodeRow, PoolOwner
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.configuration import Configuration
from oleanderhitch.version.documents import ConfigurationDocument
from oleanderhitch.version.ids import ConfigurationVersion

# Messages that the node task receives from its own process.


@dataclass(frozen=True, slots=True)
class VersionInstalled:
    """Say that new work starts under a version."""

    version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class InstallFailed:
    """Say that this release cannot install a version."""

    version: ConfigurationVersion
    reason: str


@dataclass(frozen=True, slots=True)
class StoreUnreachable:
    """Say that the connection to a store broke or cannot be made."""

    store: HostPort


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """Say that the process is to stop once its running work has ended."""


# Effects of the node's decisions.


@dataclass(frozen=True, slots=True)
class SendToStore:
    """Send a message to a store."""

    store: HostPort
    message: object


@dataclass(frozen=True, slots=True)
class InstallVersion:
    """Compile the documents and start new work under them."""

    version: ConfigurationVersion
    documents: tuple[ConfigurationDocument, ...]


@dataclass(frozen=True, slots=True)
class WorkPermitted:
    """Permit new work to start until a time; the end needs no further message."""

    until: datetime


@dataclass(frozen=True, slots=True)
class WorkStopped:
    """Say that no new work may start until it is permitted again."""


@dataclass(frozen=True, slots=True)
class ConfigurationCompiled:
    """Hand a version to the task that starts work.

    It replies VersionInstalled once no new work starts under an older version;
    the leader reports the version in force on the strength of that.
    """

    configuration: Configuration
    reply: Address


@dataclass(frozen=True, slots=True)
class MembershipView:
    """Bring the nodes and pool owners that this node knows."""

    nodes: tuple[NodeRow, ...]
    owners: tuple[PoolOwner, ...]
