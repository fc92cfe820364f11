"""Read the platform's settings file into the settings of a process."""

import json
import os
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

import cattrs

from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.ids import NodeId
from oleanderhitch.process.site.settings import (
    EntrySettings,
    SiteSettings,
    StoreSettings,
)
from oleanderhitch.version.ids import DataCentreName, HostName

SETTINGS_VARIABLE = "OLEANDERHITCH_CONFIG"
KEY_VARIABLE = "OLEANDERHITCH_PEER_KEY"
METRICS_PORT_VARIABLE = "OLEANDERHITCH_METRICS_PORT"


@dataclass(frozen=True)
class ListSettings:
    """Say where the list of endpoints is read."""

    addr: str


@dataclass(frozen=True)
class Tolerance:
    """Say how many hosts with disks may be lost at once."""

    machines: int


@dataclass(frozen=True)
class Bounds:
    """Hold the time limits that the platform sets."""

    grace_s: float  # from SIGTERM to SIGKILL


@dataclass(frozen=True)
class SettingsFile:
    """Hold the fields of the settings file that a process needs.

    The platform adds fields at will, so that unknown ones are ignored.
    """

    node: str  # name of the host
    zone: str
    ip: str
    listen: dict[str, str]
    port_range: list[int]
    seeds: list[str]  # operators' addresses of up to three stores
    bootstrap: bool  # the whole system starts for the first time
    tolerate: Tolerance
    bounds: Bounds
    cloud_api: ListSettings
    data_dir: str | None = None


def read_settings_file() -> SettingsFile:
    """Return the settings file; raise InvalidInputError with every fault."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        raise InvalidInputError(f"environment variable {SETTINGS_VARIABLE} is not set")
    try:
        content: Any = json.loads(Path(path).read_text())
        return cattrs.Converter().structure(content, SettingsFile)
    except (OSError, ValueError) as error:
        raise InvalidInputError(
            f"settings file {path} is unreadable: {error}"
        ) from None
    except cattrs.BaseValidationError as error:
        faults = "; ".join(cattrs.transform_error(error, path="settings"))
        raise InvalidInputError(f"settings file {path}: {faults}") from None


def make_entry_settings(file: SettingsFile) -> EntrySettings:
    """Return the settings of an entry; raise InvalidInputError."""
    return EntrySettings(
        _make_site_settings(file),
        HostAddress(_get_listen(file, "front")),
        HostAddress(_get_listen(file, "ready_addr")),
    )


def make_store_settings(file: SettingsFile) -> StoreSettings:
    """Return the settings of a store; raise InvalidInputError."""
    if file.data_dir is None:
        raise InvalidInputError("setting data_dir is missing; a store needs a disk")
    return StoreSettings(
        _make_site_settings(file),
        HostAddress(_get_listen(file, "control")),
        Path(file.data_dir),
        file.bootstrap,
        file.tolerate.machines,
    )


def get_list_address(file: SettingsFile) -> HostAddress:
    """Return where the list of endpoints is read."""
    return HostAddress(file.cloud_api.addr)


def _make_site_settings(file: SettingsFile) -> SiteSettings:
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise InvalidInputError(f"environment variable {KEY_VARIABLE} is not set")
    metrics_port = os.environ.get(METRICS_PORT_VARIABLE)
    return SiteSettings(
        HostName(file.node),
        DataCentreName(file.zone),
        _make_node(file.ip, file),
        tuple(_make_node(seed.rpartition(":")[0], file) for seed in file.seeds),
        key.encode(),
        timedelta(seconds=file.bounds.grace_s),
        HostAddress(f"{file.ip}:{metrics_port}") if metrics_port else None,
    )


def _make_node(ip: str, file: SettingsFile) -> NodeId:
    """Return a node's id, the address that it listens at for its peers.

    The ports are the same on all hosts.
    """
    return NodeId(f"{ip}:{file.port_range[0]}")


def _get_listen(file: SettingsFile, name: str) -> str:
    address = file.listen.get(name)
    if address is None:
        raise InvalidInputError(f"setting listen.{name} is missing")
    return address
