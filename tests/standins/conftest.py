"""Apply gevent's monkey patching before the tests of this folder are imported."""

import tests.standins.patching as patching

__all__ = ["patching"]
