"""Control the processes that scripts/process_tests.sh started."""

import os
import signal
import time
from pathlib import Path

import urllib3

http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(2, 60), maxsize=64)
ENTRY_URLS = {
    "entry-1": "http://127.0.0.1:27001",
    "entry-2": "http://127.0.0.1:27002",
}
SERVICE_URL = "http://127.0.0.1:27401"


class Deployment:
    """Signals and starts the processes of a deployment and queries them over HTTP."""

    def __init__(self, work_dir):
        self.work_dir = Path(work_dir)

    def get_pid(self, name):
        """Return the id of a process that the script started."""
        return int((self.work_dir / f"{name}.pid").read_text())

    def kill(self, name):
        """Send SIGKILL to a process."""
        os.kill(self.get_pid(name), signal.SIGKILL)

    def terminate(self, name):
        """Send SIGTERM to a process."""
        os.kill(self.get_pid(name), signal.SIGTERM)

    def freeze(self, name):
        """Suspend a process with SIGSTOP, as a host that hangs."""
        os.kill(self.get_pid(name), signal.SIGSTOP)

    def thaw(self, name):
        """Resume a suspended process with SIGCONT."""
        os.kill(self.get_pid(name), signal.SIGCONT)

    def start(self, name):
        """Request that the script starts a process that has ended or never ran."""
        wait_until(lambda: not self.is_running(name), 15, f"end of {name}")
        path = self.work_dir / f"{name}.pid"
        previous_pid = path.read_text() if path.exists() else ""
        (self.work_dir / "start" / name).touch()
        wait_until(
            lambda: path.exists() and path.read_text() != previous_pid,
            5,
            f"start of {name}",
        )

    def is_running(self, name):
        """Return whether a process has been started and has not ended."""
        path = self.work_dir / f"{name}.pid"
        if not path.exists():
            return False
        try:
            os.kill(int(path.read_text()), 0)
        except ProcessLookupError:
            return False
        return True

    def find_leader(self, group):
        """Return the store that leads a group, or None."""
        for number in range(1, 6):
            line = f'oleanderhitch_leader{{group="{group}"}} 1'
            if line in self.get_metrics(f"http://127.0.0.1:2725{number}"):
                return f"store-{number}"
        return None

    def get_metrics(self, base_url):
        """Return the metrics text of a process, or an empty text without a response."""
        try:
            response = http.request(
                "GET", f"{base_url}/metrics", timeout=urllib3.Timeout(0.3, 0.5)
            )
        except urllib3.exceptions.HTTPError:
            return ""
        return response.data.decode()

    def get_ready_entry_url(self):
        """Return the URL of an entry host that accepts calls."""
        return wait_until(
            lambda: next(
                (ENTRY_URLS[name] for name in ENTRY_URLS if self.is_ready(name)),
                0,
            ),
            20,
            "any entry host",
        )

    def is_ready(self, entry):
        """Return whether an entry host accepts calls."""
        try:
            return http.request("GET", f"{ENTRY_URLS[entry]}/readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def get_cached_programs(self):
        """Return the programs with cached prefixes, None if an engine fails."""
        programs = set()
        for number in (1, 2):
            url = f"http://127.0.0.1:2730{number}/v1/cache/programs"
            try:
                programs |= set(http.request("GET", url).json()["programs"])
            except urllib3.exceptions.HTTPError:
                return None
        return programs

    def get_service_counts(self):
        """Return how often the service stand-in ran each idempotency key."""
        return http.request("GET", f"{SERVICE_URL}/v1/counts").json()["keys"]


def wait_until(condition, timeout_s, description):
    """Poll a condition and return its first true value; fail after the timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"{description}: timed out after {timeout_s} s")
