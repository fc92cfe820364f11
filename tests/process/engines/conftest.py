"""Patch the standard library before the tests of this suite are imported."""

import tests.standins.patching as patching

__all__ = ["patching"]
