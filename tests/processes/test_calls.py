"""Guard against wrong errors, duplicates and traces of single calls."""

import json
import os
import time
import uuid
from pathlib import Path

import pytest

from oleanderhitch.process.tracing.records import parse_record
from oleanderhitch.process.tracing.states import Hop
from oleanderhitch.process.tracing.tree import select_traces
from tests.processes.deployment import ENTRY_URLS, Deployment, http, wait_until

ACCOUNT_HEADERS = {"X-Account": "rental-desk"}
MESSAGES = [{"role": "user", "content": "two kayaks"}]
WORK_DIR = os.environ["OLEANDERHITCH_DEPLOYMENT"]


@pytest.fixture
def entry():
    """Return the URL of an entry host that accepts calls."""
    return Deployment(WORK_DIR).get_ready_entry_url()


@pytest.fixture
def program(entry):
    """Return a new program with a small budget."""
    body = json.dumps({"budget_tokens": 2000}).encode()
    response = http.request(
        "POST", f"{entry}/v1/programs", body=body, headers=ACCOUNT_HEADERS
    )
    return response.json()["program"]


def request_completion(entry, program, sequence=1, key=None, **body):
    """Request a chat completion and return the status and the JSON of the response."""
    headers = {**ACCOUNT_HEADERS, "X-Program": program, "X-Sequence": str(sequence)}
    headers["Idempotency-Key"] = key or uuid.uuid4().hex
    document = {"model": "veslo-llm", "messages": MESSAGES, "max_tokens": 8, **body}
    response = http.request(
        "POST",
        f"{entry}/v1/chat/completions",
        body=json.dumps(document),
        headers=headers,
    )
    return response.status, response.json()


@pytest.mark.parametrize(
    ("changes", "status", "code"),
    [
        ({"program": "nobody"}, 404, "unknown_program"),
        ({"sequence": 2}, 409, "sequence_out_of_order"),
        ({"model": "nothing"}, 404, "unknown_model"),
        ({"max_tokens": 30_000}, 402, "budget_exceeded"),
    ],
)
def test_refusals_name_code_and_outcome(entry, program, changes, status, code):
    """Guard against a refusal without the code and outcome that a caller needs."""
    response_status, document = request_completion(
        entry, **{"program": program, **changes}
    )
    assert (response_status, document["error"]["code"]) == (status, code)
    assert document["error"]["outcome"] == "not_run"


def test_other_account_cannot_read_a_program(entry, program):
    """Guard against a program that another account can read."""
    headers = {"X-Account": "stranger"}
    response = http.request("GET", f"{entry}/v1/programs/{program}", headers=headers)
    assert response.status == 404


def test_duplicate_request_gets_the_recorded_response_from_any_entry_host(program):
    """Guard against a duplicate that runs again or gets another response."""
    key = uuid.uuid4().hex
    responses = [
        request_completion(url, program, key=key) for url in ENTRY_URLS.values()
    ]
    response_messages = [document["choices"][0]["message"] for _, document in responses]
    assert response_messages[0] == response_messages[1]
    assert [document["is_replay"] for _, document in responses] == [False, True]
    record = http.request(
        "GET",
        f"{ENTRY_URLS['entry-2']}/v1/requests/{key}",
        headers={**ACCOUNT_HEADERS, "X-Program": program},
    ).json()
    assert record["outcome"] == "completed"
    other_response = request_completion(
        ENTRY_URLS["entry-1"], program, key=key, max_tokens=9
    )
    assert other_response[1]["error"]["code"] == "request_id_reused"


def test_one_trace_spans_every_hop(entry, program):
    """Guard against a trace that lacks a hop or has a hop without its parent."""
    key = uuid.uuid4().hex
    assert request_completion(entry, program, key=key)[0] == 200
    expected = {hop.value for hop in Hop}

    def find_spans():
        records = [
            parse_record(line)
            for path in (Path(WORK_DIR) / "traces").glob("*.jsonl")
            for line in path.read_text().splitlines()
        ]
        traces = select_traces(records, f"{program}~{key}")
        spans = next(iter(traces.values()), [])
        return spans if {span.hop for span in spans} == expected else None

    time.sleep(0.5)
    spans = wait_until(find_spans, 10, "spans of all hops")
    span_ids = {span.span for span in spans}
    roots = [span for span in spans if span.parent not in span_ids]
    assert [span.hop for span in roots] == [Hop.CALLER.value]
    shards = {span.process for span in spans if span.hop == Hop.SHARD.value}
    assert shards <= {f"store-{number}" for number in range(1, 6)}
