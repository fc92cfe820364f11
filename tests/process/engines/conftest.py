"""Apply gevent's patches of the standard library before the tests are imported."""

import tests.standins.patching as patching

__all__ = ["patching"]
