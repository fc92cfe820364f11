"""Run programs against the entry hosts and check the recorded results."""

import json
import threading
import time
import uuid

import urllib3

from tests.processes.deployment import ENTRY_URLS, http

ACCOUNT = "rental-desk"
RETRYABLE_STATUSES = (409, 429, 502, 503, 504)
# After these errors with an unknown outcome, the same idempotency key is resent.
SAME_KEY_RETRY_CODES = (
    "request_in_progress",
    "state_unavailable",
    "no_lease",
    "shutting_down",
    "limit_exceeded",
)
CALL_TIMEOUT_S = 40


class ProgramRunner:
    """Runs one program of model turns and tool calls and retries like a caller."""

    def __init__(self, n_turns):
        self.n_turns = n_turns
        self.name = None
        self.completed = []
        self.possibly_run = []
        self.not_run = []
        self.longest_call_s = 0.0
        self.errors = []
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __repr__(self):
        """Return the outcomes of the program's calls."""
        return (
            f"completed {self.completed}, possibly run {self.possibly_run}, "
            f"not run {self.not_run}"
        )

    def run(self):
        """Run the program; keep exceptions for the check."""
        try:
            self.name = self.create()
            sequence = 1
            for turn in range(self.n_turns):
                if turn % 2:
                    path, body = "/v1/services/veslo-app/file_waiver", {"turn": turn}
                else:
                    path = "/v1/chat/completions"
                    message = {"role": "user", "content": f"turn {turn}"}
                    body = {"model": "veslo-llm", "messages": [message]}
                    body["max_tokens"] = 8
                outcome = self.call(path, body, sequence)
                sequence += outcome in ("completed", "unknown", "failed")
        except Exception as error:
            self.errors.append(repr(error))

    def create(self):
        """Create a program and return its id; a retry sends the same id."""
        name = uuid.uuid4().hex
        self.send_until_final(
            "POST", "/v1/programs", {"program": name}, {"X-Account": ACCOUNT}, 201
        )
        return name

    def call(self, path, body, sequence):
        """Return the outcome of a call; one that was not run is sent with a new key."""
        started_at = time.monotonic()
        for attempt in range(200):
            key = f"{self.name}-{sequence}-{len(self.completed)}-{attempt}"
            headers = {
                "X-Account": ACCOUNT,
                "X-Program": self.name,
                "X-Sequence": str(sequence),
                "Idempotency-Key": key,
                "X-Deadline-Ms": "20000",
            }
            outcome = self.send_until_final("POST", path, body, headers, 200)
            if outcome != "not_run":
                break
            self.not_run.append(f"{self.name}~{key}")
            time.sleep(0.1)
        elapsed_s = time.monotonic() - started_at
        self.longest_call_s = max(self.longest_call_s, elapsed_s)
        if outcome == "completed":
            self.completed.append((f"{self.name}~{key}", path))
        else:
            # A failed call may have run, like one with an unknown outcome.
            self.possibly_run.append(f"{self.name}~{key}")
        return outcome

    def send_until_final(self, method, path, body, headers, expected_status):
        """Send a request until its outcome is final, and return the outcome."""
        deadline = time.monotonic() + CALL_TIMEOUT_S
        urls = list(ENTRY_URLS.values())
        n_attempts = 0
        error = {}
        while time.monotonic() < deadline:
            n_attempts += 1
            url = urls[(n_attempts + len(self.completed)) % len(urls)]
            try:
                response = http.request(
                    method, url + path, body=json.dumps(body), headers=headers
                )
            except urllib3.exceptions.HTTPError:
                time.sleep(0.05)
                continue
            if response.status == expected_status:
                return "completed"
            error = json.loads(response.data)["error"]
            assert response.status in RETRYABLE_STATUSES, error
            is_unresolved = (
                error["outcome"] == "unknown" and error["code"] in SAME_KEY_RETRY_CODES
            )
            if "Idempotency-Key" in headers and not is_unresolved:
                return error["outcome"]
            time.sleep(0.1)
        raise AssertionError(
            f"{path}: no final response within {CALL_TIMEOUT_S} s: {error}"
        )


class Load:
    """Runs several programs concurrently."""

    def __init__(self, n_programs, n_turns):
        self.programs = [ProgramRunner(n_turns) for _ in range(n_programs)]
        for program in self.programs:
            program.thread.start()

    def join(self):
        """Wait for all programs."""
        for program in self.programs:
            program.thread.join(120)
            assert not program.thread.is_alive(), f"{program.name} is still running"

    @property
    def longest_call_s(self):
        """The longest duration of a call in seconds, retries included."""
        return max(program.longest_call_s for program in self.programs)

    def end(self, deployment):
        """End all programs."""
        entry_url = deployment.get_ready_entry_url()
        for program in self.programs:
            url = f"{entry_url}/v1/programs/{program.name}"
            response = http.request("DELETE", url, headers={"X-Account": ACCOUNT})
            assert response.status == 200, response.data

    def check(self, deployment):
        """Check that every acknowledged turn is recorded and no tool call ran twice."""
        counts = deployment.get_service_counts()
        entry_url = deployment.get_ready_entry_url()
        for program in self.programs:
            assert not program.errors, program.errors
            summary = http.request(
                "GET",
                f"{entry_url}/v1/programs/{program.name}",
                headers={"X-Account": ACCOUNT},
            ).json()
            assert summary["n_turns"] == len(program.completed), (
                f"{summary['n_turns']} turns are recorded and "
                f"{len(program.completed)} were acknowledged; {program}"
            )
            assert summary["reserved_tokens"] == 0
            for request, path in program.completed:
                if "file_waiver" in path:
                    assert counts.get(request) == 1, (
                        f"{request} ran {counts.get(request)} times"
                    )
            for request in program.not_run:
                assert request not in counts, (
                    f"{request} ran although its outcome is not_run"
                )
            for request in program.possibly_run:
                assert counts.get(request, 0) <= 1, (
                    f"{request} ran {counts[request]} times"
                )
