"""Identifiers of programs, their accounts, runs and calls."""

from typing import NewType

AccountId = NewType("AccountId", str)
ProgramId = NewType("ProgramId", str)
RunId = NewType("RunId", str)
SequenceNumber = NewType("SequenceNumber", int)
