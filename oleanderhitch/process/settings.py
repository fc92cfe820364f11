"""Define the settings of entry hosts and disk hosts."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, Field
from pydantic_settings import BaseSettings, SettingsConfigDict

from oleanderhitch.connection.addresses import parse_address
from oleanderhitch.connection.http.budget import ServerBudget, make_server_budget
from oleanderhitch.connection.ids import HostAddress
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.process.groups.placement import DEFAULT_N_SHARDS, Store, parse_stores
from oleanderhitch.process.tracing.settings import TracingSettings

KEY_MIN_BYTES = 16
BYTES_PER_MEGABYTE = 1_000_000


def _check_address(value: str) -> str:
    try:
        parse_address(HostAddress(value))
    except InvalidInputError as error:
        raise ValueError(str(error)) from None
    return value


def _check_stores(value: str) -> str:
    try:
        parse_stores(value)
    except InvalidInputError as error:
        raise ValueError(str(error)) from None
    return value


def _check_key_file(value: Path) -> Path:
    if not value.is_file():
        raise ValueError(f"there is no file {value}; write the shared key to it")
    if len(value.read_bytes().strip()) < KEY_MIN_BYTES:
        raise ValueError(f"{value} must hold a key of {KEY_MIN_BYTES} bytes or more")
    return value


ListenAddress = Annotated[str, AfterValidator(_check_address)]
StoreList = Annotated[str, AfterValidator(_check_stores)]
KeyFile = Annotated[Path, AfterValidator(_check_key_file)]


class ProcessSettings(BaseSettings):
    """Settings of every process, from flags and environment variables."""

    model_config = SettingsConfigDict(env_prefix="OLEANDERHITCH_", extra="ignore")

    node: str = Field(description="name of this node, unique in the deployment")
    data_centre: str = Field(description="data centre that this host stands in")
    key_file: KeyFile = Field(
        description="file with the key that all nodes and operators share"
    )
    stores: StoreList = Field(
        "",
        description="disk hosts as NAME=IP:PORT@DATA_CENTRE, separated by commas",
    )
    n_shards: int = Field(
        DEFAULT_N_SHARDS,
        ge=1,
        le=4096,
        description="number of program shards; the same everywhere",
    )
    log_level: str = Field("INFO", description="least level of log lines")
    traces_dir: Path | None = Field(
        None, description="directory for traces as JSON lines; none without it"
    )
    trace_ratio: float = Field(
        0.01, ge=0.0, le=1.0, description="share of requests that are traced"
    )

    weight_store_bytes_per_s: float = Field(
        1e9, gt=0, description="rate at which the weight store serves all engines"
    )

    def get_key(self) -> bytes:
        """Return the shared key."""
        return self.key_file.read_bytes().strip()

    def make_tracing_settings(self) -> TracingSettings:
        """Return the settings of the tracer."""
        return TracingSettings(
            directory=self.traces_dir,
            process=self.node,
            sample_ratio=self.trace_ratio,
        )

    def get_stores(self) -> tuple[Store, ...]:
        """Return the disk hosts in the order of the setting."""
        return parse_stores(self.stores)


class EntrySettings(ProcessSettings):
    """Settings of an entry host."""

    listen: ListenAddress = Field(
        "127.0.0.1:8000", description="address for callers over HTTP"
    )
    peer_listen: ListenAddress = Field(
        "127.0.0.1:8100", description="address for other nodes"
    )
    data_dir: Path | None = Field(
        None,
        description="data directory of the store inside this process; "
        "needed without stores",
    )
    drain_timeout_s: float = Field(
        600.0, gt=0, description="longest wait for running requests at a stop"
    )

    memory_limit_mb: float | None = Field(
        None,
        gt=0,
        description="memory of this host in MB; bounds what callers make it hold",
    )
    n_descriptors_limit: int | None = Field(
        None,
        ge=1,
        description="files and connections that may be open; bounds those of callers",
    )

    def make_server_budget(self) -> ServerBudget:
        """Return what the callers of this process may use."""
        limit_mb = self.memory_limit_mb
        return make_server_budget(
            None if limit_mb is None else int(limit_mb * BYTES_PER_MEGABYTE),
            self.n_descriptors_limit,
        )

    def get_drain_timeout(self) -> timedelta:
        """Return how long a stopping process waits for running requests."""
        return timedelta(seconds=self.drain_timeout_s)


class StoreSettings(ProcessSettings):
    """Settings of a disk host."""

    peer_listen: ListenAddress = Field(
        "127.0.0.1:7000", description="address for other nodes"
    )
    status_listen: ListenAddress = Field(
        "127.0.0.1:7500", description="address for health and metrics over HTTP"
    )
    data_dir: Path = Field(description="data directory for all durable state")
