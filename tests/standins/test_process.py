"""Guard against stand-ins that accept bad options or drop requests at shutdown."""

import os
import signal

import gevent
import pytest
import urllib3
from cleo.testers.command_tester import CommandTester

from standins.connection.engine_http import make_engine_app
from standins.process.engine.command import EngineCommand
from standins.process.engine.state import EngineSettings
from standins.process.engine.task import make_engine_task
from standins.process.service.command import ServiceCommand
from standins.process.serving import make_server, serve_until_signal
from tests.standins.serving import CLOCK


def test_engine_finishes_its_stream_after_sigterm():
    """Guard against a shutdown that interrupts a request in progress."""
    engine = make_engine_task(EngineSettings(), CLOCK)
    engine.start()
    server = make_server(make_engine_app(engine), "127.0.0.1:0")
    server_greenlet = gevent.spawn(serve_until_signal, server, "engine")
    gevent.sleep(0.01)
    address = f"127.0.0.1:{server.server_port}"
    body = {"model": "standin", "messages": [], "max_tokens": 20}
    url = f"http://{address}/v1/chat/completions"
    response = urllib3.request("POST", url, json=body, preload_content=False)
    received = response.read1(65536)
    os.kill(os.getpid(), signal.SIGTERM)
    gevent.sleep(0.02)
    assert not server_greenlet.ready(), "the server stopped in the middle of a stream"
    with pytest.raises(urllib3.exceptions.NewConnectionError):
        urllib3.PoolManager().request("GET", f"http://{address}/healthz", retries=False)
    received += response.read()
    assert received.endswith(b"data: [DONE]\n\n")
    server_greenlet.get(timeout=5)


@pytest.mark.parametrize("command_type", [EngineCommand, ServiceCommand])
@pytest.mark.parametrize("options", ["", "--listen 8100", "--listen a:b"])
def test_bad_address_is_refused_with_the_expected_form(command_type, options):
    """Guard against an error message that doesn't show the expected form."""
    tester = CommandTester(command_type())
    assert tester.execute(options) == 1
    assert "127.0.0.1:8100" in tester.io.fetch_error()


@pytest.mark.parametrize("options", ["--slots many", "--token-ms fast"])
def test_bad_number_is_refused(options):
    """Guard against a traceback instead of an error message."""
    tester = CommandTester(EngineCommand())
    assert tester.execute(f"--listen 127.0.0.1:8100 {options}") == 1
    assert options.split()[-1] in tester.io.fetch_error()
