"""Splits a stream of bytes into complete server-sent events."""

__all__ = ["EventSplitter", "is_comment", "parse_event_id"]

MAX_EVENT_BYTES = 1024 * 1024
_SEPARATORS = (b"\n\n", b"\r\n\r\n")
_COMMENT_STARTS = (b":", b"retry:")


class EventSplitter:
    """Buffers bytes and extracts the complete events."""

    def __init__(self) -> None:
        self._buffer = b""

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
        while True:
            ends = [self._buffer.find(end) + len(end) for end in _SEPARATORS if end in self._buffer]
            if not ends:
                break
            cut = min(ends)
            complete_events.append(self._buffer[:cut])
            self._buffer = self._buffer[cut:]
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


def is_comment(event: bytes) -> bool:
    """Whether all lines are comments or reconnection times, which belong to no event.

    Examples
    --------
    >>> is_comment(b": keep-alive\\n\\n")
    True
    """
    return all(line.startswith(_COMMENT_STARTS) for line in event.splitlines() if line)
