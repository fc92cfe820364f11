"""Guard against processes that do avoidable work each time they start."""

import subprocess
import sys
from importlib import import_module
from unittest.mock import Mock

import pytest

from oleanderhitch.process.clock import BootClock, SystemClock

# Structured from files with all faults listed, which a library does for dataclasses.
FILE_MODULES = ("oleanderhitch.platform.routing", "oleanderhitch.platform.settings")
# Imported only to explain a faulty file, or not at all.
SLOW_MODULES = ("cattrs", "importlib.metadata", "pydantic")
# Imported for the first explanation, or by a host that answers operators.
EXPLAINING_MODULES = (
    "gevent.server",
    "oleanderhitch.connection.peer.server",
    "oleanderhitch.process.explaining.messages",
    "oleanderhitch.process.explaining.service",
    "oleanderhitch.process.placement.explaining",
    "oleanderhitch.process.quotas.explaining",
    "oleanderhitch.process.site.explaining",
)

LIST_MODULES = """
import sys
from oleanderhitch.process.runtime import select_event_loop
select_event_loop()
import oleanderhitch.platform.commands.run_{role}
print(*sys.modules, sep="\\n")
"""
LIST_DATACLASSES = """
import dataclasses, inspect, sys
import oleanderhitch.platform.commands.run_{role}
for name, module in list(sys.modules.items()):
    if name.startswith("oleanderhitch."):
        for kind in vars(module).values():
            if inspect.isclass(kind) and dataclasses.is_dataclass(kind):
                print(kind.__module__, kind.__name__)
"""


def run_python(script: str) -> list[str]:
    """Return the lines that a script prints in a new process."""
    output = subprocess.run(
        [
            sys.executable,
            "-S",
            "-c",
            f"import sys; sys.path[:] = {sys.path!r}\n{script}",
        ],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    return output.splitlines()


@pytest.mark.parametrize("role", ["entry", "store"])
def test_a_start_generates_no_code_for_messages(role: str) -> None:
    """Guard against a start of 0.8 s, a quarter of it for methods of dataclasses."""
    lines = run_python(LIST_DATACLASSES.format(role=role))
    assert {line.split()[0] for line in lines} <= set(FILE_MODULES)


@pytest.mark.parametrize("role", ["entry", "store"])
def test_a_start_imports_no_slow_modules(role: str) -> None:
    """Guard against a start that reads the metadata of all installed packages."""
    modules = run_python(LIST_MODULES.format(role=role))
    assert f"oleanderhitch.platform.commands.run_{role}" in modules
    assert not set(SLOW_MODULES) & set(modules)


def test_a_start_of_an_entry_host_imports_nothing_for_explanations() -> None:
    """Guard against a start that pays for calls which few hosts answer."""
    modules = run_python(LIST_MODULES.format(role="entry"))
    assert not set(EXPLAINING_MODULES) & set(modules)


@pytest.mark.parametrize(
    ("role", "maker", "clocks"),
    [
        ("entry", "make_entry_host", [BootClock]),
        ("store", "make_store", [SystemClock, BootClock]),
    ],
)
def test_credits_end_while_a_host_is_suspended(
    role: str, maker: str, clocks: list[type], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against credits, and rights to lend them, that outlive a suspension.

    With two clocks in an entry host, a time of one would be compared with the other's.
    """
    command = import_module(f"oleanderhitch.platform.commands.run_{role}")
    made: list[object] = []
    for name in (
        "read_settings_file",
        f"make_{role}_settings",
        "make_platform_operator_dialect",
        "start_stdout_logging",
        "get_endpoint_list_address",
        "run",
    ):
        monkeypatch.setattr(command, name, Mock(), raising=False)
    monkeypatch.setattr(command, maker, lambda *args: made.extend(args))
    monkeypatch.setattr("os._exit", Mock())
    getattr(command, f"run_{role}")()
    given = [type(each) for each in made if isinstance(each, BootClock | SystemClock)]
    assert given == clocks
