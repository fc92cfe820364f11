"""Name the identifiers of a program."""

from typing import NewType

AccountId = NewType("AccountId", str)
ProgramId = NewType("ProgramId", str)
RunId = NewType("RunId", str)
SequenceNumber = NewType("SequenceNumber", int)
