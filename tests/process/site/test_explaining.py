"""Guard against explanations by an entry process that err, act or show a key."""

from collections.abc import Iterator
from datetime import timedelta
from functools import partial
from pathlib import Path
from unittest.mock import Mock

import gevent
import logbook
import pytest
from gevent import socket

from oleanderhitch.connection.addresses import parse_address
from oleanderhitch.connection.http.messages import HttpRequest
from oleanderhitch.connection.peer.handshake import Identity
from oleanderhitch.connection.peer.messages import PeerMessage
from oleanderhitch.exceptions import UnavailableError
from oleanderhitch.process.commands.operator_base import ExitCode
from oleanderhitch.process.explaining.messages import (
    BODY_LIMIT_BYTES,
    ExplainRequest,
    Explanation,
)
from oleanderhitch.process.explaining.service import (
    N_OPERATOR_STREAMS,
    make_explain_server,
    make_explain_service,
)
from oleanderhitch.process.explaining.states import ExplainVerdict
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.metrics.core import make_metrics
from oleanderhitch.process.quotas.messages import QuotaBounds
from tests.process.operator import Operator
from tests.process.site.harness import (
    REVOCATION_LIMIT,
    SiteHarness,
    get_free_address,
    wait_until,
)

KEY, UNKNOWN_KEY = "desk-key-1", "other-key-2"
URL = "http://h/p/x"
HEADERS = "X-Request-Id: explained\nX-Token-Usage: 100,50\nX-Program-Id: p\n"


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteHarness]:
    """Return a site that is not started."""
    harness = SiteHarness(tmp_path, 1, revocation_limit=REVOCATION_LIMIT)
    yield harness
    harness.close()


def test_explanation_says_what_the_leader_of_quotas_decides(tmp_path: Path) -> None:
    """Guard against a request that is said to be sent before the leader is asked."""
    bounds = QuotaBounds(timedelta(seconds=5), 0.1, 20)
    grace_period = timedelta(seconds=3)
    site = SiteHarness(tmp_path, 1, quota_bounds=bounds, stop_grace_period=grace_period)
    operators = get_free_address()
    operator = Operator(tmp_path, operators, URL, HEADERS)
    try:
        site.start()
        account = {"name": "desk", "api_keys": [KEY], "rate_per_s": 5, "burst": 5}
        site.publish(1, tenants=[account])
        entry = site.start_entry("entry-1", get_free_address(), operators)
        wait_until(lambda: operator.explain()[0] is ExitCode.UNKNOWN_KEY, "its table")
        code, content = operator.explain(key=KEY)
        assert code is ExitCode.ASKS_LEADER, content
        assert content["unchecked"] == ["credit_of_the_leader"]
        assert "sent_now" in content["detail"] and content["endpoints"]
        share = content["share"]
        assert (share["requests_per_s"], share["n_credits"]) == (5, 0)
        stop = gevent.spawn(entry.stop)
        gevent.sleep(0)
        assert operator.explain(key=KEY)[0] is ExitCode.STOPPING
        stop.join()
    finally:
        site.close()


def test_host_explains_one_request_at_a_time() -> None:
    """Guard against calls that pile up at a host, have no answer, or fill its log."""
    request = ExplainRequest(1, HttpRequest("GET", "/" * 100_000, (), b""))
    mailbox = make_mailbox("test")
    delivery = PeerMessage(NodeId("operator"), request, mailbox)

    def answer(request: ExplainRequest) -> Explanation:
        service.serve(delivery)
        raise UnavailableError("a task does not answer")

    service = make_explain_service(NodeId("entry"), answer, make_metrics())
    with logbook.TestHandler() as handler:
        service.serve(delivery)
    assert all(len(record.kwargs["target"]) <= 200 for record in handler.records)
    details = []
    while mailbox.n_waiting:
        explanation = mailbox.receive()
        assert isinstance(explanation, Explanation)
        assert explanation.verdict is ExplainVerdict.BUSY
        details.append(explanation.detail)
    assert details == ["the host explains another request", "a task does not answer"]


def test_host_serves_few_streams_of_operators() -> None:
    """Guard against peers that open streams until a host has no memory for callers."""
    address = get_free_address()
    host = NodeId(address)
    service = make_explain_service(host, Mock(), make_metrics())
    server = make_explain_server(address, Identity(host, b"k" * 32), service)
    server.start()
    connect = partial(socket.create_connection, parse_address(address))
    peers = [connect(timeout=5) for _ in range(N_OPERATOR_STREAMS)]
    assert all(peer.recv(1000) for peer in peers)
    further = connect(timeout=0.2)
    with pytest.raises(TimeoutError):
        further.recv(1000)
    peers[0].close()
    further.settimeout(5)
    assert further.recv(1000)
    server.stop()


def count_runs(site: SiteHarness) -> int:
    """Return how many requests ran; those without a body are reads of the cache."""
    return sum(bool(body) for body in site.engine.bodies)


def test_entry_process_explains_requests(
    site: SiteHarness, tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """Guard against wrong verdicts, sent requests, and keys in output or log."""
    operators = get_free_address()
    operator = Operator(tmp_path, operators, URL, HEADERS)
    code, content = operator.explain()
    assert code is ExitCode.UNREACHABLE and "can't be reached" in content["error"]
    with site.run_entry_process(operators) as (_, address):
        wait_until(
            lambda: operator.explain()[0] is ExitCode.NOT_CURRENT, "an empty host"
        )
        site.start()
        site.publish(1, {"desk": [KEY]})
        wait_until(lambda: site.send_with_key(KEY, address)[0] == 200, "a served call")
        n_runs = count_runs(site)
        log: list[str] = []

        def has_logged(text: str) -> bool:
            log.append(capfd.readouterr().out)
            return text in "".join(log)

        wait_until(lambda: has_logged("request routed"), "the line of the call")
        code, content = operator.explain(key=KEY)
        assert code is ExitCode.OK, content
        assert (content["verdict"], content["version"]) == ("sent_now", 1)
        assert content["share"]["account"] == "desk"
        (endpoint,) = content["endpoints"]
        assert (endpoint["endpoint"], endpoint["is_chosen"]) == ("i-1", True)
        parts_ms = [cost["cost_ms"] for cost in endpoint["costs"]]
        assert endpoint["total_ms"] == sum(parts_ms) > 0
        ages = {fact["kind"]: fact["age_ms"] for fact in content["facts"]}
        assert 0 < ages["lease"] < 2000 and ages["endpoint_list"] > 0
        assert operator.explain(options="--account desk")[0] is ExitCode.OK
        code, content = operator.explain(options="--account shop")
        assert code is ExitCode.UNKNOWN_ID and "shop" in content["detail"]
        assert operator.explain(key=UNKNOWN_KEY)[0] is ExitCode.UNKNOWN_KEY
        assert operator.explain("http://h/q")[0] is ExitCode.UNKNOWN_ROUTE
        usage = "--header 'X-Token-Budget: many'"
        assert operator.explain(key=KEY, options=usage)[0] is ExitCode.MALFORMED
        (tmp_path / "body").write_bytes(bytes(BODY_LIMIT_BYTES + 1))
        options = f"--body {tmp_path / 'body'}"
        assert operator.explain(options=options)[0] is ExitCode.ERROR
        (tmp_path / "body").write_bytes(bytes(BODY_LIMIT_BYTES))
        assert operator.explain(key=KEY, options=options)[0] is ExitCode.OK
        # A header without its name could be a key.
        code, _ = operator.explain(options=f"--header {UNKNOWN_KEY}")
        assert code is ExitCode.ERROR
        store = site.get_peer_address(0)
        assert operator.explain(key=KEY, entry=store)[0] is ExitCode.UNREACHABLE
        (tmp_path / "shared").write_text("another")
        assert operator.explain(key=KEY)[0] is ExitCode.UNREACHABLE
        assert count_runs(site) == n_runs
        wait_until(lambda: has_logged('"status":"malformed"'), "a call of an operator")
        assert not has_logged('"request":"explained"')
    written = "\n".join([*operator.written, *log])
    assert KEY not in written and UNKNOWN_KEY not in written
