"""Guard against malformed cache listings and responses to other requests."""

import json

import pytest

from oleanderhitch.connection.http.messages import ResponseOwner
from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.platform.caches import make_platform_cache_dialect
from oleanderhitch.platform.requests import make_prompt_part

CACHE_DIALECT = make_platform_cache_dialect()


def test_cached_parts_have_the_same_ids_as_prompt_parts() -> None:
    """Guard against cached parts that placement cannot match with prompt parts."""
    held = [["", "5C1E07a2", 800, "m"], ["", "91bd3f06", 410, "n"]]
    body = json.dumps({"epoch": 1, "next": 3, "held": held}).encode()
    assert CACHE_DIALECT.read_parts(body) == (
        make_prompt_part("m", "5c1e07a2", 800),
        make_prompt_part("n", "91bd3f06", 410),
    )


def test_malformed_parts_are_skipped() -> None:
    """Guard against a malformed part that hides the others."""
    held = [["", 5, 800, "m"], "x", ["", "a", "b", "m"], ["", "a"], ["", "a", 7, "m"]]
    body = json.dumps({"held": held}).encode()
    assert CACHE_DIALECT.read_parts(body) == (make_prompt_part("m", "a", 7),)


@pytest.mark.parametrize(
    "body", [b"", b"\xff\x00", b"[]", b'{"held": 3}', b'{"he', b"[" * 100_000]
)
def test_malformed_response_is_rejected(body: bytes) -> None:
    """Guard against an error that the caches task does not handle."""
    with pytest.raises(InvalidInputError):
        CACHE_DIALECT.read_parts(body)


def test_leaving_engine_is_recognised() -> None:
    """Guard against requests at an engine that said in a listing that it leaves."""
    assert CACHE_DIALECT.is_leaving((("server-leaving", "2"),))
    assert not CACHE_DIALECT.is_leaving((("content-type", "application/json"),))


def test_late_response_to_a_request_is_ignored() -> None:
    """Guard against reading the late response to a request as a cache listing.

    A refusal may have no id, as a listing; then only a new connection tells them apart.
    """
    find_owner = CACHE_DIALECT.find_owner
    assert find_owner((("x-request-id", "r1"),)) is ResponseOwner.ANOTHER_REQUEST
    own = (("content-type", "application/json"),)
    assert find_owner(own) is ResponseOwner.UNKNOWN
