"""Assemble the parts that follow the engines of the pools that a host owns."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import singledispatch

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


@dataclass(slots=True)
class EngineParts:
    """Hold the tasks that poll engines and release their memory."""

    node: NodeId
    questions: ShardClient
    releases: ReleasesTask
    polling: PollingTask

    def start(self) -> None:
        """Start both tasks."""
        self.releases.start()
        self.polling.start()

    def stop(self) -> None:
        """Stop both tasks."""
        self.polling.stop()
        self.releases.stop()

    def follow(
        self, configuration: Configuration, owners: dict[PoolId, NodeId]
    ) -> None:
        """Poll the engines of owned pools; release everywhere else no memory."""
        offers = [
            (endpoint, offer)
            for endpoint in configuration.endpoints.values()
            for offer in list_offers(endpoint.kind, endpoint)
        ]
        own = [
            offer
            for endpoint, offer in offers
            if owners.get(endpoint.pool) == self.node
        ]
        self.questions.foreign_endpoints = frozenset(
            endpoint.id
            for endpoint, _ in offers
            if owners.get(endpoint.pool) != self.node
        )
        self.polling.send(EnginesChanged(tuple(own)))
        self.releases.send(EnginesChanged(tuple(offer for _, offer in offers)))


@singledispatch
def list_offers(kind: object, endpoint: Endpoint) -> list[EngineDescription]:
    """Return the engine that an endpoint is, if it is one."""
    raise TypeError(f"endpoint has no kind {type(kind).__name__}")


@list_offers.register
def _(kind: ModelEngine, endpoint: Endpoint) -> list[EngineDescription]:
    return [
        EngineDescription(
            endpoint.id,
            str(endpoint.address),
            (ModelName(kind.model),),
            endpoint.checks_fencing_tokens,
        )
    ]


@list_offers.register
def _(kind: PlainService, endpoint: Endpoint) -> list[EngineDescription]:
    return []


def make_engine_parts(
    node: NodeId,
    groups: Address,
    shards: Sequence[GroupId],
    get_group: Callable[[ProgramId], GroupId],
    codec: Codec,
    clock: Clock,
    metrics: Metrics,
) -> EngineParts:
    """Return the parts, not started yet."""
    questions = ShardClient(groups, shards, get_group, codec, clock)
    pools = make_pool_manager()
    releases = make_releases_task(questions, pools, clock, metrics)
    questions.releases_task = releases
    polling = make_polling_task((releases,), pools, clock, metrics)
    return EngineParts(node, questions, releases, polling)
