"""Resource usage of the processes of a deployment."""

import os
import time
from dataclasses import dataclass
from pathlib import Path

import urllib3

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# The number of a node completes these prefixes.
STORE_STATUS_URL_PREFIX = "http://127.0.0.1:2725"
ENTRY_URL_PREFIX = "http://127.0.0.1:2700"

POOL_MANAGER = urllib3.PoolManager(
    retries=False, timeout=urllib3.Timeout(2, 60), maxsize=128
)


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """CPU time and peer traffic of a process since its start, and its memory."""

    measured_at_s: float
    cpu_s: float
    resident_mb: float
    peer_bytes: float


@dataclass(frozen=True, slots=True)
class UsageRates:
    """CPU usage and peer traffic of a process over an interval, and its memory."""

    cpu_percent: float
    resident_mb: float
    peer_bytes_per_s: float


class Processes:
    """Processes by name; scripts/deployment.sh starts them and writes their ids."""

    def __init__(self, work_directory: Path) -> None:
        self._work_directory = work_directory

    def start(self, name: str) -> None:
        """Request that the script starts a process whose command it has recorded."""
        (self._work_directory / "start" / name).touch()
        while not (self._work_directory / f"{name}.pid").exists():
            time.sleep(0.05)

    def get_usage(self, name: str) -> ResourceUsage:
        """Return the resource usage of a process."""
        pid = (self._work_directory / f"{name}.pid").read_text().strip()
        # After the command name, 11 is utime and 12 stime in ticks, 21 is rss in pages.
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
        resident_mb = int(fields[21]) * PAGE_BYTES / 2**20
        return ResourceUsage(
            time.monotonic(), cpu_s, resident_mb, self._get_peer_bytes(name)
        )

    def get_rates(self, names: list[str], interval_s: float) -> dict[str, UsageRates]:
        """Return the usage rates of processes over an interval that starts now."""
        before = {name: self.get_usage(name) for name in names}
        time.sleep(interval_s)
        return {
            name: compute_rates(before[name], self.get_usage(name)) for name in names
        }

    def _get_peer_bytes(self, name: str) -> float:
        role, _, number = name.partition("-")
        if role not in ("store", "entry"):
            return 0.0
        base_url = {"store": STORE_STATUS_URL_PREFIX, "entry": ENTRY_URL_PREFIX}[
            role
        ] + number
        text = POOL_MANAGER.request("GET", f"{base_url}/metrics").data.decode()
        for line in text.splitlines():
            if line.startswith("oleanderhitch_peer_bytes_total "):
                return float(line.split()[1])
        return 0.0


def compute_rates(before: ResourceUsage, after: ResourceUsage) -> UsageRates:
    """Return the usage rates between two measurements."""
    seconds = after.measured_at_s - before.measured_at_s
    return UsageRates(
        100 * (after.cpu_s - before.cpu_s) / seconds,
        after.resident_mb,
        (after.peer_bytes - before.peer_bytes) / seconds,
    )
