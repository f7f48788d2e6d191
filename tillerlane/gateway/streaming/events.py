"""Splits a stream of bytes into complete server-sent events."""

import re

from tillerlane.decisions import event_order

__all__ = ["EventSplitter", "is_comment", "is_valid_id", "parse_event_id"]

MAX_EVENT_BYTES = 1024 * 1024
MAX_ID_CHARACTERS = 200
"""Bound on ids, which are sent on in headers and logged; the longest in use has 4."""
MAX_SEPARATOR_BYTES = 4
_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
_COMMENT_STARTS = (b":", b"retry:")


class EventSplitter:
    """Buffers bytes and extracts the complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0
        """Bytes of the buffer before which no event ends."""

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes; returns the events completed by them, each with its closing blank line.

        Raises
        ------
        ValueError
            If an event grows beyond `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        complete_events = []
        begin = 0
        for found in _EVENT_END.finditer(self._buffer, self._searched):
            complete_events.append(bytes(self._buffer[begin : found.end()]))
            begin = found.end()
        del self._buffer[:begin]
        self._searched = max(0, len(self._buffer) - MAX_SEPARATOR_BYTES + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"got an event of over {MAX_EVENT_BYTES} bytes")
        return complete_events


def parse_event_id(event: bytes) -> str:
    """Id of an event; empty if it has none.

    Examples
    --------
    >>> parse_event_id(b"id: 7\\ndata: x\\n\\n")
    '7'
    """
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""


def is_valid_id(text: str) -> bool:
    """Whether an event's id can be sent on in a header; digits must be a number."""
    if not (len(text) <= MAX_ID_CHARACTERS and text.isascii() and text.isprintable()):
        return False
    return not text.isdigit() or event_order.parse_number(text) is not None


def is_comment(event: bytes) -> bool:
    """Whether all lines are comments or reconnection times, which belong to no event.

    Examples
    --------
    >>> is_comment(b": keep-alive\\n\\n")
    True
    """
    return all(line.startswith(_COMMENT_STARTS) for line in event.splitlines() if line)
