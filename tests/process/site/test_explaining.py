"""Guard against explanations by an entry process that err, act or show a key."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from cleo.testers.application_tester import ApplicationTester

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.clock import make_system_clock
from oleanderhitch.process.commands.operator_application import make_application
from oleanderhitch.process.commands.operator_base import (
    CommandDependencies,
    ExitCode,
)
from oleanderhitch.process.operators.explaining import send_explain_request
from tests.process.site.harness import (
    REVOCATION_LIMIT,
    SiteHarness,
    get_free_address,
    wait_until,
)

KEY, UNKNOWN_KEY = "desk-key-1", "other-key-2"
URL = "http://h/p/x"
HEADERS = "X-Request-Id: 1\nX-Token-Usage: 100,50\nX-Program-Id: p\n"


class Operator:
    """Runs the command against one host and keeps all that it writes."""

    def __init__(self, directory: Path, entry: HostAddress) -> None:
        self._directory = directory
        self._entry = entry
        self.written: list[str] = []
        self._write("shared", "key")

    def _write(self, name: str, content: str) -> Path:
        path = self._directory / name
        path.write_text(content)
        return path

    def explain(
        self,
        url: str = URL,
        key: str | None = None,
        options: str = "",
        entry: HostAddress | None = None,
    ) -> tuple[ExitCode, dict[str, Any]]:
        """Return the exit code and the content; the lines for people are kept too."""
        credential = "" if key is None else f"Authorization: Token {key}\n"
        headers = self._write("headers", HEADERS + credential)
        line = (
            f"explain POST {url} --entry {entry or self._entry} --header @{headers} "
            f"--key-file {self._directory / 'shared'} {options}"
        )
        assert self._run(line) is self._run(f"{line} --json")
        code = self._run(f"{line} --json")
        content: dict[str, Any] = json.loads(self.written[-1])
        return code, content.get("explanation", content)

    def _run(self, line: str) -> ExitCode:
        dependencies = CommandDependencies(
            lambda settings: pytest.fail("no store is asked"),
            make_system_clock(),
            lambda duration: None,
            self.written.append,
            send_explain_request=send_explain_request,
        )
        tester = ApplicationTester(make_application(dependencies))
        tester.execute(line)
        self.written.append(tester.io.fetch_output() + tester.io.fetch_error())
        self.written.pop() if not self.written[-1] else None
        return ExitCode(tester.status_code)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteHarness]:
    """Return a site that is not started."""
    harness = SiteHarness(tmp_path, 1, revocation_limit=REVOCATION_LIMIT)
    yield harness
    harness.close()


def count_runs(site: SiteHarness) -> int:
    """Return how many requests ran; those without a body are reads of the cache."""
    return sum(bool(body) for body in site.engine.bodies)


def test_entry_process_explains_requests(site: SiteHarness, tmp_path: Path) -> None:
    """Guard against wrong verdicts, sent requests and keys in the output."""
    operators = get_free_address()
    operator = Operator(tmp_path, operators)
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
        # A header without its name could be a key.
        code, _ = operator.explain(options=f"--header {UNKNOWN_KEY}")
        assert code is ExitCode.ERROR
        store = site.get_peer_address(0)
        assert operator.explain(key=KEY, entry=store)[0] is ExitCode.UNREACHABLE
        (tmp_path / "shared").write_text("another")
        assert operator.explain(key=KEY)[0] is ExitCode.UNREACHABLE
        assert count_runs(site) == n_runs
    written = "\n".join(operator.written)
    assert KEY not in written and UNKNOWN_KEY not in written
