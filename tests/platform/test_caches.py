"""Guard against malformed cache listings and responses to other requests."""

import json

import pytest

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform.caches import make_platform_cache_dialect
from oleanderhitch.platform.requests import make_prompt_part

CACHE_DIALECT = make_platform_cache_dialect()


def test_cached_parts_have_the_same_ids_as_prompt_parts() -> None:
    """Placement finds a cached part only if prompts give it the same id."""
    held = [["", "5C1E07a2", 800, "m"], ["", "91bd3f06", 410, "n"]]
    body = json.dumps({"epoch": 1, "next": 3, "held": held}).encode()
    assert CACHE_DIALECT.read_parts(body) == (
        make_prompt_part("m", "5c1e07a2", 800),
        make_prompt_part("n", "91bd3f06", 410),
    )


def test_malformed_parts_are_skipped() -> None:
    """One malformed part must not hide the others."""
    held = [["", 5, 800, "m"], "x", ["", "a", "b", "m"], ["", "a"], ["", "a", 7, "m"]]
    body = json.dumps({"held": held}).encode()
    assert CACHE_DIALECT.read_parts(body) == (make_prompt_part("m", "a", 7),)


@pytest.mark.parametrize("body", [b"", b"\xff\x00", b"[]", b'{"held": 3}', b'{"he'])
def test_malformed_response_is_rejected(body: bytes) -> None:
    """A malformed body must raise the error that the caches task handles."""
    with pytest.raises(InvalidInputError):
        CACHE_DIALECT.read_parts(body)


def test_late_response_to_a_request_is_ignored() -> None:
    """A response with a request id belongs to that request, not to a listing."""
    assert not CACHE_DIALECT.is_own_response((("x-request-id", "r1"),))
    assert CACHE_DIALECT.is_own_response((("content-type", "application/json"),))
