"""Finished spans and their format as lines of JSON."""

import json

from msgspec import field
from msgspec.structs import asdict

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.values import Value


class SpanRecord(Value, frozen=True):
    """A finished span, with times in nanoseconds since the Unix epoch.

    `trace`, `span` and `parent` are ids in hexadecimal; `parent` is empty for a root.
    """

    trace: str
    span: str
    parent: str
    hop: str
    request: str
    process: str
    start_ns: int
    end_ns: int
    error: str = ""
    attributes: dict[str, str | int | float | bool] = field(default_factory=dict)


def format_record(record: SpanRecord) -> str:
    """Return a record as a line of JSON."""
    return json.dumps(asdict(record), separators=(",", ":")) + "\n"


def parse_record(line: str) -> SpanRecord:
    """Parse a line of JSON; raise InvalidInputError if it is not a record."""
    try:
        record = SpanRecord(**json.loads(line))
    except (ValueError, TypeError) as error:
        raise InvalidInputError(f"line is not a span: {error}") from None
    is_timed = isinstance(record.start_ns, int) and isinstance(record.end_ns, int)
    if not is_timed:
        raise InvalidInputError("line is not a span: its times are not integers")
    return record
