"""Run programs against the entries and check what became of them."""

import json
import threading
import time
import uuid

import urllib3

from tests.processes.deployment import ENTRIES, http

ACCOUNT = "rental-desk"
RETRY_CODES = (409, 429, 502, 503, 504)
# With these and an unknown outcome, the same key is sent again.
REPEAT_CODES = (
    "request_in_progress",
    "state_unavailable",
    "no_lease",
    "shutting_down",
    "limit_exceeded",
)
CALL_TIMEOUT_S = 40


class LoadedProgram:
    """Run one program of model turns and tool calls, retrying as a caller does."""

    def __init__(self, n_turns):
        self.n_turns = n_turns
        self.name = None
        self.completed = []
        self.unknown = []
        self.not_run = []
        self.longest_call_s = 0.0
        self.faults = []
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __repr__(self):
        """Return what is known of the program's calls."""
        return f"completed {self.completed}, open {self.unknown}, {self.not_run}"

    def run(self):
        """Run the program; keep faults for the test."""
        try:
            self.name = self.start()
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
            self.faults.append(repr(error))

    def start(self):
        """Return the id of a new program; a retry names the same program."""
        name = uuid.uuid4().hex
        self.request(
            "POST", "/v1/programs", {"program": name}, {"X-Account": ACCOUNT}, 201
        )
        return name

    def call(self, path, body, sequence):
        """Return the outcome of one call, sent again until it is known."""
        started = time.monotonic()
        for n_keys in range(200):
            key = f"{self.name}-{sequence}-{len(self.completed)}-{n_keys}"
            headers = {
                "X-Account": ACCOUNT,
                "X-Program": self.name,
                "X-Sequence": str(sequence),
                "Idempotency-Key": key,
                "X-Deadline-Ms": "20000",
            }
            outcome = self.request("POST", path, body, headers, 200)
            if outcome != "not_run":
                break
            self.not_run.append(f"{self.name}~{key}")
            time.sleep(0.1)
        took = time.monotonic() - started
        self.longest_call_s = max(self.longest_call_s, took)
        if outcome == "completed":
            self.completed.append((f"{self.name}~{key}", path))
        else:
            self.unknown.append(f"{self.name}~{key}")
        return outcome

    def request(self, method, path, body, headers, expected):
        """Return the outcome of a request id once it is final."""
        until = time.monotonic() + CALL_TIMEOUT_S
        addresses = list(ENTRIES.values())
        n_tries = 0
        error = {}
        while time.monotonic() < until:
            n_tries += 1
            address = addresses[(n_tries + len(self.completed)) % len(addresses)]
            try:
                response = http.request(
                    method, address + path, body=json.dumps(body), headers=headers
                )
            except urllib3.exceptions.HTTPError:
                time.sleep(0.05)
                continue
            if response.status == expected:
                return "completed"
            error = json.loads(response.data)["error"]
            assert response.status in RETRY_CODES, error
            is_open = error["outcome"] == "unknown" and error["code"] in REPEAT_CODES
            if "Idempotency-Key" in headers and not is_open:
                return error["outcome"]
            time.sleep(0.1)
        raise AssertionError(f"{path} got no answer in {CALL_TIMEOUT_S} s: {error}")


class Load:
    """Run several programs side by side."""

    def __init__(self, n_programs, n_turns):
        self.programs = [LoadedProgram(n_turns) for _ in range(n_programs)]
        for program in self.programs:
            program.thread.start()

    def join(self):
        """Wait for all programs."""
        for program in self.programs:
            program.thread.join(120)
            assert not program.thread.is_alive(), f"{program.name} hangs"

    @property
    def longest_call_s(self):
        """Return the longest time that a call took, retries included."""
        return max(program.longest_call_s for program in self.programs)

    def end(self, deployment):
        """End all programs."""
        address = deployment.get_ready_entry()
        for program in self.programs:
            url = f"{address}/v1/programs/{program.name}"
            response = http.request("DELETE", url, headers={"X-Account": ACCOUNT})
            assert response.status == 200, response.data

    def check(self, deployment):
        """Check order, history and that no tool call ran twice."""
        counts = deployment.get_service_counts()
        address = deployment.get_ready_entry()
        for program in self.programs:
            assert not program.faults, program.faults
            summary = http.request(
                "GET",
                f"{address}/v1/programs/{program.name}",
                headers={"X-Account": ACCOUNT},
            ).json()
            assert summary["n_turns"] == len(program.completed), (
                f"{summary['n_turns']} turns are recorded and "
                f"{len(program.completed)} were acknowledged; {program}"
            )
            assert summary["reserved_tokens"] == 0
            for key, path in program.completed:
                if "file_waiver" in path:
                    assert counts.get(key) == 1, f"{key} ran {counts.get(key)} times"
            for key in program.not_run:
                assert key not in counts, f"{key} was told not run and ran"
            for key in program.unknown:
                assert counts.get(key, 0) <= 1, f"{key} ran {counts[key]} times"
