"""Patch the standard library for gevent before the tests import other modules."""

import tests.standins.patching as patching

__all__ = ["patching"]
