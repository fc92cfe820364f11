"""Hold a finished span and turn it into a line of JSON and back."""

import json
from dataclasses import asdict, dataclass, field

from oleanderhitch.exceptions import InvalidInputError


@dataclass(frozen=True, slots=True)
class SpanRecord:
    """Hold a finished span; times are nanoseconds since 1970."""

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
    """Return the line of a record."""
    return json.dumps(asdict(record), separators=(",", ":")) + "\n"


def parse_record(line: str) -> SpanRecord:
    """Return the record of a line; raise InvalidInputError on any other."""
    try:
        record = SpanRecord(**json.loads(line))
    except (ValueError, TypeError) as error:
        raise InvalidInputError(f"line is not a span: {error}") from None
    is_timed = isinstance(record.start_ns, int) and isinstance(record.end_ns, int)
    if not is_timed:
        raise InvalidInputError("line is not a span: its times are not integers")
    return record
