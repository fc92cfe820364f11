"""List the states that a replica, a follower's progress and a change can have."""

from enum import Enum


class Role(Enum):
    """Tell what part a replica plays in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"


class EntryKind(Enum):
    """Tell what a log entry carries."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    EMPTY = "empty"


class ProgressMode(Enum):
    """Tell how the leader feeds one follower."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


class ChangeKind(Enum):
    """Tell what a membership change does."""

    ADD = "add"
    REPLACE = "replace"
    REMOVE = "remove"
    DECLARE_LOST = "declare_lost"


class ChangeOutcome(Enum):
    """Tell how a membership change ended for the one who asked for it."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    UNCERTAIN = "uncertain"
