"""Run stand-ins within the test process."""

from contextlib import contextmanager
from datetime import timedelta

from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.task import make_task
from standins.connection.engine_http import make_engine_app
from standins.connection.service_http import make_service_app
from standins.process.engine.state import EngineSettings
from standins.process.engine.task import make_engine_task
from standins.process.service.core import (
    ServiceSettings,
    handle,
    make_service_state,
)
from standins.process.serving import make_server

CLOCK = make_system_clock()


@contextmanager
def serve(app):
    """Serve an application on a free loopback port; yield its address."""
    server = make_server(app, "127.0.0.1:0")
    server.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.stop(timeout=0)


@contextmanager
def serve_engine(**settings):
    """Serve an engine with 2 ms per token by default; yield its address."""
    settings = {"token_time": timedelta(milliseconds=2), **settings}
    engine = make_engine_task(EngineSettings(**settings), CLOCK)
    engine.start()
    with serve(make_engine_app(engine)) as address:
        yield address


@contextmanager
def serve_service(**settings):
    """Serve a service with 2 ms per operation by default; yield its address."""
    settings = {"operation_time": timedelta(milliseconds=2), **settings}
    state = make_service_state(ServiceSettings(**settings))
    perform = lambda effect: effect.address.send(effect.message)  # noqa: E731
    task = make_task("service", state, handle, perform, CLOCK)
    task.start()
    with serve(make_service_app(task)) as address:
        yield address
