"""Apply gevent's monkey patching when this module is imported.

Test folders that use sockets import it first in their conftest.py.
"""

import sys

from gevent import monkey

# bottle keeps the current request and response in thread-local variables. If it is
# imported before the patching, greenlets share them and send each other's headers.
if "bottle" in sys.modules and not monkey.is_module_patched("threading"):
    raise RuntimeError(
        "bottle was imported before gevent's monkey patching; import "
        "tests.standins.patching at the top of conftest.py"
    )
if not monkey.is_module_patched("socket"):
    monkey.patch_all()
