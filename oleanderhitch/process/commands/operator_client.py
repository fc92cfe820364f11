"""Define how operators' commands reach the system."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from oleanderhitch.process.configuration.messages import (
    ConfigurationAnswer,
    Publish,
    PublishAnswer,
    PublishHistory,
)
from oleanderhitch.process.groups.placement import N_SHARDS_DEFAULT, Store
from oleanderhitch.process.membership.messages import NodeStatus
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.messages import Refused, RequestRecord
from oleanderhitch.request.ids import RequestId
from oleanderhitch.version.ids import ConfigurationVersion


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Say which stores to ask and which key to prove."""

    stores: tuple[Store, ...]
    key_file: Path | None
    n_shards: int = N_SHARDS_DEFAULT


class ConfigurationClient(Protocol):
    """Ask the configuration leader; each call raises UnavailableError.

    After UnavailableError a publish may or may not have been accepted; a resend
    of the same message tells which.
    """

    def publish(self, publish: Publish) -> PublishAnswer:
        """Publish documents."""

    def get_configuration(self, after: ConfigurationVersion) -> ConfigurationAnswer:
        """Return the accepted version and the documents changed after another."""

    def get_history(self, n_limit: int) -> PublishHistory:
        """Return the latest accepted versions."""

    def get_status(self) -> NodeStatus:
        """Return the version in force and the nodes."""

    def get_outcome(
        self, program: ProgramId, request: RequestId
    ) -> RequestRecord | Refused:
        """Return what is recorded of a request."""


ConfigurationClientFactory = Callable[[ClientSettings], ConfigurationClient]
