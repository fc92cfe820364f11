"""Guard against explanations by an entry host of the product that err or act."""

import json
import subprocess
import sys
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import pytest
import urllib3
from cleo.testers.application_tester import ApplicationTester

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.commands.operator_application import make_application
from oleanderhitch.process.commands.operator_base import (
    ExitCode,
    make_command_dependencies,
)
from oleanderhitch.process.commands.operator_explain import format_explanation
from oleanderhitch.process.explaining.messages import AccountShare, Explanation
from oleanderhitch.process.explaining.states import ExplainVerdict
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.operators.network import (
    make_configuration_client,
    make_hosts_client,
)
from oleanderhitch.program.ids import AccountId
from tests.process.operator import Operator
from tests.process.site.harness import get_free_address, wait_until

SHARED_KEY = "k" * 32
URL = "http://h/v1/chat/completions"
HEADERS = "X-Account: desk\nX-Program: p\nX-Sequence: 1\n"
INVENTORY = """
regions: [{name: r}]
data_centres: [{name: a, region: r}]
hosts: [{name: entry, role: entry, data_centre: a, address: %s}]
models: [{name: m}]
engines:
  - {name: e1, model: m, data_centre: a, address: "127.0.0.1:1", slots: 1,
     cache_tokens: 1000, checks_fencing_tokens: true}
"""
RULES = """
defaults:
  places: [r]
  budget_tokens: 400000
  turn_limit: 140
  silence_limit_s: 900
  limits: {requests_per_account: 9, requests_per_program: 4, requests_per_pool: 9}
  admits_unlisted_accounts: false
accounts: [{name: desk}]
"""


@pytest.fixture
def addresses(tmp_path: Path) -> Iterator[tuple[HostAddress, HostAddress]]:
    """Start an entry host with a store of its own; return where it listens."""
    address, peer_address = get_free_address(), get_free_address()
    (tmp_path / "shared").write_text(SHARED_KEY)
    process = subprocess.Popen(
        [
            *(sys.executable, "-m", "oleanderhitch.process.commands.entry"),
            *("--node", "entry", "--data-centre", "a"),
            *("--key-file", str(tmp_path / "shared")),
            *("--data-dir", str(tmp_path / "data")),
            *("--listen", address, "--peer-listen", peer_address),
        ],
        stdout=(tmp_path / "log").open("wb"),
        stderr=subprocess.STDOUT,
    )
    yield address, peer_address
    process.kill()
    process.wait()


def apply_declarations(directory: Path, entry: HostAddress) -> None:
    """Publish a deployment with one engine, which does not run."""
    folder = directory / "declarations"
    folder.mkdir()
    (folder / "inventory.yaml").write_text(INVENTORY % entry)
    (folder / "rules.yaml").write_text(RULES)
    dependencies = make_command_dependencies(
        make_configuration_client, make_hosts_client
    )
    tester = ApplicationTester(make_application(dependencies))
    options = f"--stores {entry} --key-file {directory / 'shared'} --author t"
    tester.execute(f"apply {folder} {options}")
    assert tester.status_code == 0


@pytest.mark.parametrize(
    ("url", "options"),
    [
        ("http://h/\u20ac", ""),
        ("http://[h/", ""),
        (URL, "--header 'X-Program: \u20ac'"),
        (URL, "--header 'X-\u00fc: p'"),
    ],
)
def test_request_that_no_caller_can_send_is_an_invalid_argument(
    url: str, options: str, tmp_path: Path
) -> None:
    """Guard against a host that is said to be gone when it can't read a request."""
    operator = Operator(tmp_path, get_free_address(), url, HEADERS)
    code, content = operator.explain(options=options)
    assert code is ExitCode.ERROR and "expected" in content["error"]


def test_entry_host_explains_calls(
    addresses: tuple[HostAddress, HostAddress], tmp_path: Path
) -> None:
    """Guard against wrong verdicts and calls that are begun by an explanation."""
    address, entry = addresses
    body = tmp_path / "body"
    message = {"role": "user", "content": "hello"}
    body.write_text(json.dumps({"model": "m", "messages": [message]}))
    with_body = f"--body {body}"
    operator = Operator(tmp_path, entry, URL, HEADERS, SHARED_KEY)
    wait_until(
        lambda: operator.explain(options=with_body)[0] is ExitCode.NOT_CURRENT,
        "an empty host",
    )
    apply_declarations(tmp_path, entry)
    # The program is not started yet.
    wait_until(
        lambda: operator.explain(options=with_body)[0] is ExitCode.UNKNOWN_ID,
        "a configuration",
    )
    http = urllib3.PoolManager(retries=False, timeout=5)
    programs = f"http://{address}/v1/programs"
    account = {"X-Account": "desk"}
    started = http.request("POST", programs, headers=account, body=b'{"program":"p"}')
    assert started.status == 201, started.data
    code, content = operator.explain(options=with_body)
    assert code is ExitCode.OK, content
    assert (content["version"], content["share"]["account"]) == (1, "desk")
    (endpoint,) = content["endpoints"]
    assert (endpoint["endpoint"], endpoint["data_centre"]) == ("e1", "a")
    assert endpoint["is_chosen"]
    options = f"{with_body} --account nobody"
    assert operator.explain(options=options)[0] is ExitCode.UNKNOWN_ID
    assert operator.explain("http://h/none")[0] is ExitCode.UNKNOWN_ROUTE
    assert operator.explain()[0] is ExitCode.MALFORMED
    summary = json.loads(
        http.request("GET", f"{programs}/p", headers=account).data.decode()
    )
    assert (summary["next_sequence"], summary["reserved_tokens"]) == (1, 0)


@pytest.mark.parametrize(
    ("verdict", "share", "lines"),
    [
        (
            ExplainVerdict.OVERLOADED,
            AccountShare(AccountId("desk"), 3, 1, 2, 1.5, True, 20.0, 4),
            [
                "retry after: 500.0 ms",
                "account: desk, 3 running and 1 waiting here, more than its equal "
                "share of 1.5 (2 accounts), 20 requests a second, 4 credits held",
            ],
        ),
        (
            ExplainVerdict.SENT,
            AccountShare(None, 3, 0, 1, 3.0),
            ["expected wait: 500.0 ms", "account: none, 3 running and 0 waiting here"],
        ),
        (
            ExplainVerdict.ASKS_OWNER,
            AccountShare(AccountId("desk")),
            ["expected wait: 500.0 ms", "account: desk"],
        ),
    ],
)
def test_text_says_what_its_numbers_are(
    verdict: ExplainVerdict, share: AccountShare, lines: list[str]
) -> None:
    """Guard against a share that is not known, and a wait that nobody waits."""
    wait = timedelta(milliseconds=500)
    explanation = Explanation(
        1, NodeId("e"), verdict, service="s", expected_wait=wait, share=share
    )
    assert list(format_explanation(explanation))[-2:] == lines
