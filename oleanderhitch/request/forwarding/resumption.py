"""Find where a resumed stream goes on in the events that are generated again.

A stream whose output is recorded is generated from its first event: the events that the
caller has are known to the host that relayed them, which may be gone, while later turns
need all of them.
"""

from enum import Enum


class EventPosition(Enum):
    """Where an event is, seen from the last one that the caller has."""

    BEFORE = "before"
    LAST = "last"
    AFTER = "after"


def find_position(event_id: str | None, last_event_id: str) -> EventPosition:
    """Return the position of an event; only ids that are numbers have an order."""
    if event_id is None:
        return EventPosition.BEFORE
    if event_id.isdecimal() and last_event_id.isdecimal():
        number, last_number = _make_ordinal(event_id), _make_ordinal(last_event_id)
        if number > last_number:
            return EventPosition.AFTER
        return EventPosition.LAST if number == last_number else EventPosition.BEFORE
    return EventPosition.LAST if event_id == last_event_id else EventPosition.BEFORE


def _make_ordinal(digits: str) -> tuple[int, str]:
    """Return what orders texts of digits as numbers, which `int` limits in length."""
    digits = digits.lstrip("0")
    return len(digits), digits
