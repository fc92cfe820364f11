"""Measure heartbeats and pushes of configuration versions to nodes.

Prints bytes, time and memory for the example deployments and at design scale. Run with:
python scripts/bench_push.py
"""

import json
import random
import time
import tracemalloc
from datetime import UTC, datetime, timedelta
from pathlib import Path

from oleanderhitch.connection.codec import make_codec
from oleanderhitch.process.configuration import messages as configuration_messages
from oleanderhitch.process.configuration.core import (
    apply,
    list_changes,
    make_configuration_accepted,
    make_configuration_state,
)
from oleanderhitch.process.configuration.files import read_folder
from oleanderhitch.process.configuration.messages import (
    ConfigurationAnswer,
    GetConfiguration,
    Publish,
    Published,
)
from oleanderhitch.process.membership import core
from oleanderhitch.process.membership import messages as membership_messages
from oleanderhitch.process.membership.messages import (
    LeadershipGained,
    NodeDescription,
    NodeHeartbeat,
    SendToNode,
    VersionPushed,
)
from oleanderhitch.version.addresses import HostPort
from oleanderhitch.version.compile import compile_configuration
from oleanderhitch.version.documents import make_draft
from oleanderhitch.version.states import HostRole

START_TIME = datetime(2026, 1, 1, tzinfo=UTC)
CODEC = make_codec([*configuration_messages.MESSAGES, *membership_messages.MESSAGES])
EXAMPLES = Path(__file__).parents[1] / "examples"
CHANGES_PER_DAY = 4_400
SECONDS_PER_CHANGE = 86_400 / CHANGES_PER_DAY
N_NODES = 400
N_ACCOUNTS = 33_000
N_ENDPOINTS = 6_900
N_MODELS = 9
REGIONS = ("r1", "r2", "r3", "r4")
DATA_CENTRES = tuple((f"dc{n}", REGIONS[n % 4]) for n in range(9))


def make_design_scale_drafts(accounts_per_part, endpoints_per_part):
    """Return declarations of design scale, split into documents of limited size."""
    documents = {
        "inventory": {
            "regions": [{"name": name} for name in REGIONS],
            "data_centres": [{"name": n, "region": r} for n, r in DATA_CENTRES],
            "models": [{"name": f"model-{n}"} for n in range(N_MODELS)],
        },
        "rules": {
            "defaults": {
                "places": list(REGIONS),
                "budget_tokens": 400_000,
                "turn_limit": 140,
                "silence_limit_s": 900,
                "limits": {"requests_per_account": 32, "requests_per_program": 4},
                "admits_unlisted_accounts": False,
            }
        },
    }
    for start in range(0, N_ENDPOINTS, endpoints_per_part):
        documents[f"inventory.engines-{start // endpoints_per_part:03}"] = {
            "engines": [
                make_engine_declaration(n)
                for n in range(start, min(start + endpoints_per_part, N_ENDPOINTS))
            ]
        }
    for start in range(0, N_ACCOUNTS, accounts_per_part):
        documents[f"rules.accounts-{start // accounts_per_part:03}"] = {
            "accounts": [
                make_account_declaration(n)
                for n in range(start, min(start + accounts_per_part, N_ACCOUNTS))
            ]
        }
    return [make_draft(name, content) for name, content in documents.items()]


def make_engine_declaration(number):
    """Return the declaration of an engine."""
    return {
        "name": f"engine-{number}",
        "model": f"model-{number % N_MODELS}",
        "data_centre": DATA_CENTRES[number % 9][0],
        "address": f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:8000",
        "slots": 8,
        "cache_tokens": 400_000,
        "checks_fencing_tokens": True,
    }


def make_account_declaration(number):
    """Return the declaration of an account with its own budget."""
    return {"name": f"account-{number:05}", "budget_tokens": 100_000 + number}


def change_one_draft(drafts, random_source):
    """Return a draft with the budget of one account or the slots of one engine changed.

    It is one of the parts that list accounts or engines, if there are any; otherwise
    any document, whose default budget changes if it lists neither.
    """
    candidates = [draft for draft in drafts.values() if "-0" in draft.name] or [
        draft for draft in drafts.values()
    ]
    draft = random_source.choice(candidates)
    declaration = json.loads(draft.content)
    for section, key in (("accounts", "budget_tokens"), ("engines", "slots")):
        if declaration.get(section):
            random_source.choice(declaration[section])[key] = random_source.randint(
                1, 999_999
            )
            break
    else:
        declaration["defaults"]["budget_tokens"] = random_source.randint(1, 999_999)
    return make_draft(draft.name, declaration)


def publish(state, drafts):
    """Publish drafts based on the accepted version."""
    base_version = state.version
    command = Publish(
        f"p{base_version}", "office", base_version, tuple(drafts), (), START_TIME
    )
    assert isinstance(apply(command, state), Published)


def measure_push(name, documents, missed_counts=(1, 100, 400)):
    """Print the bytes of one change and of catching up after missed ones."""
    random_source = random.Random(1)
    drafts = {draft.name: draft for draft in documents}
    state = make_configuration_state()
    publish(state, drafts.values())
    sizes = [len(draft.content) for draft in documents]
    print(f"{name}: {len(sizes)} documents, {sum(sizes)} bytes, largest {max(sizes)}")
    change_sizes, one_by_one_bytes = [], 0
    for n_missed in missed_counts:
        while state.version < 1 + n_missed:
            draft = change_one_draft(drafts, random_source)
            previous_version = state.version
            drafts[draft.name] = draft
            publish(state, [draft])
            change_sizes.append(get_push_size(state, previous_version))
        one_by_one_bytes = sum(change_sizes)
        latest_bytes = get_push_size(state, 1)
        full_bytes = get_push_size(state, 0)
        n_polls = round(n_missed * SECONDS_PER_CHANGE)
        poll_bytes = len(CODEC.encode(GetConfiguration(1))) + len(
            CODEC.encode(ConfigurationAnswer(1, (), ()))
        )
        print(
            f"  {n_missed:3} missed: latest on connect {latest_bytes}, "
            f"each change in turn {one_by_one_bytes}, full documents {full_bytes}; "
            f"polling every 1 s meanwhile: {n_polls * poll_bytes} in empty polls + "
            f"{one_by_one_bytes} changed or {n_missed * full_bytes} full"
        )
    mean_bytes = sum(change_sizes) / len(change_sizes)
    print(
        f"  one change pushed to a node: changed documents {mean_bytes:.0f} (mean), "
        f"full documents {full_bytes}; at {CHANGES_PER_DAY} changes a day "
        f"{mean_bytes / SECONDS_PER_CHANGE:.0f} against "
        f"{full_bytes / SECONDS_PER_CHANGE:.0f} "
        f"bytes per node and second; an empty poll is {poll_bytes} bytes"
    )


def get_push_size(state, after):
    """Return the bytes of the push that updates a node from the version after."""
    documents, removed = list_changes(state.documents, state.removals, after)
    return len(CODEC.encode(VersionPushed(state.version, after, documents, removed)))


def measure_heartbeat():
    """Print the bytes of a heartbeat and the leader's time for it."""
    state = core.make_membership_state()
    core.handle(LeadershipGained(7, START_TIME + timedelta(days=1)), state, START_TIME)
    description = NodeDescription(
        HostRole.ENTRY, "dc1", HostPort("10.0.0.1", 7101), False, ()
    )
    for node in range(N_NODES):
        first_heartbeat = NodeHeartbeat(
            f"entry-{node:03}", "5f3a9c1e", 1, 0, 0, 0, description
        )
        core.handle(first_heartbeat, state, START_TIME)
    later = START_TIME + timedelta(seconds=4)
    # The first reply after this interval has the whole table, so it is not measured.
    core.handle(NodeHeartbeat("entry-399", "5f3a9c1e", 2, 0, 7, 0, None), state, later)
    n_rounds, started_s = 20, time.perf_counter()
    for sequence_number in range(10, 10 + n_rounds):
        for node in range(N_NODES):
            table_number = state.table.number
            heartbeat = NodeHeartbeat(
                f"entry-{node:03}",
                "5f3a9c1e",
                sequence_number,
                0,
                7,
                table_number,
                None,
            )
            data = CODEC.encode(heartbeat)
            (effect,) = core.handle(CODEC.decode(data), state, later)
            reply = CODEC.encode(effect.message)
    seconds_per_round = (time.perf_counter() - started_s) / n_rounds
    described_bytes = len(
        CODEC.encode(
            NodeHeartbeat("entry-001", "5f3a9c1e", 9, 4400, 7, 900, description)
        )
    )
    print(
        f"idle heartbeat: {len(data)} bytes + reply {len(reply)} = "
        f"{len(data) + len(reply)} bytes per node and second; "
        f"with description {described_bytes}"
    )
    print(
        f"leader: {seconds_per_round * 1000:.0f} ms per second for {N_NODES} "
        "heartbeats (encode, decode, decide, encode)"
    )


def measure_compile(documents):
    """Print the time and memory that a node needs to compile a configuration."""
    state = make_configuration_state()
    publish(state, documents)
    accepted = make_configuration_accepted(state).documents
    started_s = time.perf_counter()
    previous = compile_configuration(1, accepted)
    full_compile_s = time.perf_counter() - started_s
    random_source = random.Random(2)
    recompile_s = []
    for _ in range(10):
        publish(state, [change_one_draft(state.documents, random_source)])
        started_s = time.perf_counter()
        previous = compile_configuration(
            state.version, make_configuration_accepted(state).documents, previous
        )
        recompile_s.append(time.perf_counter() - started_s)
    mean_s = sum(recompile_s) / len(recompile_s)
    print(
        f"compile at design scale: {full_compile_s * 1000:.0f} ms whole, "
        f"{mean_s * 1000:.0f} ms "
        f"after one change (mean of 10), {mean_s / SECONDS_PER_CHANGE * 100:.2f}% of a "
        f"core"
    )
    state.documents.clear()
    tracemalloc.start()
    configuration = compile_configuration(1, accepted)
    size_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    print(
        f"compiled: {size_mb:.0f} MB for {len(configuration.endpoints)} endpoints and "
        f"{len(configuration.accounts)} accounts, besides the documents"
    )


def measure_fan_out(documents):
    """Print the leader's time to push one change to all nodes."""
    configuration = make_configuration_state()
    publish(configuration, documents)
    membership = core.make_membership_state()
    core.handle(make_configuration_accepted(configuration), membership, START_TIME)
    core.handle(
        LeadershipGained(7, START_TIME + timedelta(days=1)), membership, START_TIME
    )
    description = NodeDescription(
        HostRole.ENTRY, "dc1", HostPort("10.0.0.1", 7101), False, ()
    )
    for node in range(N_NODES):
        heartbeat = NodeHeartbeat(
            f"entry-{node:03}", "5f3a9c1e", 1, 1, 0, 0, description
        )
        core.handle(heartbeat, membership, START_TIME)
    publish(
        configuration, [change_one_draft(configuration.documents, random.Random(4))]
    )
    started_s = time.perf_counter()
    effects = core.handle(
        make_configuration_accepted(configuration), membership, START_TIME
    )
    sizes = [
        len(CODEC.encode(effect.message))
        for effect in effects
        if isinstance(effect, SendToNode)
    ]
    elapsed_s = time.perf_counter() - started_s
    print(
        f"leader: {elapsed_s * 1000:.0f} ms to push one change to {len(sizes)} nodes, "
        f"{sum(sizes)} bytes"
    )


def main():
    """Run all measurements."""
    design = make_design_scale_drafts(500, 300)
    measure_compile(design)
    measure_heartbeat()
    measure_fan_out(design)
    for folder in ("waiver-office", "forgeplan"):
        measure_push(folder, list(read_folder(EXAMPLES / folder)))
    measure_push("design scale, parts of 500 accounts and 300 engines", design)
    measure_push(
        "design scale, one part each",
        make_design_scale_drafts(N_ACCOUNTS, N_ENDPOINTS),
        missed_counts=(1, 10),
    )


if __name__ == "__main__":
    main()
