"""Run `explain` as an operator does."""

import json
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


class Operator:
    """Runs the command against one host and keeps all that it writes."""

    def __init__(
        self,
        directory: Path,
        entry: HostAddress,
        url: str,
        headers: str,
        shared_key: str = "key",
    ) -> None:
        self._directory = directory
        self._entry = entry
        self._url = url
        self._headers = headers
        self.written: list[str] = []
        self._write("shared", shared_key)

    def _write(self, name: str, content: str) -> Path:
        path = self._directory / name
        path.write_text(content)
        return path

    def explain(
        self,
        url: str = "",
        key: str | None = None,
        options: str = "",
        entry: HostAddress | None = None,
    ) -> tuple[ExitCode, dict[str, Any]]:
        """Return the exit code and the content; the lines for people are kept too."""
        credential = "" if key is None else f"Authorization: Token {key}\n"
        headers = self._write("headers", self._headers + credential)
        line = (
            f"explain POST {url or self._url} --entry {entry or self._entry} "
            f"--header @{headers} --key-file {self._directory / 'shared'} {options}"
        )
        self._run(line)
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
        # Errors of the command line itself come before those of the command.
        self.written.insert(0, tester.io.fetch_output() + tester.io.fetch_error())
        return ExitCode(tester.status_code)
