"""The record that a stand-in target keeps of its work; it outlives the target's process.

A line of JSON for each beginning, event and end, written before the work goes on.
"""

import os
import pathlib
from typing import Literal

import msgspec

from tillerlane.testing import platform_runner

__all__ = ["Reader", "Writer"]


class _Line(msgspec.Struct, omit_defaults=True):
    """One thing that a target did; `at` is in seconds on the machine's steady clock."""

    at: float
    what: Literal["start", "begin", "event", "end", "refuse"]
    request_id: str = ""
    run: str = ""
    """Names the run among all of the target's."""
    headers: dict[str, str] = {}
    event: int = 0
    ended: str = ""
    backoff: float = 0.0


_HEADERS = ("kv-from", "last-event-id", "kv-backup")


class Writer:
    """Writes the record of one start of a target.

    Parameters
    ----------
    path : pathlib.Path
        Where former starts have written too.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self._runs: dict[int, str] = {}

    def _write(self, line: _Line) -> None:
        os.write(self._file, msgspec.json.encode(line) + b"\n")

    def close(self) -> None:
        """Write no more."""
        os.close(self._file)

    def record_start(self, now: float) -> None:
        """The target listens."""
        self._write(_Line(now, "start"))

    def record_begin(self, run: platform_runner.RanRequest) -> None:
        """A run begins."""
        name = f"{os.getpid()}.{len(self._runs)}"
        self._runs[id(run)] = name  # runs are kept, so that no other one has its number
        headers = {key: run.headers[key] for key in _HEADERS if key in run.headers}
        self._write(_Line(run.began, "begin", run.request_id, name, headers))

    def record_event(self, run: platform_runner.RanRequest, now: float) -> None:
        """A run has come to an event."""
        name = self._runs[id(run)]
        self._write(_Line(now, "event", run.request_id, name, event=run.events))

    def record_rejection(self, arrival: platform_runner.Arrival) -> None:
        """A request was turned away."""
        at, seconds = arrival.rejected_at, arrival.backoff
        self._write(_Line(at, "refuse", arrival.request_id, backoff=seconds))

    def record_end(self, run: platform_runner.RanRequest) -> None:
        """A run has ended."""
        name = self._runs[id(run)]
        self._write(_Line(run.ended_at, "end", run.request_id, name, ended=run.ended))


class Reader:
    """Reads a target's record while it grows.

    Parameters
    ----------
    path : pathlib.Path
        Where it lies; it need not be there yet.
    target_id : str
        Whose it is.

    Attributes
    ----------
    ran : list of platform_runner.RanRequest
        All runs; one without an end has `ended_at` at the last line that tells of it.
    turned_away : list of platform_runner.Arrival
        Requests that were turned away.
    starts : int
        How often the target has begun to listen.
    """

    def __init__(self, path: pathlib.Path, target_id: str) -> None:
        self._path = path
        self._target_id = target_id
        self._place = 0
        self._under_way: dict[str, platform_runner.RanRequest] = {}
        self.ran: list[platform_runner.RanRequest] = []
        self.rejected: list[platform_runner.Arrival] = []
        self.starts = 0

    @property
    def is_busy(self) -> bool:
        """Whether a run of the present start has not ended."""
        return bool(self._under_way)

    def read(self) -> None:
        """Take the whole lines that are new."""
        if not self._path.exists():
            return
        with open(self._path, "rb") as file:
            file.seek(self._place)
            data = file.read()
        whole = data[: data.rfind(b"\n") + 1]
        self._place += len(whole)
        for line in whole.splitlines():
            self._handle_line(msgspec.json.decode(line, type=_Line))

    def record_crash(self) -> None:
        """The target's process has ended, and what it worked on with it."""
        for run in self._under_way.values():
            run.ended = "crashed"
        self._under_way.clear()

    def _handle_line(self, line: _Line) -> None:
        if line.what == "start":
            self.record_crash()
            self.starts += 1
        elif line.what == "begin":
            run = platform_runner.RanRequest(
                line.request_id,
                line.headers,
                "",
                b"",
                line.at,
                ended_at=line.at,
                target_id=self._target_id,
            )
            self.ran.append(run)
            self._under_way[line.run] = run
        elif line.what == "refuse":
            arrival = platform_runner.Arrival(line.request_id, line.at, line.at, line.backoff)
            self.rejected.append(arrival)
        else:
            self._handle_progress(line)

    def _handle_progress(self, line: _Line) -> None:
        run = self._under_way[line.run]
        run.ended_at = line.at
        run.events = max(run.events, line.event)
        if line.what == "end":
            run.ended = line.ended
            del self._under_way[line.run]
