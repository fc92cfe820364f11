"""Enumerations of roles, log entries, follower progress and membership changes."""

from enum import Enum


class Role(Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"


class EntryKind(Enum):
    """Content of a log entry."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    EMPTY = "empty"


class ProgressMode(Enum):
    """How the leader replicates to one follower.

    PROBE looks for the last entry on which both logs agree, REPLICATE pipelines
    entries, SNAPSHOT transfers a snapshot in pieces.
    """

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


class ChangeKind(Enum):
    """Kind of a membership change."""

    ADD = "add"
    REPLACE = "replace"
    REMOVE = "remove"
    DECLARE_LOST = "declare_lost"


class ChangeOutcome(Enum):
    """Result of a membership change, as reported to the operator."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    UNCERTAIN = "uncertain"
