"""Generate the text of answers.

The text at a position depends only on the prompt and the position, so that any engine
can continue an answer that another one has started.
"""

import json

import xxhash

CHARACTERS_PER_TOKEN = 4
_LETTERS = "abcdefghijklmnopqrstuvwxyz"

# Role and content of each message.
Messages = tuple[tuple[str, str], ...]


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text, rounded up."""
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def count_prompt_tokens(messages: Messages) -> int:
    """Return the number of tokens of a prompt."""
    return sum(count_tokens(content) for _, content in messages)


def split_continuation(messages: Messages) -> tuple[Messages, str]:
    """Split off a last assistant message: the part of the answer to continue."""
    if messages and messages[-1][0] == "assistant":
        return messages[:-1], messages[-1][1]
    return messages, ""


def make_seed(prompt: Messages) -> str:
    """Return the seed from which the answer to a prompt is generated."""
    return xxhash.xxh64_hexdigest(json.dumps(prompt).encode())


def make_text(seed: str, start: int, end: int) -> str:
    """Return the characters of an answer between two positions."""
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
