"""Print what leases and pushed versions cost at today's and at design scale.

Run with: python scripts/bench_push.py
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

AT = datetime(2026, 1, 1, tzinfo=UTC)
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


def make_design_documents(accounts_per_part, endpoints_per_part):
    """Return declarations of the size to design for, split into parts."""
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
                make_engine(n)
                for n in range(start, min(start + endpoints_per_part, N_ENDPOINTS))
            ]
        }
    for start in range(0, N_ACCOUNTS, accounts_per_part):
        documents[f"rules.accounts-{start // accounts_per_part:03}"] = {
            "accounts": [
                make_account(n)
                for n in range(start, min(start + accounts_per_part, N_ACCOUNTS))
            ]
        }
    return [make_draft(name, content) for name, content in documents.items()]


def make_engine(number):
    """Return the declaration of one engine."""
    return {
        "name": f"engine-{number}",
        "model": f"model-{number % N_MODELS}",
        "data_centre": DATA_CENTRES[number % 9][0],
        "address": f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:8000",
        "slots": 8,
        "cache_tokens": 400_000,
        "checks_fencing_tokens": True,
    }


def make_account(number):
    """Return the declaration of one account, with a budget of its own."""
    return {"name": f"account-{number:05}", "budget_tokens": 100_000 + number}


def change_one(drafts, generator):
    """Return a draft with one account's budget or one endpoint's slots changed."""
    parts = [draft for draft in drafts.values() if "-0" in draft.name] or [
        draft for draft in drafts.values()
    ]
    draft = generator.choice(parts)
    declaration = json.loads(draft.content)
    for section, key in (("accounts", "budget_tokens"), ("engines", "slots")):
        if declaration.get(section):
            generator.choice(declaration[section])[key] = generator.randint(1, 999_999)
            break
    else:
        declaration["defaults"]["budget_tokens"] = generator.randint(1, 999_999)
    return make_draft(draft.name, declaration)


def publish(state, drafts):
    """Publish drafts on the accepted version."""
    number = state.version
    command = Publish(f"p{number}", "office", number, tuple(drafts), (), AT)
    assert isinstance(apply(command, state), Published)


def measure_push(name, documents, counts=(1, 100, 400)):
    """Print the bytes of one change and of catching up after some."""
    generator = random.Random(1)
    drafts = {draft.name: draft for draft in documents}
    state = make_configuration_state()
    publish(state, drafts.values())
    sizes = [len(draft.content) for draft in documents]
    print(f"{name}: {len(sizes)} documents, {sum(sizes)} bytes, largest {max(sizes)}")
    single, in_turn = [], 0
    for missed in counts:
        while state.version < 1 + missed:
            draft = change_one(drafts, generator)
            before = state.version
            drafts[draft.name] = draft
            publish(state, [draft])
            single.append(measure_documents(state, before))
        in_turn = sum(single)
        latest = measure_documents(state, 1)
        full = measure_documents(state, 0)
        polls = round(missed * SECONDS_PER_CHANGE)
        poll = len(CODEC.encode(GetConfiguration(1))) + len(
            CODEC.encode(ConfigurationAnswer(1, (), ()))
        )
        print(
            f"  {missed:3} missed: latest on connect {latest}, each change in turn "
            f"{in_turn}, full documents {full}; polling every 1 s meanwhile: "
            f"{polls * poll} in empty polls + {in_turn} changed or {missed * full} full"
        )
    mean = sum(single) / len(single)
    print(
        f"  one change pushed to a node: changed documents {mean:.0f} (mean), full "
        f"documents {full}; at {CHANGES_PER_DAY} changes a day "
        f"{mean / SECONDS_PER_CHANGE:.0f} against {full / SECONDS_PER_CHANGE:.0f} "
        f"bytes per node and second; an empty poll is {poll} bytes"
    )


def measure_documents(state, after):
    """Return the bytes of the push that brings a node from a version up to date."""
    documents, removed = list_changes(state.documents, state.removals, after)
    return len(CODEC.encode(VersionPushed(state.version, after, documents, removed)))


def measure_heartbeat():
    """Print the bytes of a heartbeat and the leader's time for it."""
    state = core.make_membership_state()
    core.handle(LeadershipGained(7, AT + timedelta(days=1)), state, AT)
    description = NodeDescription(
        HostRole.ENTRY, "dc1", HostPort("10.0.0.1", 7101), False, ()
    )
    for node in range(N_NODES):
        first = NodeHeartbeat(f"entry-{node:03}", "5f3a9c1e", 1, 0, 0, 0, description)
        core.handle(first, state, AT)
    at = AT + timedelta(seconds=4)
    # The first heartbeat after the wait brings the whole table.
    core.handle(NodeHeartbeat("entry-399", "5f3a9c1e", 2, 0, 7, 0, None), state, at)
    n_rounds, started = 20, time.perf_counter()
    for number in range(10, 10 + n_rounds):
        for node in range(N_NODES):
            mark = state.table.number
            beat = NodeHeartbeat(
                f"entry-{node:03}", "5f3a9c1e", number, 0, 7, mark, None
            )
            data = CODEC.encode(beat)
            (effect,) = core.handle(CODEC.decode(data), state, at)
            answer = CODEC.encode(effect.message)
    spent = (time.perf_counter() - started) / n_rounds
    first = len(
        CODEC.encode(
            NodeHeartbeat("entry-001", "5f3a9c1e", 9, 4400, 7, 900, description)
        )
    )
    print(
        f"idle heartbeat: {len(data)} bytes + answer {len(answer)} = "
        f"{len(data) + len(answer)} bytes per node and second; with description {first}"
    )
    print(
        f"leader: {spent * 1000:.0f} ms per second for {N_NODES} heartbeats "
        "(encode, decode, decide, decode, encode)"
    )


def measure_compile(documents):
    """Print the time and memory of compiling at a node."""
    state = make_configuration_state()
    publish(state, documents)
    accepted = make_configuration_accepted(state).documents
    started = time.perf_counter()
    first = compile_configuration(1, accepted)
    whole = time.perf_counter() - started
    generator = random.Random(2)
    spent = []
    for _ in range(10):
        publish(state, [change_one(state.documents, generator)])
        started = time.perf_counter()
        first = compile_configuration(
            state.version, make_configuration_accepted(state).documents, first
        )
        spent.append(time.perf_counter() - started)
    mean = sum(spent) / len(spent)
    print(
        f"compile at design scale: {whole * 1000:.0f} ms whole, {mean * 1000:.0f} ms "
        f"after one change (mean of 10), {mean / SECONDS_PER_CHANGE * 100:.2f}% of a "
        f"core"
    )
    state.documents.clear()
    tracemalloc.start()
    kept = compile_configuration(1, accepted)
    size = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    print(
        f"compiled: {size:.0f} MB for {len(kept.endpoints)} endpoints and "
        f"{len(kept.accounts)} accounts, besides the documents"
    )


def measure_burst(documents):
    """Print the leader's time to push one change to all nodes."""
    group = make_configuration_state()
    publish(group, documents)
    state = core.make_membership_state()
    core.handle(make_configuration_accepted(group), state, AT)
    core.handle(LeadershipGained(7, AT + timedelta(days=1)), state, AT)
    description = NodeDescription(
        HostRole.ENTRY, "dc1", HostPort("10.0.0.1", 7101), False, ()
    )
    for node in range(N_NODES):
        beat = NodeHeartbeat(f"entry-{node:03}", "5f3a9c1e", 1, 1, 0, 0, description)
        core.handle(beat, state, AT)
    publish(group, [change_one(group.documents, random.Random(4))])
    started = time.perf_counter()
    effects = core.handle(make_configuration_accepted(group), state, AT)
    sizes = [
        len(CODEC.encode(effect.message))
        for effect in effects
        if isinstance(effect, SendToNode)
    ]
    spent = time.perf_counter() - started
    print(
        f"leader: {spent * 1000:.0f} ms to push one change to {len(sizes)} nodes, "
        f"{sum(sizes)} bytes"
    )


def main():
    """Print all figures."""
    design = make_design_documents(500, 300)
    measure_compile(design)
    measure_heartbeat()
    measure_burst(design)
    for folder in ("waiver-office", "forgeplan"):
        measure_push(folder, list(read_folder(EXAMPLES / folder)))
    measure_push("design scale, parts of 500 accounts and 300 engines", design)
    measure_push(
        "design scale, one part each",
        make_design_documents(N_ACCOUNTS, N_ENDPOINTS),
        counts=(1, 10),
    )


if __name__ == "__main__":
    main()
