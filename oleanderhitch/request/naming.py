"""Request ids that are unique across programs."""

import re

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.request.ids import RequestId

_KEY = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_SEPARATOR = "~"


def make_request_id(program: ProgramId, key: str) -> RequestId:
    """Return the request id for an idempotency key of a program.

    Two programs may use the same key, so the id has the program as its prefix: queues,
    engines and services distinguish requests by it. A key that already is an id of the
    program is returned unchanged. Raise InvalidInputError for a malformed key.
    """
    prefix = f"{program}{_SEPARATOR}"
    caller_key = key.removeprefix(prefix)
    if _KEY.fullmatch(caller_key) is None:
        raise InvalidInputError(
            f"idempotency key {caller_key[:80]!r} must be 1 to 128 letters, digits, "
            "'.', '_', ':' or '-'"
        )
    return RequestId(prefix + caller_key)
