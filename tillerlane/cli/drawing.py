"""Exports of a time line: a trace in the trace-event format, and an SVG picture.

References
----------
The trace-event format (JSON array form) is supported by common trace viewers.
"""

import html
import json
from typing import Any

from tillerlane.timeline import clock as clocks

__all__ = ["build_picture", "build_trace", "write_picture", "write_trace"]

_LANE_HEIGHT = 28
_LEFT = 150
_WIDTH = 900
_TOP = 30


def build_trace(events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Build a trace: a process for each daemon and an instant event for each event."""
    daemons = sorted({event["daemon"] for event in events})
    numbers = {name: position + 1 for position, name in enumerate(daemons)}
    trace: list[dict[str, Any]] = [
        {"ph": "M", "name": "process_name", "pid": number, "args": {"name": name}}
        for name, number in numbers.items()
    ]
    for event in events:
        facts = {**event["fields"], "request": event["request_id"]}
        trace.append(
            {
                "ph": "i",
                "s": "p",
                "name": event["name"],
                "pid": numbers[event["daemon"]],
                "tid": 1,
                "ts": clocks.get_milliseconds(event["stamp"]) * 1000,
                "args": {**facts, "generation": event["generation_id"]},
            }
        )
    return trace


def write_trace(events: list[dict[str, Any]], path: str) -> None:
    """Write the trace to a file."""
    with open(path, "w", encoding="utf-8") as file:
        json.dump(build_trace(events), file)


def build_picture(events: list[dict[str, Any]]) -> str:
    """Build an SVG with a lane for each daemon and a dot for each event."""
    daemons = sorted({event["daemon"] for event in events})
    height = _TOP + _LANE_HEIGHT * (len(daemons) + 1)
    if not events:
        return '<svg xmlns="http://www.w3.org/2000/svg" width="300" height="40"/>'
    stamps = [clocks.get_milliseconds(event["stamp"]) for event in events]
    first, span = stamps[0], max(1, stamps[-1] - stamps[0])
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_LEFT + _WIDTH + 40}" '
        f'height="{height}" font-family="sans-serif" font-size="11">',
        f'<text x="{_LEFT}" y="15">{span} ms</text>',
    ]
    for position, name in enumerate(daemons):
        y = _TOP + _LANE_HEIGHT * position
        parts.append(f'<text x="5" y="{y + 4}">{html.escape(name)}</text>')
        parts.append(f'<line x1="{_LEFT}" y1="{y}" x2="{_LEFT + _WIDTH}" y2="{y}" stroke="#bbb"/>')
    for event, stamp in zip(events, stamps, strict=True):
        x = _LEFT + _WIDTH * (stamp - first) / span
        y = _TOP + _LANE_HEIGHT * daemons.index(event["daemon"])
        color = "#c33" if "fault" in event["name"] or "fail" in event["name"] else "#36c"
        title = html.escape(f"+{stamp - first} ms {event['name']} {event['fields']}")
        parts.append(
            f'<circle cx="{x:.1f}" cy="{y}" r="4" fill="{color}"><title>{title}</title></circle>'
        )
    return "\n".join([*parts, "</svg>"])


def write_picture(events: list[dict[str, Any]], path: str) -> None:
    """Write the picture to a file."""
    with open(path, "w", encoding="utf-8") as file:
        file.write(build_picture(events))
