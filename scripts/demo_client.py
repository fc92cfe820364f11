"""Run one program against the demo's entries and print what ran where."""

import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import urllib3

ENTRIES = ("http://127.0.0.1:27001", "http://127.0.0.1:27002")
ENGINES = {"1": "http://127.0.0.1:27301", "2": "http://127.0.0.1:27302"}
SERVICE = "http://127.0.0.1:27401"
READY_TIMEOUT_S = 30
N_TRIES = 8

http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(5, 60))


@dataclass(frozen=True)
class Row:
    """Hold one line of the demo's table."""

    what: str
    entry: str
    status: int
    latency_ms: float
    answer: str


class Program:
    """Send the calls of one program, each to the next entry in turn."""

    def __init__(self, program: str, rows: list[Row]) -> None:
        self._program = program
        self._sequence = 0
        self._rows = rows

    def ask_model(self, text: str, max_tokens: int, stage: Path | None = None) -> str:
        """Return the model's answer; write the busy engine's number to stage."""
        body = {
            "model": "veslo-llm",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        return self._call(
            "model turn", "/v1/chat/completions", json.dumps(body).encode(), stage
        )

    def call_tool(self, operation: str, body: dict[str, Any]) -> str:
        """Return a tool's answer."""
        path = f"/v1/services/veslo-app/{operation}"
        return self._call(f"tool {operation}", path, json.dumps(body).encode())

    def _call(
        self, what: str, path: str, body: bytes, stage: Path | None = None
    ) -> str:
        self._sequence += 1
        key = f"{self._program.replace('/', '.')}-{self._sequence}"
        headers = {
            "X-Account": "rental-desk",
            "X-Program": self._program,
            "X-Sequence": str(self._sequence),
            "Idempotency-Key": key,
            "X-Deadline-Ms": "30000",
        }
        started = time.monotonic()
        for n_tries in range(N_TRIES):
            entry = ENTRIES[(self._sequence + n_tries) % len(ENTRIES)]
            response = http.request(
                "POST", entry + path, body=body, headers=headers, preload_content=False
            )
            answer = read_answer(response, stage)
            if response.status == 200:
                break
            time.sleep(0.5)
        latency_ms = (time.monotonic() - started) * 1000
        self._rows.append(Row(what, entry, response.status, latency_ms, answer))
        if response.status != 200:
            raise SystemExit(f"{what} failed: {response.status} {answer}")
        return answer


def read_answer(response: urllib3.BaseHTTPResponse, stage: Path | None) -> str:
    """Return the text of a streamed answer, or the body of another one."""
    if "event-stream" not in response.headers.get("Content-Type", ""):
        return response.data.decode()
    text = ""
    buffer = b""
    for data in response.stream(1024):
        buffer += data
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            text += read_event(event.removeprefix(b"data: "))
        if stage is not None and len(text) > 40 and not stage.exists():
            stage.write_text(find_busy_engine())
    return text


def read_event(data: bytes) -> str:
    """Return the text of one event; raise SystemExit for an error event."""
    if data == b"[DONE]":
        return ""
    document = json.loads(data)
    if "error" in document:
        raise SystemExit(f"answer is not whole: {document}")
    return document["choices"][0]["delta"].get("content", "")


def find_busy_engine() -> str:
    """Return the number of the engine that generates now."""
    for number, address in ENGINES.items():
        document = http.request("GET", f"{address}/v1/load").json()
        if document["n_running"]:
            return number
    return "1"


def start_program(body: dict[str, Any]) -> str:
    """Return the id of a new program."""
    response = http.request(
        "POST",
        f"{ENTRIES[0]}/v1/programs",
        body=json.dumps(body).encode(),
        headers={"X-Account": "rental-desk"},
    )
    if response.status != 201:
        raise SystemExit(f"no program: {response.status} {response.data.decode()}")
    return str(response.json()["program"])


def end_program(program: str) -> dict[str, Any]:
    """End a program and return its summary."""
    headers = {"X-Account": "rental-desk"}
    url = f"{ENTRIES[1]}/v1/programs/{program}"
    return dict(http.request("DELETE", url, headers=headers).json())


def wait_until_ready() -> None:
    """Wait until every entry accepts calls."""
    until = time.monotonic() + READY_TIMEOUT_S
    for entry in ENTRIES:
        while http.request("GET", f"{entry}/readyz").status != 200:
            if time.monotonic() > until:
                raise SystemExit(f"{entry} is not ready after {READY_TIMEOUT_S} s")
            time.sleep(0.1)


def run_program(work: Path, rows: list[Row]) -> list[dict[str, Any]]:
    """Run the program and its sub-agent and return their summaries."""
    name = start_program({})
    program = Program(name, rows)
    program.ask_model("A family of four wants two kayaks until noon.", 24)
    program.call_tool("check_booking", {"booking": 17})
    (work / "kill-store").touch()
    program.ask_model("The booking is in order. Which waiver do they need?", 24)
    child = start_program({"parent": name, "budget_tokens": 50_000})
    agent = Program(child, rows)
    agent.ask_model("Check the weather rules for children under twelve.", 24)
    child_summary = end_program(child)
    program.ask_model(
        "Write the waiver text in full, with all the rules for children.",
        200,
        work / "kill-engine",
    )
    program.call_tool("file_waiver", {"booking": 17})
    program.ask_model("Tell the family that the waiver is filed.", 24)
    return [child_summary, end_program(name)]


def main() -> None:
    """Run the demo's program and print a table."""
    rows: list[Row] = []
    wait_until_ready()
    started = time.monotonic()
    summaries = run_program(Path(sys.argv[1]), rows)
    print(f"{'call':24} {'entry':22} {'status':>6} {'ms':>8}  answer")
    for row in rows:
        text = row.answer.replace("\n", " ")[:36]
        print(
            f"{row.what:24} {row.entry:22} {row.status:6} {row.latency_ms:8.1f}  {text}"
        )
    print(f"program latency: {time.monotonic() - started:.2f} s")
    for summary in summaries:
        print(
            f"{summary['program'][-20:]}: {summary['n_turns']} turns, "
            f"{summary['spent_tokens']} of {summary['budget_tokens']} tokens spent"
        )
    counts = http.request("GET", f"{SERVICE}/v1/counts").json()
    print(f"service counts: {json.dumps(counts)}")


if __name__ == "__main__":
    main()
