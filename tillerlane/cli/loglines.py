"""Parses events from log lines of processes, in files or from standard input."""

import dataclasses
import json
import sys
from collections.abc import Iterable
from typing import Any

from tillerlane.timeline import core as timelines

__all__ = ["LogEvents", "parse_line", "read_files"]

_COMMON_FIELDS = frozenset(
    ("daemon", "stamp", "event", "request_id", "generation_id", "level", "timestamp", "left_out")
)
"""Fields common to all lines, which are not fields of the event itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvents:
    """Events parsed from logs.

    Attributes
    ----------
    events : list of timelines.Event
        In causal order, over all files.
    other_lines : int
        Number of lines without an event.
    left_out : int
        Number of events that the processes omitted to bound their logs.
    """

    events: list[timelines.Event]
    other_lines: int
    left_out: int


def _parse_object(line: str) -> dict[str, Any] | None:
    """Parse the JSON object of a line, skipping any prefix added by a log collector."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        values = json.loads(line[start:])
    except ValueError:
        return None
    return values if isinstance(values, dict) else None


def parse_line(line: str) -> timelines.Event | None:
    """Parse the event of a line; return None if there is none."""
    values = _parse_object(line)
    return _build_event(values) if values is not None else None


def _build_event(values: dict[str, Any]) -> timelines.Event | None:
    if not isinstance(values.get("stamp"), int) or "event" not in values:
        return None
    fields = {name: value for name, value in values.items() if name not in _COMMON_FIELDS}
    return timelines.Event(
        stamp=values["stamp"],
        daemon=str(values.get("daemon", "")),
        name=str(values["event"]),
        request_id=values.get("request_id") or "",
        generation_id=values.get("generation_id") or "",
        fields=fields,
    )


def read_files(paths: Iterable[str]) -> LogEvents:
    """Read all events of log files; ``-`` is standard input.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    events: list[timelines.Event] = []
    other_lines = left_out = 0
    for path in paths:
        for line in _read_lines(path):
            values = _parse_object(line) or {}
            event = _build_event(values)
            if event is None:
                other_lines += 1
                continue
            events.append(event)
            left_out += int(values.get("left_out") or 0)
    events.sort(key=lambda event: (event.stamp, event.daemon))
    return LogEvents(events, other_lines, left_out)


def _read_lines(path: str) -> Iterable[str]:
    if path == "-":
        yield from sys.stdin
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        yield from file
