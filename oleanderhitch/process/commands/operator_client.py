"""Define the client interface of operators' commands."""

from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from oleanderhitch.process.configuration.messages import (
    ConfigurationAnswer,
    Publish,
    PublishHistory,
    PublishResult,
)
from oleanderhitch.process.groups.placement import DEFAULT_N_SHARDS, Store
from oleanderhitch.process.membership.messages import NodeStatus
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.messages import Refused, RequestRecord
from oleanderhitch.request.ids import RequestId
from oleanderhitch.values import Value
from oleanderhitch.version.ids import ConfigurationVersion


class ClientSettings(Value, frozen=True):
    """Stores to connect to and the key file that authenticates the operator."""

    stores: tuple[Store, ...]
    key_file: Path | None
    n_shards: int = DEFAULT_N_SHARDS


class ConfigurationClient(Protocol):
    """Publishes configurations and reads versions, node status and outcomes.

    A call without a reply raises UnavailableError. A publish may then have been
    accepted or not; resending the same message returns its result.
    """

    def publish(self, publish: Publish) -> PublishResult:
        """Publish changed and removed documents."""

    def get_configuration(self, after: ConfigurationVersion) -> ConfigurationAnswer:
        """Return the accepted version and the documents changed after a version."""

    def get_history(self, n_limit: int) -> PublishHistory:
        """Return the latest accepted versions."""

    def get_status(self) -> NodeStatus:
        """Return the accepted version, the version in force and the nodes."""

    def get_outcome(
        self, program: ProgramId, request: RequestId
    ) -> RequestRecord | Refused:
        """Return the record of a request, or why it cannot be read."""


MakeConfigurationClient = Callable[[ClientSettings], ConfigurationClient]
