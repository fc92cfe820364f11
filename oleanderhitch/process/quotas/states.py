"""How a request's wait for a credit ends."""

from enum import Enum


class CreditResult(Enum):
    """Results of a wait for a credit; NO_LEADER is that no leader answered in time."""

    GRANTED = "granted"
    OVER_QUOTA = "over_quota"
    NO_LEADER = "no_leader"
