"""Define the command line of a disk host."""

import random
import uuid

import logbook
from cleo.commands.command import Command

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.link import PeerLink, make_peer_link
from oleanderhitch.connection.peer.messages import PeerMessage
from oleanderhitch.connection.peer.server import make_peer_server
from oleanderhitch.connection.peer_codec import make_project_codec
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.commands.options import (
    make_options,
    run_single_command,
    run_with_settings,
)
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.metrics.core import make_counter, make_metrics
from oleanderhitch.process.metrics.states import Counter
from oleanderhitch.process.metrics.task import make_metrics_task
from oleanderhitch.process.roles.status import make_status_server
from oleanderhitch.process.roles.store import StoreParameters, make_store_components
from oleanderhitch.process.roles.store_links import StoreLinks
from oleanderhitch.process.runtime import make_stop_event, start_logging
from oleanderhitch.process.settings import StoreSettings
from oleanderhitch.process.tracing.tracer import make_tracer

EXIT_START_FAILED = 2

log = logbook.Logger("store")


class StoreCommand(Command):
    """Runs a disk host."""

    name = "store"
    description = "Run a disk host: replicas of configuration and program shards."
    options = make_options(StoreSettings)

    def handle(self) -> int:
        """Run the disk host with the settings of options and environment."""
        return run_with_settings(self, StoreSettings, serve)


def serve(settings: StoreSettings) -> int:
    """Run a disk host until SIGTERM or SIGINT and return the exit code."""
    start_logging(settings.log_level)
    stop_event = make_stop_event()
    codec = make_project_codec()
    identity = Identity(NodeId(settings.node), settings.get_key())
    stores = settings.get_stores()
    clock = make_system_clock()
    metrics = make_metrics()
    count_bytes = make_counter(metrics, Counter.PEER_BYTES)

    def make_link(address: HostAddress) -> PeerLink:
        return make_peer_link(
            address,
            codec,
            identity,
            _log_unexpected_message,
            _ignore_link_event,
            count_bytes=count_bytes,
        )

    links = StoreLinks(identity.node, make_link)
    for store in stores:
        links.add(store.node, store.address)
    parameters = StoreParameters(
        identity.node,
        stores,
        settings.n_shards,
        settings.data_dir,
        settings.weight_store_bytes_per_s,
        links,
    )
    tracer = make_tracer(settings.make_tracing_settings())
    try:
        components = make_store_components(
            parameters,
            codec,
            clock,
            random.Random(uuid.uuid4().int),
            metrics,
            tracer,
        )
    except OleanderhitchError as error:
        log.error("{}", error)
        return EXIT_START_FAILED
    status_server = make_status_server(
        HostAddress(settings.status_listen), metrics, tracer
    )
    peer_server = make_peer_server(
        HostAddress(settings.peer_listen),
        codec,
        identity,
        components.deliver,
        count_bytes=count_bytes,
    )
    metrics_task = make_metrics_task(metrics, clock)
    metrics_task.start()
    links.start()
    components.start()
    peer_server.start()
    status_server.start()
    log.info("listening for peers on {}", settings.peer_listen)
    stop_event.wait()
    log.info("stopping")
    peer_server.stop()
    status_server.stop()
    links.stop()
    components.stop()
    tracer.stop()
    metrics_task.stop()
    return 0


def _log_unexpected_message(delivery: PeerMessage) -> None:
    """Log a message that arrives on an outgoing link, where none is expected."""
    log.warning(
        "ignored unexpected message from {}: {}",
        delivery.node,
        type(delivery.message).__name__,
    )


def _ignore_link_event(message: object) -> None:
    """Take no action; replication detects a lost link by its own timeouts."""


def run() -> int:
    """Run the command line and return the exit code."""
    return run_single_command("oleanderhitch-store", StoreCommand())
