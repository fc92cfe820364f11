"""Small valid documents, and a helper that replaces one of their values."""

import copy

from oleanderhitch.version.documents import make_draft

INVENTORY = {
    "regions": [{"name": "coast"}],
    "data_centres": [
        {"name": "east", "region": "coast"},
        {"name": "west", "region": "coast"},
    ],
    "hosts": [
        {
            "name": "entry-1",
            "role": "entry",
            "data_centre": "east",
            "address": "127.0.0.1:7101",
        }
    ],
    "models": [{"name": "pilot"}],
    "services": [{"name": "ledger"}],
    "engines": [
        {
            "name": "pilot-1",
            "model": "pilot",
            "data_centre": "east",
            "address": "127.0.0.1:8101",
            "slots": 8,
            "cache_tokens": 1000,
            "checks_fencing_tokens": True,
        },
        {
            "name": "pilot-2",
            "model": "pilot",
            "data_centre": "west",
            "address": "[::1]:8102",
            "slots": 4,
            "cache_tokens": 0,
            "checks_fencing_tokens": False,
            "is_leaving": True,
        },
    ],
    "runners": [
        {
            "name": "ledger-1",
            "service": "ledger",
            "data_centre": "west",
            "address": "127.0.0.1:8201",
            "slots": 2,
            "answers_by_key": True,
        }
    ],
}
RULES = {
    "defaults": {
        "places": ["coast"],
        "budget_tokens": 1000,
        "turn_limit": 10,
        "silence_limit_s": 60,
        "limits": {"requests_per_account": 5, "requests_per_program": 2},
        "admits_unlisted_accounts": False,
    },
    "accounts": [
        {"name": "office"},
        {
            "name": "audit",
            "places": ["west"],
            "budget_tokens": 10,
            "limits": {"requests_per_account": 1},
        },
    ],
    "operations": [
        {"service": "ledger", "name": "file", "is_idempotent": False},
        {"service": "ledger", "name": "read", "is_idempotent": True},
    ],
    "queues": [{"name": "pilot", "queued_requests": 7}],
}


def make_drafts(inventory=INVENTORY, rules=RULES, **further_documents):
    """Return drafts of an inventory, rules and further documents.

    A document that is None is left out; `__` in a keyword represents a dot.
    """
    documents = {"inventory": inventory, "rules": rules, **further_documents}
    return tuple(
        make_draft(name.replace("__", "."), content)
        for name, content in documents.items()
        if content is not None
    )


def replace_value(document, path, value):
    """Return a copy with the value at a path replaced, or removed if it is None."""
    changed = copy.deepcopy(document)
    target = changed
    for key in path[:-1]:
        target = target[key]
    if value is None:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return changed
