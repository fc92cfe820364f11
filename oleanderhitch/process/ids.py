"""Types of the identifiers of processes and replicated groups."""

from typing import NewType

CallId = NewType("CallId", int)
GroupId = NewType("GroupId", str)
LogIndex = NewType("LogIndex", int)
NodeId = NewType("NodeId", str)
ReplicaId = NewType("ReplicaId", str)
Term = NewType("Term", int)
