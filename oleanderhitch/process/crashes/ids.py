"""Identifiers of the evidence of crashes."""

from typing import NewType

# Stands for all records that a node knows.
CrashesDigest = NewType("CrashesDigest", int)
NO_CRASHES = CrashesDigest(0)
