"""Events read back from the log lines of processes: files, or standard input."""

import dataclasses
import json
import sys
from collections.abc import Iterable
from typing import Any

from tillerlane.timeline import core as timelines

__all__ = ["LogEvents", "parse_line", "read_files"]

_OWN = frozenset(
    ("daemon", "stamp", "event", "request_id", "generation_id", "level", "timestamp", "left_out")
)
"""Fields of a line that are no facts of the event itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvents:
    """What was found in logs.

    Attributes
    ----------
    events : list of timelines.Event
        In causal order, over all files.
    other_lines : int
        Lines that hold no event.
    left_out : int
        Events that the processes left out to bound their logs.
    """

    events: list[timelines.Event]
    other_lines: int
    left_out: int


def _parse(line: str) -> dict[str, Any] | None:
    """The JSON object of a line, behind whatever a collector put before it."""
    begin = line.find("{")
    if begin < 0:
        return None
    try:
        values = json.loads(line[begin:])
    except ValueError:
        return None
    return values if isinstance(values, dict) else None


def parse_line(line: str) -> timelines.Event | None:
    """The event that a line tells of; None if it tells of none."""
    values = _parse(line)
    return _build_event(values) if values is not None else None


def _build_event(values: dict[str, Any]) -> timelines.Event | None:
    if not isinstance(values.get("stamp"), int) or "event" not in values:
        return None
    fields = {name: value for name, value in values.items() if name not in _OWN}
    return timelines.Event(
        stamp=values["stamp"],
        daemon=str(values.get("daemon", "")),
        name=str(values["event"]),
        request_id=values.get("request_id") or "",
        generation_id=values.get("generation_id") or "",
        fields=fields,
    )


def read_files(paths: Iterable[str]) -> LogEvents:
    """All events of files of log lines; ``-`` is standard input.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    found: list[timelines.Event] = []
    other_lines = left_out = 0
    for path in paths:
        for line in _read_lines(path):
            values = _parse(line) or {}
            event = _build_event(values)
            if event is None:
                other_lines += 1
                continue
            found.append(event)
            left_out += int(values.get("left_out") or 0)
    found.sort(key=lambda event: (event.stamp, event.daemon))
    return LogEvents(found, other_lines, left_out)


def _read_lines(path: str) -> Iterable[str]:
    if path == "-":
        yield from sys.stdin
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        yield from file
