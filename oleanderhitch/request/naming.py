"""Name requests so that callers' keys cannot collide."""

import re

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.program.ids import ProgramId
from oleanderhitch.request.ids import RequestId

_KEY = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_SEPARATOR = "~"


def make_request_id(program: ProgramId, key: str) -> RequestId:
    """Return the id of a call; raise InvalidInputError for a malformed key.

    Two programs may use the same key, but queues, engines and services must
    tell their requests apart. An id that was made before stays as it is.
    """
    prefix = f"{program}{_SEPARATOR}"
    short = key.removeprefix(prefix)
    if _KEY.fullmatch(short) is None:
        raise InvalidInputError(
            f"idempotency key {short[:80]!r} must be 1 to 128 letters, digits, "
            "'.', '_', ':' or '-'"
        )
    return RequestId(prefix + short)
