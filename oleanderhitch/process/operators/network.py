"""Implement the clients of operators' commands over peer streams."""

from pathlib import Path
from typing import TypeVar

from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer_codec import make_project_codec
from oleanderhitch.exceptions import InvalidInputError, UnavailableError
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.commands.operator_client import (
    ClientSettings,
    ConfigurationClient,
)
from oleanderhitch.process.configuration.messages import (
    ConfigurationAnswer,
    GetConfiguration,
    GetPublishHistory,
    Publish,
    PublishConflict,
    Published,
    PublishHistory,
    PublishIdReused,
    PublishRefused,
    PublishResult,
)
from oleanderhitch.process.groups.placement import (
    CONFIGURATION_GROUP,
    get_program_group,
)
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.membership.messages import GetNodeStatus, NodeStatus
from oleanderhitch.process.operators.client import OperatorClient, make_operator_client
from oleanderhitch.process.operators.hosts import HostsClient
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.program.messages import GetOutcome, Refused, RequestRecord
from oleanderhitch.request.ids import RequestId
from oleanderhitch.request.naming import make_request_id
from oleanderhitch.version.ids import ConfigurationVersion

OPERATOR_NODE = NodeId("operator")

Expected = TypeVar("Expected")


class NetworkConfigurationClient:
    """Implements ConfigurationClient over peer streams.

    A call without the expected reply raises UnavailableError.
    """

    def __init__(self, client: OperatorClient, n_shards: int) -> None:
        self._client = client
        self._n_shards = n_shards

    def publish(self, publish: Publish) -> PublishResult:
        """Publish changed and removed documents."""
        result = self._client.submit(CONFIGURATION_GROUP, publish, False)
        if isinstance(
            result, Published | PublishConflict | PublishRefused | PublishIdReused
        ):
            return result
        raise UnavailableError(f"unexpected answer to a publish: {result}")

    def get_configuration(self, after: ConfigurationVersion) -> ConfigurationAnswer:
        """Return the accepted version and the documents changed after a version."""
        return self._read(GetConfiguration(after), ConfigurationAnswer)

    def get_history(self, n_limit: int) -> PublishHistory:
        """Return the latest accepted versions."""
        return self._read(GetPublishHistory(n_limit), PublishHistory)

    def get_status(self) -> NodeStatus:
        """Return the status from the leader, or from another store if none leads."""
        latest_status = None
        for store in self._client.stores:
            reply = self._client.send_request(store, GetNodeStatus())
            if isinstance(reply, NodeStatus):
                latest_status = reply
                if reply.is_leading:
                    return reply
        if latest_status is None:
            raise UnavailableError("no store answered; check the stores and the key")
        return latest_status

    def get_outcome(
        self, program: ProgramId, request: RequestId
    ) -> RequestRecord | Refused:
        """Return the record of a request, or why it cannot be read."""
        group = get_program_group(program, self._n_shards)
        query = GetOutcome(program, make_request_id(program, request))
        result = self._client.submit(group, query, True)
        if isinstance(result, RequestRecord | Refused):
            return result
        raise UnavailableError(f"unexpected answer to a look-up: {result}")

    def _read(self, query: object, expected: type[Expected]) -> Expected:
        result = self._client.submit(CONFIGURATION_GROUP, query, True)
        if isinstance(result, expected):
            return result
        raise UnavailableError(f"unexpected answer to a read: {result}")


def make_configuration_client(settings: ClientSettings) -> ConfigurationClient:
    """Return a started client; raise InvalidInputError without a key."""
    return NetworkConfigurationClient(
        start_operator_client(settings), settings.n_shards
    )


def make_hosts_client(settings: ClientSettings) -> HostsClient:
    """Return a started client; raise InvalidInputError without a key."""
    return HostsClient(start_operator_client(settings))


def read_key(key_file: Path | None) -> bytes:
    """Return the shared key; raise InvalidInputError without a file."""
    if key_file is None or not key_file.is_file():
        raise InvalidInputError(
            f"expected a file with the shared key, got {key_file}; "
            "use --key-file or OLEANDERHITCH_KEY_FILE"
        )
    return key_file.read_bytes().strip()


def start_operator_client(settings: ClientSettings) -> OperatorClient:
    """Start a client of the stores; raise InvalidInputError without a key."""
    identity = Identity(OPERATOR_NODE, read_key(settings.key_file))
    client = make_operator_client(
        settings.stores, make_project_codec(), identity, make_system_clock()
    )
    client.start()
    return client
