"""Guard against malformed entries and foreign answers in lists of held parts."""

import json

import pytest

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform.caches import make_platform_cache_dialect
from oleanderhitch.platform.requests import make_part

CACHES = make_platform_cache_dialect()


def test_parts_have_the_names_that_prompts_give_them() -> None:
    """A part that a prompt names must be found among those that are held."""
    held = [["", "5C1E07a2", 800, "m"], ["", "91bd3f06", 410, "n"]]
    body = json.dumps({"epoch": 1, "next": 3, "held": held}).encode()
    assert CACHES.read_parts(body) == (
        make_part("m", "5c1e07a2", 800),
        make_part("n", "91bd3f06", 410),
    )


def test_malformed_entries_are_left_out() -> None:
    """One damaged entry must not hide the others."""
    held = [["", 5, 800, "m"], "x", ["", "a", "b", "m"], ["", "a"], ["", "a", 7, "m"]]
    body = json.dumps({"held": held}).encode()
    assert CACHES.read_parts(body) == (make_part("m", "a", 7),)


@pytest.mark.parametrize("body", [b"", b"\xff\x00", b"[]", b'{"held": 3}', b'{"he'])
def test_unreadable_answer_is_refused(body: bytes) -> None:
    """Bytes that are no list must not end the task that reads it."""
    with pytest.raises(InvalidInputError):
        CACHES.read_parts(body)


def test_late_answer_to_a_request_is_not_taken() -> None:
    """An answer that names a request belongs to that request."""
    assert not CACHES.is_answer((("x-request-id", "r1"),))
    assert CACHES.is_answer((("content-type", "application/json"),))
