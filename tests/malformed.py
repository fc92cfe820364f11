"""Documents and byte strings that no decoder expects, drawn and from a fixed corpus."""

import json
from typing import Any

from hypothesis import strategies as st

# What writers of such messages have sent or could send in place of a value.
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    2**63,
    2**70,
    10**400,
    1e308,
    float("inf"),
    float("-inf"),
    float("nan"),
    "",
    "7",
    "a\r\nb: c",
    "\ud800",
    "\u0668",
    "x" * 5000,
    [],
    {},
    [[]],
    {"name": None},
)


def replace_value(document: Any, place: int, value: Any) -> Any:
    """Return a copy of a document with one of its values, at any depth, replaced."""
    places: list[tuple[Any, Any]] = []
    copy = json.loads(json.dumps(document))

    def visit(node: Any) -> None:
        entries = node.items() if isinstance(node, dict) else enumerate(node)
        for key, child in list(entries):
            places.append((node, key))
            if isinstance(child, dict | list):
                visit(child)

    visit(copy)
    node, key = places[place % len(places)]
    node[key] = value
    return copy


def make_odd_documents(document: Any) -> st.SearchStrategy[bytes]:
    """Return JSON texts with one or two odd values, and some that are no JSON."""

    def make_text(places: list[int], values: list[Any], n_cut: int) -> bytes:
        odd = document
        for place, value in zip(places, values, strict=False):
            odd = replace_value(odd, place, value)
        text = json.dumps(odd).encode()
        return text[: len(text) - n_cut]

    places = st.lists(st.integers(0, 1000), min_size=1, max_size=2)
    values = st.lists(st.sampled_from(ODD_VALUES), min_size=2, max_size=2)
    n_cut = st.just(0) | st.integers(0, 200)
    return st.builds(make_text, places, values, n_cut) | st.binary(max_size=30)
