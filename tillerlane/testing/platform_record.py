"""The record that a simulated target keeps of its work, which survives the target's process.

Each start, event and end is written as a line of JSON before the work proceeds.
"""

import dataclasses
import os
import pathlib
import time
from typing import Literal

import msgspec

from tillerlane.testing import platform_runner

__all__ = ["BrokenCall", "Reader", "Writer"]


class _Line(msgspec.Struct, omit_defaults=True):
    """One action of a target; `at` is in seconds on the host's monotonic clock."""

    at: float
    what: Literal["start", "begin", "event", "end", "refuse", "broken", "closed", "order", "answer"]
    request_id: str = ""
    run: str = ""
    """Identifies the run among all runs of the target."""
    headers: dict[str, str] = {}
    event: int = 0
    ended: str = ""
    backoff: float = 0.0
    text: str = ""
    """Version of the software of a start, how an answer is broken, or the answer to an order."""


@dataclasses.dataclass(slots=True)
class BrokenCall:
    """A call that a target answered with a broken answer; times are event-loop times.

    Attributes
    ----------
    request_id : str
        Empty for an order.
    text : str
        How the answer was broken.
    deadline_seconds : float
        Time that the call named; 0 without one.
    closed_at : float
        When its connection ended; infinite while it is open.
    """

    target_id: str
    request_id: str
    text: str
    began: float
    deadline_seconds: float
    closed_at: float = float("inf")


_HEADERS = ("kv-from", "last-event-id", "kv-backup", "prompt-prefix", "deadline-ms")


class Writer:
    """Writes the record of one start of a target.

    Parameters
    ----------
    path : pathlib.Path
        File of the record, shared with earlier starts of the target.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self._runs: dict[int, str] = {}
        self._broken = self._orders = 0

    def _write(self, line: _Line) -> None:
        os.write(self._file, msgspec.json.encode(line) + b"\n")

    def close(self) -> None:
        """Close the record."""
        os.close(self._file)

    def record_start(self, now: float, software_version: str = "") -> None:
        """Record that the target listens."""
        self._write(_Line(now, "start", text=software_version))

    def record_broken(self, now: float, request_id: str, deadline_ms: int, text: str) -> str:
        """Record that a call gets a broken answer; returns a name for it."""
        self._broken += 1
        name = f"{os.getpid()}.{self._broken}"
        headers = {"deadline-ms": str(deadline_ms)}
        self._write(_Line(now, "broken", request_id, name, headers, text=text))
        return name

    def record_closed(self, now: float, name: str) -> None:
        """Record that the connection of a broken answer has ended."""
        self._write(_Line(now, "closed", run=name))

    def record_order(self, now: float, request_id: str) -> str:
        """Record an order about the memory of a run; returns a name for it."""
        self._orders += 1
        name = f"{os.getpid()}.{self._orders}"
        self._write(_Line(now, "order", request_id, name))
        return name

    def record_answer(self, now: float, request_id: str, name: str, text: str) -> None:
        """Record the answer to an order, sent or lost."""
        self._write(_Line(now, "answer", request_id, name, text=text))

    def record_begin(self, run: platform_runner.RanRequest) -> None:
        """Record the start of a run."""
        name = f"{os.getpid()}.{len(self._runs)}"
        self._runs[id(run)] = name  # ids are unique, since runs are never freed
        headers = {key: run.headers[key] for key in _HEADERS if key in run.headers}
        self._write(_Line(run.began, "begin", run.request_id, name, headers))

    def record_event(self, run: platform_runner.RanRequest, now: float) -> None:
        """Record an event of a run."""
        name = self._runs[id(run)]
        self._write(_Line(now, "event", run.request_id, name, event=run.events))

    def record_rejection(self, arrival: platform_runner.Arrival) -> None:
        """Record the rejection of a request."""
        at, seconds = arrival.rejected_at, arrival.backoff
        self._write(_Line(at, "refuse", arrival.request_id, backoff=seconds))

    def record_end(self, run: platform_runner.RanRequest) -> None:
        """Record the end of a run."""
        name = self._runs[id(run)]
        self._write(_Line(run.ended_at, "end", run.request_id, name, ended=run.ended))


class Reader:
    """Reads a target's record while it grows.

    Parameters
    ----------
    path : pathlib.Path
        File of the record, which need not exist yet.
    target_id, software_version : str
        Target that writes it.

    Attributes
    ----------
    ran : list of platform_runner.RanRequest
        All runs; one without an end has `ended_at` at its last line so far.
    rejected : list of platform_runner.Arrival
        Requests that were rejected.
    broken : list of BrokenCall
        Calls that got broken answers.
    starts : int
        Number of times that the target has started to listen.
    """

    def __init__(self, path: pathlib.Path, target_id: str, software_version: str = "") -> None:
        self._path = path
        self._target_id = target_id
        self._software_version = software_version
        self._offset = 0
        self._active: dict[str, platform_runner.RanRequest] = {}
        self._open: dict[str, BrokenCall] = {}
        self._orders: set[str] = set()
        """Orders about the memory of runs that have no answer yet."""
        self.ran: list[platform_runner.RanRequest] = []
        self.rejected: list[platform_runner.Arrival] = []
        self.broken: list[BrokenCall] = []
        self.starts = 0

    @property
    def is_busy(self) -> bool:
        """Whether a run or an order about its memory has not ended in the current process."""
        return bool(self._active or self._orders)

    def read(self) -> None:
        """Process the new complete lines; a partial line is left for the next call."""
        if not self._path.exists():
            return
        with open(self._path, "rb") as file:
            file.seek(self._offset)
            data = file.read()
        complete = data[: data.rfind(b"\n") + 1]
        self._offset += len(complete)
        for line in complete.splitlines():
            self._handle_line(msgspec.json.decode(line, type=_Line))

    def record_crash(self) -> None:
        """Record that the target's process has ended, and its active runs with it."""
        for run in self._active.values():
            run.ended = "crashed"
        self._active.clear()
        self._orders.clear()
        for call in self._open.values():
            call.closed_at = time.monotonic()
        self._open.clear()

    def _handle_line(self, line: _Line) -> None:
        if line.what == "start":
            self.record_crash()
            self.starts += 1
            self._software_version = line.text or self._software_version
        elif line.what == "broken":
            seconds = int(line.headers["deadline-ms"]) / 1000
            call = BrokenCall(self._target_id, line.request_id, line.text, line.at, seconds)
            self.broken.append(call)
            self._open[line.run] = call
        elif line.what == "closed":
            self._open.pop(line.run).closed_at = line.at
        elif line.what == "order":
            self._orders.add(line.run)
        elif line.what == "answer":
            self._orders.discard(line.run)
        elif line.what == "begin":
            run = platform_runner.RanRequest(
                line.request_id,
                line.headers,
                "",
                b"",
                line.at,
                first_event=int(line.headers.get("last-event-id", "0")) + 1,
                ended_at=line.at,
                target_id=self._target_id,
                software_version=self._software_version,
            )
            self.ran.append(run)
            self._active[line.run] = run
        elif line.what == "refuse":
            arrival = platform_runner.Arrival(line.request_id, line.at, line.at, line.backoff)
            self.rejected.append(arrival)
        else:
            self._handle_progress(line)

    def _handle_progress(self, line: _Line) -> None:
        run = self._active[line.run]
        run.ended_at = line.at
        run.events = max(run.events, line.event)
        if line.what == "end":
            run.ended = line.ended
            del self._active[line.run]
