"""Checks a run against what callers, operators and fake targets recorded, not the daemons."""

import dataclasses
import itertools

from tillerlane.testing import texts

__all__ = ["CallRecord", "ChangeRecord", "Observations", "StreamRecord", "check"]


@dataclasses.dataclass(slots=True)
class StreamRecord:
    """A stream as received by its caller, over all its connections.

    ``pieces`` holds (generation, first offset, texts) in the order of arrival.
    """

    pieces: list[tuple[str, int, list[str]]] = dataclasses.field(default_factory=list)
    finished_tokens: int | None = None
    """Number of tokens that the end event reported; None without an end event."""
    fault_kind: str = ""
    fault_ran: str = ""


@dataclasses.dataclass(slots=True)
class CallRecord:
    """A call that must run at most once; ``responses`` holds (status, ``ran`` or empty)."""

    reference: str
    responses: list[tuple[int, str]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ChangeRecord:
    """An accepted change and the version that it was assigned."""

    change_id: str
    version: int


@dataclasses.dataclass(slots=True)
class Observations:
    """All observations of a run."""

    streams: list[StreamRecord] = dataclasses.field(default_factory=list)
    calls: list[CallRecord] = dataclasses.field(default_factory=list)
    changes: list[ChangeRecord] = dataclasses.field(default_factory=list)
    times_run: dict[str, int] = dataclasses.field(default_factory=dict)
    """Reference to the number of times that the fake service ran it."""
    histories: dict[str, dict[int, str]] = dataclasses.field(default_factory=dict)
    """Keeper to its final history, as version to change id."""
    versions: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    """Daemon to the versions that it reported to be in force, in order."""
    final_versions: dict[str, int] = dataclasses.field(default_factory=dict)


def check(seen: Observations) -> list[str]:
    """Return a description of every broken guarantee; empty if there is none."""
    problems: list[str] = []
    for number, stream in enumerate(seen.streams):
        problems += [f"stream {number}: {item}" for item in _check_stream(stream)]
    for call in seen.calls:
        problems += [f"call {call.reference}: {item}" for item in _check_call(call, seen)]
    problems += _check_changes(seen)
    for daemon, versions in seen.versions.items():
        decreases = [pair for pair in itertools.pairwise(versions) if pair[1] < pair[0]]
        problems += [f"{daemon}: version fell from {old} to {new}" for old, new in decreases]
    return problems


def _check_stream(stream: StreamRecord) -> list[str]:
    problems = []
    expected = 0
    generations = {generation for generation, _, _ in stream.pieces}
    if len(generations) > 1:
        problems.append(f"tokens of {len(generations)} generations")
    for generation, offset, pieces in stream.pieces:
        if offset != expected:
            kind = "doubled" if offset < expected else "lost"
            problems.append(f"{kind} tokens: offset {offset}, expected {expected}")
        wanted = [texts.make_token(generation, offset + index) for index in range(len(pieces))]
        if pieces != wanted:
            problems.append(f"wrong token at or after offset {offset}")
        expected = offset + len(pieces)
    if stream.finished_tokens is not None and stream.finished_tokens != expected:
        problems.append(f"ended as complete with {expected} of {stream.finished_tokens} tokens")
    if stream.fault_ran == "no" and expected > 0:
        problems.append("reported as not run after tokens had arrived")
    return problems


def _check_call(call: CallRecord, seen: Observations) -> list[str]:
    times = seen.times_run.get(call.reference, 0)
    problems = []
    if times > 1:
        problems.append(f"ran {times} times")
    if times == 0 and any(status == 201 for status, _ in call.responses):
        problems.append("reported as run but never ran")
    reported_not_run = call.responses and all(ran == "no" for _, ran in call.responses)
    if times > 0 and reported_not_run:
        problems.append("reported as not run but ran")
    return problems


def _check_changes(seen: Observations) -> list[str]:
    problems = []
    by_version: dict[int, str] = {}
    for change in seen.changes:
        other = by_version.setdefault(change.version, change.change_id)
        if other != change.change_id:
            problems.append(f"version {change.version} was assigned to two changes")
    for keeper, history in seen.histories.items():
        for change in seen.changes:
            found = history.get(change.version)
            if found != change.change_id:
                problems.append(f"{keeper}: change {change.change_id} is lost, found {found}")
    last = max(by_version, default=0)
    for daemon, version in seen.final_versions.items():
        if version < last:
            problems.append(f"{daemon}: version {version} at the end, {last} was accepted")
    return problems
