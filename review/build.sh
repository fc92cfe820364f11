#!/bin/sh
# Builds the stand-ins of the scripts. They are Python of the standard library, so that
# there is nothing to fetch; compiling them shows that this Python can run them.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q bed.py [1-5]
