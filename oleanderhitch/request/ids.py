"""Identifier types of a request."""

from typing import NewType

RequestId = NewType("RequestId", str)
# A request in progress at this entry host. No two requests of the process share it,
# unlike the id that callers give.
HolderId = NewType("HolderId", str)
AttemptNumber = NewType("AttemptNumber", int)
PermitId = NewType("PermitId", str)
# Stands for the content of a request: the same for each repetition, whoever sends it.
RequestFingerprint = NewType("RequestFingerprint", str)
