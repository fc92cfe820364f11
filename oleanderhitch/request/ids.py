"""Identifier types of a request."""

from typing import NewType

RequestId = NewType("RequestId", str)
AttemptNumber = NewType("AttemptNumber", int)
PermitId = NewType("PermitId", str)
# Stands for the content of a request: the same for each repetition, whoever sends it.
RequestFingerprint = NewType("RequestFingerprint", str)
