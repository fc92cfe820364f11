"""Patch the standard library for gevent before anything opens a socket.

Suites with sockets import this module first in their conftest.py.
"""

import sys

from gevent import monkey

# bottle keeps its request and response in thread locals. Unless these are
# patched before its import, greenlets share them and send each other's headers.
if "bottle" in sys.modules and not monkey.is_module_patched("threading"):
    raise RuntimeError(
        "bottle is imported before gevent's patch; patch at the top of conftest.py"
    )
if not monkey.is_module_patched("socket"):
    monkey.patch_all()
