#!/bin/sh
# Checks that everything the scripts of review/11 to review/15 start is there: the
# project's programs in the tree, their libraries from the build of the deploy file, and
# the stand-ins, which are Python of the standard library and need no other build.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review python3 - <<'PYTHON'
import importlib

for name in (
    "bed3",
    "oleanderhitch.platform.commands.entry",
    "oleanderhitch.platform.commands.store",
    "gevent",
    "httptools",
    "msgspec",
):
    importlib.import_module(name)
PYTHON
