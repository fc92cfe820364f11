"""Name the identifiers of requests at a stand-in."""

from typing import NewType

IdempotencyKey = NewType("IdempotencyKey", str)
OperationName = NewType("OperationName", str)
StandinProgramId = NewType("StandinProgramId", str)
StreamId = NewType("StreamId", str)
