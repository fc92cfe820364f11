"""Control the processes that scripts/process_tests.sh started."""

import os
import signal
import time
from pathlib import Path

import urllib3

http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(2, 60), maxsize=64)
ENTRIES = {"entry-1": "http://127.0.0.1:27001", "entry-2": "http://127.0.0.1:27002"}
SERVICE = "http://127.0.0.1:27401"


class Deployment:
    """Kill, freeze and start processes by name."""

    def __init__(self, work):
        self.work = Path(work)

    def get_pid(self, name):
        """Return the id of a process that the script started."""
        return int((self.work / f"{name}.pid").read_text())

    def kill(self, name):
        """Kill a process at once."""
        os.kill(self.get_pid(name), signal.SIGKILL)

    def terminate(self, name):
        """Ask a process to stop."""
        os.kill(self.get_pid(name), signal.SIGTERM)

    def freeze(self, name):
        """Stop a process from running, as a host that hangs."""
        os.kill(self.get_pid(name), signal.SIGSTOP)

    def thaw(self, name):
        """Let a frozen process run on."""
        os.kill(self.get_pid(name), signal.SIGCONT)

    def start(self, name):
        """Have the script start a process again."""
        wait_until(lambda: not self.is_running(name), 15, f"end of {name}")
        path = self.work / f"{name}.pid"
        known = path.read_text() if path.exists() else ""
        (self.work / "start" / name).touch()
        wait_until(
            lambda: path.exists() and path.read_text() != known, 5, f"start of {name}"
        )

    def is_running(self, name):
        """Return whether a process has been started and has not ended."""
        path = self.work / f"{name}.pid"
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

    def get_metrics(self, address):
        """Return the metrics text of a process, empty when it does not answer."""
        try:
            response = http.request(
                "GET", f"{address}/metrics", timeout=urllib3.Timeout(0.3, 0.5)
            )
        except urllib3.exceptions.HTTPError:
            return ""
        return response.data.decode()

    def get_ready_entry(self):
        """Return the address of an entry that accepts calls."""
        return wait_until(
            lambda: next((ENTRIES[name] for name in ENTRIES if self.is_ready(name)), 0),
            20,
            "any entry",
        )

    def is_ready(self, entry):
        """Return whether an entry accepts calls."""
        try:
            return http.request("GET", f"{ENTRIES[entry]}/readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def get_cached_programs(self):
        """Return the programs whose memory any engine holds; None if one is silent."""
        held = set()
        for number in (1, 2):
            url = f"http://127.0.0.1:2730{number}/v1/cache/programs"
            try:
                held |= set(http.request("GET", url).json()["programs"])
            except urllib3.exceptions.HTTPError:
                return None
        return held

    def get_service_counts(self):
        """Return how often the service ran each idempotency key."""
        return http.request("GET", f"{SERVICE}/v1/counts").json()["keys"]


def wait_until(condition, seconds, what):
    """Return the first true value of a condition; fail after a time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"{what}: waited {seconds} s in vain")
