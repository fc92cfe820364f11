"""Define the settings of a site's processes, whatever format they come in."""

from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.process.ids import NodeId
from oleanderhitch.version.ids import DataCentreName, HostName


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """Hold what a process of a site must know at its start.

    The node id of a store is the address that other nodes reach it at, so that
    whoever knows a replica can reach it.
    """

    host: HostName
    data_centre: DataCentreName
    node: NodeId
    seeds: tuple[NodeId, ...]
    peer_key: bytes
    stop_grace_period: timedelta
    metrics_address: HostAddress | None


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Hold the settings of an entry."""

    site: SiteSettings
    caller_address: HostAddress
    readiness_address: HostAddress


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Hold the settings of a store."""

    site: SiteSettings
    operator_address: HostAddress
    data_dir: Path
    may_bootstrap: bool
    n_losses_tolerated: int
