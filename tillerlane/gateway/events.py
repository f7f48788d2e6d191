"""Server-sent events cut out of a stream of bytes, whole ones only."""

__all__ = ["EventSplitter", "parse_event_id"]

MAX_EVENT_BYTES = 1024 * 1024
_ENDS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Collects bytes and gives the whole events among them."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether a part of an event is left."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes; gives the events that are whole now, each with its closing blank line.

        Raises
        ------
        ValueError
            If an event grows beyond `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        found = []
        while True:
            cuts = [self._buffer.find(end) + len(end) for end in _ENDS if end in self._buffer]
            if not cuts:
                break
            cut = min(cuts)
            found.append(self._buffer[:cut])
            self._buffer = self._buffer[cut:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"got an event of over {MAX_EVENT_BYTES} bytes")
        return found


def parse_event_id(event: bytes) -> str:
    """An event's id; empty if it has none.

    Examples
    --------
    >>> parse_event_id(b"id: 7\\ndata: x\\n\\n")
    '7'
    """
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
