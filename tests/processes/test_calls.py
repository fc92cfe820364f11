"""Test single calls against separate processes: errors, replays, traces."""

import json
import os
import time
import uuid
from pathlib import Path

import pytest

from oleanderhitch.process.tracing.records import parse_record
from oleanderhitch.process.tracing.states import Hop
from oleanderhitch.process.tracing.tree import select_traces
from tests.processes.deployment import ENTRIES, Deployment, http, wait_until

ACCOUNT = {"X-Account": "rental-desk"}
MESSAGES = [{"role": "user", "content": "two kayaks"}]
WORK = os.environ["OLEANDERHITCH_DEPLOYMENT"]


@pytest.fixture
def entry():
    """Return the address of an entry that accepts calls."""
    return Deployment(WORK).get_ready_entry()


@pytest.fixture
def program(entry):
    """Return a new program with a small budget."""
    body = json.dumps({"budget_tokens": 2000}).encode()
    response = http.request("POST", f"{entry}/v1/programs", body=body, headers=ACCOUNT)
    return response.json()["program"]


def ask(entry, program, sequence=1, key=None, **body):
    """Return status and document of a chat completion."""
    headers = {**ACCOUNT, "X-Program": program, "X-Sequence": str(sequence)}
    headers["Idempotency-Key"] = key or uuid.uuid4().hex
    whole = {"model": "veslo-llm", "messages": MESSAGES, "max_tokens": 8, **body}
    response = http.request(
        "POST", f"{entry}/v1/chat/completions", body=json.dumps(whole), headers=headers
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
    """Guard against a refusal that a caller cannot act upon."""
    got, document = ask(entry, **{"program": program, **changes})
    assert (got, document["error"]["code"]) == (status, code)
    assert document["error"]["outcome"] == "not_run"


def test_another_account_sees_nothing(entry, program):
    """Guard against a history that another account can read or extend."""
    headers = {"X-Account": "stranger"}
    response = http.request("GET", f"{entry}/v1/programs/{program}", headers=headers)
    assert response.status == 404


def test_a_repeat_gets_the_recorded_answer_from_any_entry(program):
    """Guard against a repeat that runs again or gets another answer."""
    key = uuid.uuid4().hex
    answers = [ask(address, program, key=key) for address in ENTRIES.values()]
    texts = [document["choices"][0]["message"] for _, document in answers]
    assert texts[0] == texts[1]
    assert [document["is_replay"] for _, document in answers] == [False, True]
    record = http.request(
        "GET",
        f"{ENTRIES['entry-2']}/v1/requests/{key}",
        headers={**ACCOUNT, "X-Program": program},
    ).json()
    assert record["outcome"] == "completed"
    other = ask(ENTRIES["entry-1"], program, key=key, max_tokens=9)
    assert other[1]["error"]["code"] == "request_id_reused"


def test_one_trace_spans_every_hop(entry, program):
    """Guard against a hop that is missing from a trace or hangs loose."""
    key = uuid.uuid4().hex
    assert ask(entry, program, key=key)[0] == 200
    expected = {hop.value for hop in Hop}

    def find_spans():
        records = [
            parse_record(line)
            for path in (Path(WORK) / "traces").glob("*.jsonl")
            for line in path.read_text().splitlines()
        ]
        traces = select_traces(records, f"{program}~{key}")
        spans = next(iter(traces.values()), [])
        return spans if {span.hop for span in spans} == expected else None

    time.sleep(0.5)
    spans = wait_until(find_spans, 10, "spans of all hops")
    names = {span.span for span in spans}
    roots = [span for span in spans if span.parent not in names]
    assert [span.hop for span in roots] == [Hop.CALLER.value]
    shards = {span.process for span in spans if span.hop == Hop.SHARD.value}
    assert shards <= {f"store-{number}" for number in range(1, 6)}
