"""Apply gevent's patches before the tests of this package are imported."""

import tests.standins.patching as patching

__all__ = ["patching"]
