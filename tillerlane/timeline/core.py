"""Events, each daemon's bounded ring buffer of them, and their merge."""

import collections
import dataclasses
import heapq
from collections.abc import Iterable
from typing import Any

import structlog

from tillerlane.timeline import clock as clocks

__all__ = ["Event", "Timeline", "merge_events", "select_events"]

DEFAULT_RING_EVENTS = 20_000
"""Events that a daemon keeps; the oldest are dropped first."""

MAX_TEXT_CHARACTERS = 512
"""Characters of an id or a field of an event; a request's id may have as many as its head."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event on one daemon.

    Attributes
    ----------
    stamp : int
        Hybrid logical clock, see `tillerlane.timeline.clock`.
    daemon : str
        Id of the daemon on which it occurred.
    name : str
        Stable name of the event, such as ``generation.start``.
    request_id, generation_id : str
        Ids of the request and generation concerned; empty where not applicable.
    fields : dict
        Further fields, JSON values only; never keys or prompt text.
    """

    stamp: int
    daemon: str
    name: str
    request_id: str = ""
    generation_id: str = ""
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Return the event as JSON values."""
        return dataclasses.asdict(self)


def _clip(value: Any) -> Any:
    """Shorten a text that a client may have chosen: thousands of events are kept."""
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARACTERS:
        return value[:MAX_TEXT_CHARACTERS] + "..."
    return value


class Timeline:
    """Ring buffer of one daemon's latest events, which are also logged.

    Parameters
    ----------
    daemon : str
        Id of the daemon.
    clock : clocks.HybridClock
        Issues the stamps.
    limit : int
        Maximum number of events kept.
    """

    def __init__(
        self, daemon: str, clock: clocks.HybridClock, limit: int = DEFAULT_RING_EVENTS
    ) -> None:
        self.daemon = daemon
        self.clock = clock
        self._ring: collections.deque[Event] = collections.deque(maxlen=limit)
        self._log = structlog.get_logger()

    def record(
        self, name: str, *, request_id: str = "", generation_id: str = "", **fields: Any
    ) -> Event:
        """Add an event and write it to the log."""
        request_id, generation_id = _clip(request_id), _clip(generation_id)
        fields = {key: _clip(value) for key, value in fields.items()}
        event = Event(self.clock.tick(), self.daemon, name, request_id, generation_id, fields)
        self._ring.append(event)
        self._log.info(
            name,
            daemon=self.daemon,
            stamp=event.stamp,
            request_id=request_id or None,
            generation_id=generation_id or None,
            **fields,
        )
        return event

    def read(self) -> list[Event]:
        """Return all events kept, oldest first."""
        return list(self._ring)


def select_events(
    events: Iterable[Event],
    *,
    request_id: str = "",
    generation_id: str = "",
    since_ms: int = 0,
    limit: int = 5_000,
) -> list[Event]:
    """Select the events of a request, of a generation or since a time.

    A generation's events also carry its request id, so the request id selects all attempts.
    At most `limit` events are returned, the latest ones.
    """
    found = [
        event
        for event in events
        if (not request_id or event.request_id == request_id)
        and (not generation_id or event.generation_id == generation_id)
        and clocks.get_milliseconds(event.stamp) >= since_ms
    ]
    return found[-limit:]


def merge_events(rings: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge several daemons' events in causal order.

    Messages propagate stamps, so an event that could have caused another sorts before it.
    """
    return list(heapq.merge(*rings, key=lambda event: (event.stamp, event.daemon)))
