"""States of the way from an entry host to the endpoints."""

from enum import Enum


class Reach(Enum):
    """Whether this host can connect to endpoints by itself."""

    CONNECTED = "connected"
    ISOLATED = "isolated"


class AttemptOutcome(Enum):
    """How an attempt to connect to an endpoint ended.

    SILENT: no answer came in time. REFUSED: the attempt was refused or reset. UNUSABLE:
    the other host did not open a tunnel, whatever the endpoint does. UNCONFIRMED: the
    other host opens only tunnels without confirmed ends, and none was asked for.
    """

    CONNECTED = "connected"
    SILENT = "silent"
    REFUSED = "refused"
    UNUSABLE = "unusable"
    UNCONFIRMED = "unconfirmed"
