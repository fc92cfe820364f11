"""Conversion of the platform's settings file to the settings of a process."""

import json
import math
import os
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform.documents import structure_document
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.quotas.messages import QuotaBounds
from oleanderhitch.process.site.settings import (
    SiteEntrySettings,
    SiteSettings,
    SiteStoreSettings,
)
from oleanderhitch.version.ids import DataCentreName, HostName

SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
BYTES_PER_MEGABYTE = 1_000_000
SETTINGS_VARIABLE = "OLEANDERHITCH_CONFIG"
PEER_KEY_VARIABLE = "OLEANDERHITCH_PEER_KEY"
METRICS_PORT_VARIABLE = "OLEANDERHITCH_METRICS_PORT"
RAMP_UP_VARIABLE = "OLEANDERHITCH_ENDPOINT_RAMP_UP"
OPERATOR_CALLS_VARIABLE = "OLEANDERHITCH_OPERATOR_CALLS"
SWITCH_POSITIONS = {"": False, "off": False, "on": True}


@dataclass(frozen=True)
class CloudApiSettings:
    """Address of the API that lists the endpoints."""

    addr: str


@dataclass(frozen=True)
class Tolerance:
    """Number of hosts with disks that may be lost at the same time."""

    machines: int


@dataclass(frozen=True)
class Bounds:
    """Time limits that the platform sets."""

    grace_s: float  # from SIGTERM to SIGKILL
    strict_revoke: bool = False  # whether revoke_ms holds on hosts cut off, too
    revoke_ms: float = 5000  # from the removal of a key to its last use
    # In each window, an account may send a part and a number more than its quota. The
    # limits of accounts have no effect without a window.
    quota_window_s: float | None = None
    quota_over: float = 0.0
    quota_slack: float = 0.0


@dataclass(frozen=True)
class Limits:
    """What a process may use of its host."""

    memory_mb: float | None = None
    max_fds: int | None = None


@dataclass(frozen=True)
class SettingsFile:
    """The fields of the settings file that a process uses.

    Unknown fields are ignored, since the platform may add some at any time.
    """

    node: str  # host name
    zone: str
    ip: str
    listen: dict[str, str]
    port_range: list[int]
    seeds: list[str]  # operator API addresses of up to three stores
    bootstrap: bool  # whether the whole system starts for the first time
    tolerate: Tolerance
    bounds: Bounds
    cloud_api: CloudApiSettings
    data_dir: str | None = None
    limits: Limits = Limits()


def read_settings_file() -> SettingsFile:
    """Parse the settings file; raise InvalidInputError listing the faults."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        raise InvalidInputError(f"environment variable {SETTINGS_VARIABLE} is not set")
    try:
        content: Any = json.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise InvalidInputError(
            f"settings file {path} is unreadable: {error}"
        ) from None
    try:
        return structure_document(content, SettingsFile, "settings")
    except InvalidInputError as error:
        raise InvalidInputError(f"settings file {path}: {error}") from None


def make_entry_settings(file: SettingsFile) -> SiteEntrySettings:
    """Return the settings of an entry host; raise InvalidInputError."""
    return SiteEntrySettings(
        _make_site_settings(file),
        HostAddress(_get_listen_address(file, "front")),
        HostAddress(_get_listen_address(file, "ready_addr")),
        _read_switch(RAMP_UP_VARIABLE),
        _read_switch(OPERATOR_CALLS_VARIABLE),
        _find_relay_address(file),
    )


def make_store_settings(file: SettingsFile) -> SiteStoreSettings:
    """Return the settings of a store; raise InvalidInputError."""
    if file.data_dir is None:
        raise InvalidInputError("setting data_dir is missing; a store needs a disk")
    return SiteStoreSettings(
        _make_site_settings(file),
        HostAddress(_get_listen_address(file, "control")),
        Path(file.data_dir),
        file.bootstrap,
        file.tolerate.machines,
    )


def get_endpoint_list_address(file: SettingsFile) -> HostAddress:
    """Return the address of the API that lists the endpoints."""
    return HostAddress(file.cloud_api.addr)


def _make_site_settings(file: SettingsFile) -> SiteSettings:
    key = os.environ.get(PEER_KEY_VARIABLE, "")
    if not key:
        raise InvalidInputError(f"environment variable {PEER_KEY_VARIABLE} is not set")
    metrics_port = os.environ.get(METRICS_PORT_VARIABLE)
    return SiteSettings(
        HostName(file.node),
        DataCentreName(file.zone),
        _make_node_id(file.ip, file),
        tuple(_make_node_id(seed.rpartition(":")[0], file) for seed in file.seeds),
        key.encode(),
        _make_duration("bounds.grace_s", file.bounds.grace_s),
        HostAddress(f"{file.ip}:{metrics_port}") if metrics_port else None,
        _find_memory_limit(file),
        _find_revocation_limit(file.bounds),
        _find_quota_bounds(file),
        file.limits.max_fds,
    )


def _read_switch(variable: str) -> bool:
    value = os.environ.get(variable, "")
    if value not in SWITCH_POSITIONS:
        raise InvalidInputError(
            f"environment variable {variable} is {value!r}; expected on or off"
        )
    return SWITCH_POSITIONS[value]


def _find_memory_limit(file: SettingsFile) -> int | None:
    n_megabytes = file.limits.memory_mb
    if n_megabytes is None:
        return None
    if not 0 < n_megabytes * BYTES_PER_MEGABYTE < math.inf:
        raise InvalidInputError(
            f"setting limits.memory_mb is {n_megabytes}; expected more than 0"
        )
    return int(n_megabytes * BYTES_PER_MEGABYTE)


def _find_revocation_limit(bounds: Bounds) -> timedelta | None:
    if not bounds.strict_revoke:
        return None
    limit = _make_duration("bounds.revoke_ms", bounds.revoke_ms, MILLISECOND)
    if not limit:
        raise InvalidInputError("setting bounds.revoke_ms is 0; expected more than 0")
    return limit


def _find_quota_bounds(file: SettingsFile) -> QuotaBounds | None:
    bounds = file.bounds
    if not bounds.quota_window_s:
        return None
    window = _make_duration("bounds.quota_window_s", bounds.quota_window_s)
    return QuotaBounds(window, bounds.quota_over, bounds.quota_slack)


def _make_node_id(ip: str, file: SettingsFile) -> NodeId:
    """Return a node's id, which is the address where it listens for its peers.

    All hosts use the same port.
    """
    if not file.port_range:
        raise InvalidInputError("setting port_range is empty")
    return NodeId(f"{ip}:{file.port_range[0]}")


def _find_relay_address(file: SettingsFile) -> HostAddress | None:
    """Return the address with the second port, None if there is only one."""
    first, *others = file.port_range
    # The range is given by its first and its last port.
    if not others or others[-1] <= first:
        return None
    return HostAddress(f"{file.ip}:{first + 1}")


def _make_duration(name: str, number: float, unit: timedelta = SECOND) -> timedelta:
    """Return a number of units as a duration; raise InvalidInputError."""
    try:
        duration = unit * number
    except (ValueError, OverflowError):
        duration = -unit
    if duration < timedelta(0):
        raise InvalidInputError(f"setting {name} is {number}; expected 0 or more")
    return duration


def _get_listen_address(file: SettingsFile, name: str) -> str:
    address = file.listen.get(name)
    if address is None:
        raise InvalidInputError(f"setting listen.{name} is missing")
    return address
