"""Decides whether an event of a stream follows the one before it, by their ids.

A stream may be joined from the events of several runners, each of which may have begun at another
event than it should, and may send damaged ones.  Runners number their events from 1.
"""

__all__ = ["find_fault", "parse_number"]

MAX_DIGITS = 18
"""Longest number; an id with more digits is text."""


def parse_number(event_id: str) -> int | None:
    """The number that an event's id is; None if it is none.

    Examples
    --------
    >>> parse_number("7")
    7
    >>> parse_number("x7")
    """
    is_number = event_id.isascii() and event_id.isdigit() and len(event_id) <= MAX_DIGITS
    return int(event_id) if is_number else None


def find_fault(previous_id: str, event_id: str) -> str:
    """What is wrong with the id of an event; empty if the event follows the previous one.

    Once a stream has ids all its events have them, of the same kind: one without is damaged, and
    if it were relayed, a resumption behind the last id would repeat it.

    Parameters
    ----------
    previous_id : str
        The last id in what the caller has of the stream; empty if it has none.
    event_id : str
        Id of the event; empty if it has none.
    """
    number = parse_number(event_id)
    if not previous_id:
        return f"got event {number}, expected 1" if number not in (None, 1) else ""
    previous_number = parse_number(previous_id)
    if previous_number is not None:
        expected = previous_number + 1
        return f"got event {event_id!r}, expected {expected}" if number != expected else ""
    if not event_id or number is not None or event_id == previous_id:
        return f"got event {event_id!r} after event {previous_id!r}"
    return ""
