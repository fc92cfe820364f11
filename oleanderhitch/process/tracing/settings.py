"""Settings of tracing, read from environment variables."""

from pathlib import Path

from pydantic import Field
from pydantic_settings import BaseSettings, SettingsConfigDict


class TracingSettings(BaseSettings):
    """Settings of tracing; without a directory no spans are written."""

    model_config = SettingsConfigDict(env_prefix="OLEANDERHITCH_TRACE_")

    directory: Path | None = None
    process: str = Field(default="oleanderhitch", pattern=r"^[A-Za-z0-9_.-]+$")
    # A sampled span costs about four times as much as an unsampled one; figures are in
    # docs/operators/observability.md.
    sample_ratio: float = Field(default=0.01, ge=0.0, le=1.0)
    n_queued_limit: int = Field(default=10_000, ge=1)
    flush_interval_ms: int = Field(default=500, ge=1)
    file_limit_bytes: int = Field(default=64 * 1024 * 1024, ge=4096)
