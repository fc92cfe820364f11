"""Types of the ids in requests to a stand-in."""

from typing import NewType

IdempotencyKey = NewType("IdempotencyKey", str)
OperationName = NewType("OperationName", str)
StandinProgramId = NewType("StandinProgramId", str)
StreamId = NewType("StreamId", str)
