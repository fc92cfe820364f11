"""Settings of a site's processes, independent of the format they are read from."""

from datetime import timedelta
from pathlib import Path

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.quotas.messages import QuotaBounds
from oleanderhitch.values import Value
from oleanderhitch.version.ids import DataCentreName, HostName


class SiteSettings(Value, frozen=True):
    """Settings that all processes of a site have.

    The node id of a store is the address it listens on for other nodes; replica ids
    contain it, so that every known replica can be reached. The seeds are the stores
    that a process contacts first. `stop_grace_period` is the time from SIGTERM to
    SIGKILL. A process that takes more than `memory_limit_bytes` is ended, and it can't
    open more than `n_descriptors_limit` files and connections. Without `quota_bounds`,
    the limits of client accounts have no effect.
    """

    host: HostName
    data_centre: DataCentreName
    node: NodeId
    seeds: tuple[NodeId, ...]
    peer_key: bytes
    stop_grace_period: timedelta
    metrics_address: HostAddress | None
    memory_limit_bytes: int | None = None
    # No key may be of use for longer after the removal of it was acknowledged; None is
    # no such limit.
    revocation_limit: timedelta | None = None
    quota_bounds: QuotaBounds | None = None
    n_descriptors_limit: int | None = None


class SiteEntrySettings(Value, frozen=True):
    """Settings of an entry host.

    With `is_ramp_up_enabled`, all endpoints ramp up that have started or recovered;
    otherwise only those that the list calls cold. With `has_operator_calls`, it answers
    operators at the address that its node id is. At `relay_address` it opens tunnels to
    endpoints for entry hosts that have lost their own links.
    """

    site: SiteSettings
    caller_address: HostAddress
    readiness_address: HostAddress
    is_ramp_up_enabled: bool = False
    has_operator_calls: bool = False
    relay_address: HostAddress | None = None


class SiteStoreSettings(Value, frozen=True):
    """Settings of a store.

    `may_bootstrap` allows the store to form a new group with the other seeds.
    """

    site: SiteSettings
    operator_address: HostAddress
    data_dir: Path
    may_bootstrap: bool
    n_losses_tolerated: int
