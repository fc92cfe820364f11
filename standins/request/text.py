"""Generate the text of answers from the prompt alone.

Any engine continues an answer that another one began, since the text at a
position depends on nothing but the prompt and the position.
"""

import json

import xxhash

CHARACTERS_PER_TOKEN = 4
_LETTERS = "abcdefghijklmnopqrstuvwxyz"

Messages = tuple[tuple[str, str], ...]


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text, rounded up."""
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def count_prompt_tokens(messages: Messages) -> int:
    """Return the number of tokens of a prompt."""
    return sum(count_tokens(content) for _, content in messages)


def split_continuation(messages: Messages) -> tuple[Messages, str]:
    """Return the prompt and the part of its answer that exists already."""
    if messages and messages[-1][0] == "assistant":
        return messages[:-1], messages[-1][1]
    return messages, ""


def make_seed(prompt: Messages) -> str:
    """Return what the answer to a prompt is generated from."""
    return xxhash.xxh64_hexdigest(json.dumps(prompt).encode())


def make_text(seed: str, start: int, end: int) -> str:
    """Return the characters of an answer from one position up to another."""
    first = start // CHARACTERS_PER_TOKEN
    last = -(-end // CHARACTERS_PER_TOKEN)
    text = "".join(_make_token(seed, index) for index in range(first, last))
    skipped = first * CHARACTERS_PER_TOKEN
    return text[start - skipped : end - skipped]


def _make_token(seed: str, index: int) -> str:
    number = xxhash.xxh32_intdigest(f"{seed}:{index}".encode())
    letters = (
        _LETTERS[number % 26],
        _LETTERS[number // 26 % 26],
        _LETTERS[number // 676 % 26],
    )
    return "".join(letters) + " "
