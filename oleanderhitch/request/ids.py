"""Identifier types of a request."""

from typing import NewType

RequestId = NewType("RequestId", str)
AttemptNumber = NewType("AttemptNumber", int)
PermitId = NewType("PermitId", str)
