"""Run a program against the entry hosts of the demo and print a table of its calls.

Creates the files kill-store and kill-engine in the given folder when scripts/demo.sh
is to kill a store or an engine; kill-engine has the number of the engine.
"""

import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import urllib3

ENTRY_URLS = ("http://127.0.0.1:27001", "http://127.0.0.1:27002")
ENGINE_URLS = {"1": "http://127.0.0.1:27301", "2": "http://127.0.0.1:27302"}
SERVICE_URL = "http://127.0.0.1:27401"
READY_TIMEOUT_S = 30
N_ATTEMPTS_LIMIT = 8

http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(5, 60))


@dataclass(frozen=True)
class CallRow:
    """A call, as a row of the printed table."""

    call: str
    entry: str
    status: int
    latency_ms: float
    response_text: str


class ProgramClient:
    """Send the calls of a program, each to the next entry host in turn."""

    def __init__(self, program: str, rows: list[CallRow]) -> None:
        self._program = program
        self._sequence = 0
        self._rows = rows

    def call_model(
        self, text: str, max_tokens: int, signal_file: Path | None = None
    ) -> str:
        """Return the text that the model generates.

        With signal_file, the number of the engine that generates the text is written
        there while it is streamed.
        """
        body = {
            "model": "veslo-llm",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        return self._call(
            "model turn", "/v1/chat/completions", json.dumps(body).encode(), signal_file
        )

    def call_tool(self, operation: str, body: dict[str, Any]) -> str:
        """Return the response of a tool."""
        path = f"/v1/services/veslo-app/{operation}"
        return self._call(f"tool {operation}", path, json.dumps(body).encode())

    def _call(
        self, call: str, path: str, body: bytes, signal_file: Path | None = None
    ) -> str:
        self._sequence += 1
        idempotency_key = f"{self._program.replace('/', '.')}-{self._sequence}"
        headers = {
            "X-Account": "rental-desk",
            "X-Program": self._program,
            "X-Sequence": str(self._sequence),
            "Idempotency-Key": idempotency_key,
            "X-Deadline-Ms": "30000",
        }
        started_s = time.monotonic()
        for n_failed in range(N_ATTEMPTS_LIMIT):
            entry = ENTRY_URLS[(self._sequence + n_failed) % len(ENTRY_URLS)]
            response = http.request(
                "POST", entry + path, body=body, headers=headers, preload_content=False
            )
            response_text = read_response_text(response, signal_file)
            if response.status == 200:
                break
            time.sleep(0.5)
        latency_ms = (time.monotonic() - started_s) * 1000
        self._rows.append(
            CallRow(call, entry, response.status, latency_ms, response_text)
        )
        if response.status != 200:
            raise SystemExit(f"{call} failed: {response.status} {response_text}")
        return response_text


def read_response_text(
    response: urllib3.BaseHTTPResponse, signal_file: Path | None
) -> str:
    """Return the text of a streamed response, or the body if it is not streamed."""
    if "event-stream" not in response.headers.get("Content-Type", ""):
        return response.data.decode()
    text = ""
    buffer = b""
    for data in response.stream(1024):
        buffer += data
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            text += read_event_text(event.removeprefix(b"data: "))
        if signal_file is not None and len(text) > 40 and not signal_file.exists():
            signal_file.write_text(find_generating_engine())
    return text


def read_event_text(data: bytes) -> str:
    """Return the text of one event; raise SystemExit for an error event."""
    if data == b"[DONE]":
        return ""
    document = json.loads(data)
    if "error" in document:
        raise SystemExit(f"response is incomplete: {document}")
    return document["choices"][0]["delta"].get("content", "")


def find_generating_engine() -> str:
    """Return the number of the engine that is generating text, "1" if none is."""
    for number, url in ENGINE_URLS.items():
        document = http.request("GET", f"{url}/v1/load").json()
        if document["n_running"]:
            return number
    return "1"


def start_program(body: dict[str, Any]) -> str:
    """Return the id of a new program."""
    response = http.request(
        "POST",
        f"{ENTRY_URLS[0]}/v1/programs",
        body=json.dumps(body).encode(),
        headers={"X-Account": "rental-desk"},
    )
    if response.status != 201:
        raise SystemExit(f"no program: {response.status} {response.data.decode()}")
    return str(response.json()["program"])


def end_program(program: str) -> dict[str, Any]:
    """End a program and return its summary."""
    headers = {"X-Account": "rental-desk"}
    url = f"{ENTRY_URLS[1]}/v1/programs/{program}"
    return dict(http.request("DELETE", url, headers=headers).json())


def wait_until_ready() -> None:
    """Wait until all entry hosts accept calls."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    for entry in ENTRY_URLS:
        while http.request("GET", f"{entry}/readyz").status != 200:
            if time.monotonic() > deadline_s:
                raise SystemExit(f"{entry} is not ready after {READY_TIMEOUT_S} s")
            time.sleep(0.1)


def run_program(work_directory: Path, rows: list[CallRow]) -> list[dict[str, Any]]:
    """Run the program and its sub-agent and return their summaries."""
    program_id = start_program({})
    program = ProgramClient(program_id, rows)
    program.call_model("A family of four wants two kayaks until noon.", 24)
    program.call_tool("check_booking", {"booking": 17})
    (work_directory / "kill-store").touch()
    program.call_model("The booking is in order. Which waiver do they need?", 24)
    sub_agent_id = start_program({"parent": program_id, "budget_tokens": 50_000})
    sub_agent = ProgramClient(sub_agent_id, rows)
    sub_agent.call_model("Check the weather rules for children under twelve.", 24)
    sub_agent_summary = end_program(sub_agent_id)
    program.call_model(
        "Write the waiver text in full, with all the rules for children.",
        200,
        work_directory / "kill-engine",
    )
    program.call_tool("file_waiver", {"booking": 17})
    program.call_model("Tell the family that the waiver is filed.", 24)
    return [sub_agent_summary, end_program(program_id)]


def main() -> None:
    """Run the demo's program and print the table and the summaries."""
    rows: list[CallRow] = []
    wait_until_ready()
    started_s = time.monotonic()
    summaries = run_program(Path(sys.argv[1]), rows)
    print(f"{'call':24} {'entry':22} {'status':>6} {'ms':>8}  response")
    for row in rows:
        text = row.response_text.replace("\n", " ")[:36]
        print(
            f"{row.call:24} {row.entry:22} {row.status:6} {row.latency_ms:8.1f}  {text}"
        )
    print(f"program latency: {time.monotonic() - started_s:.2f} s")
    for summary in summaries:
        print(
            f"{summary['program'][-20:]}: {summary['n_turns']} turns, "
            f"{summary['spent_tokens']} of {summary['budget_tokens']} tokens spent"
        )
    counts = http.request("GET", f"{SERVICE_URL}/v1/counts").json()
    print(f"service counts: {json.dumps(counts)}")


if __name__ == "__main__":
    main()
