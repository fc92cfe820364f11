"""Guard against processes that do avoidable work each time they start."""

import subprocess
import sys

import pytest

# Structured from files with all faults listed, which the library does for dataclasses.
FILE_MODULES = ("oleanderhitch.platform.routing", "oleanderhitch.platform.settings")

LIST_DATACLASSES = """
import dataclasses, inspect, sys
from oleanderhitch.process.runtime import prepare_gevent
prepare_gevent()
import oleanderhitch.platform.commands.run_{role}
for name, module in list(sys.modules.items()):
    if name.startswith("oleanderhitch."):
        for kind in vars(module).values():
            if inspect.isclass(kind) and dataclasses.is_dataclass(kind):
                print(kind.__module__, kind.__name__)
"""


@pytest.mark.parametrize("role", ["entry", "store"])
def test_a_start_generates_no_code_for_messages(role):
    """Guard against a start of 0.8 s, a quarter of it for methods of dataclasses."""
    output = subprocess.run(
        [sys.executable, "-c", LIST_DATACLASSES.format(role=role)],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    modules = {line.split()[0] for line in output.splitlines()}
    assert modules <= set(FILE_MODULES)
