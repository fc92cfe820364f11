"""Assemble the tasks that poll engines and release cached prefixes."""

from collections.abc import Callable, Sequence
from functools import singledispatch

from msgspec import Struct

from oleanderhitch.connection.codec import Codec
from oleanderhitch.connection.endpoint.transport import make_pool_manager
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.engines.messages import EngineDescription, EnginesChanged
from oleanderhitch.process.engines.polling.task import PollingTask, make_polling_task
from oleanderhitch.process.engines.releases.task import (
    ReleasesTask,
    make_releases_task,
)
from oleanderhitch.process.engines.shard_client import ShardClient
from oleanderhitch.process.ids import GroupId, NodeId
from oleanderhitch.process.metrics.core import Metrics
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.version.configuration import (
    Configuration,
    Endpoint,
    ModelEngine,
    PlainService,
)
from oleanderhitch.version.ids import ModelName, PoolId


class EngineComponents(Struct):
    """The tasks that poll engines and release the prefixes that these cache.

    An entry host does both only for the engines of the pools that it owns.
    """

    node: NodeId
    shard_client: ShardClient
    releases: ReleasesTask
    polling: PollingTask

    def start(self) -> None:
        """Start the tasks."""
        self.releases.start()
        self.polling.start()

    def stop(self) -> None:
        """Stop the tasks."""
        self.polling.stop()
        self.releases.stop()

    def apply_configuration(
        self, configuration: Configuration, owners: dict[PoolId, NodeId]
    ) -> None:
        """Send the declared engines to the tasks.

        The polling task gets those of owned pools. The releases task gets all of them,
        and the shard client leaves out the releases of endpoints in pools that other
        hosts own.
        """
        engines = [
            (endpoint, engine)
            for endpoint in configuration.endpoints.values()
            for engine in list_engines(endpoint.kind, endpoint)
        ]
        owned_engines = [
            engine
            for endpoint, engine in engines
            if owners.get(endpoint.pool) == self.node
        ]
        self.shard_client.foreign_endpoints = frozenset(
            endpoint.id
            for endpoint, _ in engines
            if owners.get(endpoint.pool) != self.node
        )
        self.polling.send(EnginesChanged(tuple(owned_engines)))
        self.releases.send(EnginesChanged(tuple(engine for _, engine in engines)))


@singledispatch
def list_engines(kind: object, endpoint: Endpoint) -> list[EngineDescription]:
    """Return the description of a model engine; other kinds have none."""
    raise TypeError(f"engines do not support endpoint kind {type(kind).__name__}")


@list_engines.register
def _(kind: ModelEngine, endpoint: Endpoint) -> list[EngineDescription]:
    return [
        EngineDescription(
            endpoint.id,
            str(endpoint.address),
            (ModelName(kind.model),),
            endpoint.checks_fencing_tokens,
        )
    ]


@list_engines.register
def _(kind: PlainService, endpoint: Endpoint) -> list[EngineDescription]:
    return []


def make_engine_components(
    node: NodeId,
    group_client: Address,
    shards: Sequence[GroupId],
    get_group: Callable[[ProgramId], GroupId],
    codec: Codec,
    clock: Clock,
    metrics: Metrics,
) -> EngineComponents:
    """Return the tasks, not started yet."""
    shard_client = ShardClient(group_client, shards, get_group, codec, clock)
    pool_manager = make_pool_manager()
    releases = make_releases_task(shard_client, pool_manager, clock, metrics)
    shard_client.releases_task = releases
    polling = make_polling_task((releases,), pool_manager, clock, metrics)
    return EngineComponents(node, shard_client, releases, polling)
