"""Checks a run of the platform's programs against what callers, targets and operators observed.

The daemons' own logs are not used.
"""

import dataclasses
import itertools
from collections.abc import Iterator

from tillerlane.testing import (
    broken_answers,
    caller,
    limit_scenes,
    platform_record,
    platform_runner,
)

__all__ = [
    "AnnouncedLimit",
    "Call",
    "Leaving",
    "Observations",
    "PlannedStop",
    "Serving",
    "check",
    "is_excused",
    "was_delayed",
]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that a request has not run and never will."""
MAX_OVERLAP_SECONDS = 0.4
"""How long the former runner may continue a run after another runner has resumed it, while the
entry's host can reach the former one."""
ACCEPT_AFTER_STOP_SECONDS = 3.0
"""How long after its order to stop an entry may accept requests that then outlast it."""
LIMIT_EFFECT_SECONDS = 3.0
"""Time until a newly announced limit takes effect, and for which an entry is excused after it was
paused or has restarted."""
IN_FLIGHT_SECONDS = 0.5
"""Time after a rejection during which requests already in flight may reach the target."""
MAX_REQUESTS_IN_BACKOFF = 2
"""Number of requests of one entry that may reach a target during a back-off that it requested."""
LIMIT_TOLERANCE_FACTOR = 1.5
"""Factor by which a target's limit may be exceeded, in addition to the slack."""
Span = tuple[float, float]
"""Start and end in event-loop time, in seconds."""
MAX_LATE_REQUESTS = 3
"""Number of requests that may reach a leaving runner late, since they may have been in flight when
it announced that it leaves."""


@dataclasses.dataclass(slots=True)
class Call:
    """A request as observed by its caller.

    Attributes
    ----------
    sent_at, connected_at, ended_at : float
        Event-loop times; `connected_at` is 0 without a connection.
    key : str
        API key that it carried.
    entry : str
        Entry that it was sent to.
    resumes : str
        The attempt that began the stream that it resumes; empty for a new request.
    last_event : int
        Number of the last event that its caller has of that stream.
    prompt : str
        Parts of its prompt, in the form of the platform's header.
    wait_seconds : float
        Time that its caller waits, as the request says.
    is_shed : bool
        Whether its connection may be one of those that an overloaded entry closed unread.
    has_left : bool
        Whether its caller closed the connection before the end.
    """

    request_id: str
    route: str
    key: str
    sent_at: float
    ended_at: float = 0.0
    response: caller.CallerResponse = dataclasses.field(default_factory=caller.CallerResponse)
    entry: str = ""
    resumes: str = ""
    last_event: int = 0
    has_left: bool = False
    connected_at: float = 0.0
    prompt: str = ""
    wait_seconds: float = 10.0
    is_shed: bool = False


@dataclasses.dataclass(slots=True)
class Serving:
    """A runner's time of service, from its start until it leaves or is killed."""

    target_id: str
    software_version: str
    began: float
    ended: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A target's announcement that it drains, with the time of its acknowledgement."""

    target_id: str
    acknowledged_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """An entry that was ordered to stop, and the time from which a run may outlast it."""

    entry: str
    stopped_at: float
    outlasted_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncedLimit:
    """A limit that a target announced between two event-loop times."""

    target_id: str
    limit: float
    began: float
    ended: float


@dataclasses.dataclass(slots=True)
class Observations:
    """All observations of a run.

    Attributes
    ----------
    stream_length : int
        Number of events in each stream.
    ran : dict
        Target id to its runs.
    revoked : dict
        API key to the time at which a configuration without it was acknowledged.
    acknowledged, sent : list of int
        Versions of the configuration.
    in_force : dict
        (daemon, start) to the versions that it reported to be in force, in order.
    read_back : dict
        Keeper to the version read there at the end; None if it returned none.
    fault_spans : list of (float, float)
        Spans with a fault that is not planned work.
    link_fault_spans : dict
        Target id to the spans in which its link had a fault, or its process was paused.
    entries_paused : dict
        Entry to the spans in which its process was paused.
    entries_started : dict
        Entry to the times at which its process was started.
    entries_ended : dict
        Entry to the times at which its process exited and the state of its requests was lost.
    limits : list of AnnouncedLimit
        Limits that targets announced.
    rejected : dict
        Target id to the requests that it rejected.
    broken : dict
        Target id to the calls that it answered with broken answers.
    silenced : dict
        Target id to the times at which its open connections fell silent.
    memory : dict
        (entry, start) to the most memory that its process had in use, in bytes.
    backoffs : int
        Number of spans in which targets requested back-off.
    announced_in_responses : list of Leaving
        Targets that announced in their responses that they leave, with the time.
    planned_only : bool
        Whether there was planned work only, under which nothing may fail.
    are_daemons_sound : bool
        Whether entries and keepers had no faults, only planned stops.
    serving : list of Serving
        Runners.
    shed : dict
        (entry, start) to the number of connections that it reported to have closed unread.
    resumptions : (int, int)
        Streams that were resumed, and those that should have been; set by the check.
    """

    stream_length: int
    ran: dict[str, list[platform_runner.RanRequest]] = dataclasses.field(default_factory=dict)
    calls: list[Call] = dataclasses.field(default_factory=list)
    leavings: list[Leaving] = dataclasses.field(default_factory=list)
    stops: list[PlannedStop] = dataclasses.field(default_factory=list)
    revoked: dict[str, float] = dataclasses.field(default_factory=dict)
    acknowledged: list[int] = dataclasses.field(default_factory=list)
    sent: list[int] = dataclasses.field(default_factory=list)
    in_force: dict[tuple[str, int], list[int]] = dataclasses.field(default_factory=dict)
    read_back: dict[str, int | None] = dataclasses.field(default_factory=dict)
    fault_spans: list[Span] = dataclasses.field(default_factory=list)
    link_fault_spans: dict[str, list[Span]] = dataclasses.field(default_factory=dict)
    entries_paused: dict[str, list[Span]] = dataclasses.field(default_factory=dict)
    entries_started: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    entries_ended: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    limits: list[AnnouncedLimit] = dataclasses.field(default_factory=list)
    rejected: dict[str, list[platform_runner.Arrival]] = dataclasses.field(default_factory=dict)
    broken: dict[str, list[platform_record.BrokenCall]] = dataclasses.field(default_factory=dict)
    silenced: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    memory: dict[tuple[str, int], int] = dataclasses.field(default_factory=dict)
    backoffs: int = 0
    announced_in_responses: list[Leaving] = dataclasses.field(default_factory=list)
    planned_only: bool = False
    are_daemons_sound: bool = False
    serving: list[Serving] = dataclasses.field(default_factory=list)
    resumptions: tuple[int, int] = (0, 0)
    shed: dict[tuple[str, int], int] = dataclasses.field(default_factory=dict)

    def had_fault(self, since: float, until: float) -> bool:
        """Whether a fault overlaps a span."""
        return any(begin < until and end > since for begin, end in self.fault_spans)

    def list_unreachable_spans(self, target_id: str, call: Call) -> list[Span]:
        """List the spans in which the entry of a call could not reach a target, in order."""
        spans = self.link_fault_spans.get(target_id, []) + self.entries_paused.get(call.entry, [])
        ends = [at for at in self.entries_ended.get(call.entry, []) if at >= call.sent_at]
        return sorted(spans + [(at, float("inf")) for at in ends])


def check(seen: Observations, drain_seconds: float, revoke_seconds: float) -> list[str]:
    """Return a description of every broken guarantee; empty if there is none."""
    runs: dict[str, list[platform_runner.RanRequest]] = {}
    for ran in seen.ran.values():
        for run in ran:
            runs.setdefault(run.request_id, []).append(run)
    for found in runs.values():
        found.sort(key=lambda run: run.began)
    problems: list[str] = []
    _mark_shed(seen, runs)
    for call in seen.calls:
        problems += _check_response(seen, call, runs.get(call.request_id, []))
        problems += _check_runs(seen, call, runs.get(call.request_id, []), revoke_seconds)
    known = {call.request_id for call in seen.calls}
    problems += [f"{item}: run without having been requested" for item in runs if item not in known]
    problems += _check_leaving(seen, drain_seconds)
    problems += _check_limits(seen)
    problems += _check_backoffs(seen)
    problems += _check_announced_leaving(seen, drain_seconds)
    problems += _check_configuration(seen)
    return problems


def _mark_shed(seen: Observations, runs: dict[str, list[platform_runner.RanRequest]]) -> None:
    """Mark as many unanswered calls as each entry closed connections unread."""
    left: dict[str, int] = {}
    for (entry, _), count in seen.shed.items():
        left[entry] = left.get(entry, 0) + count
    for call in seen.calls:
        is_unanswered = not call.response.status and not call.has_left
        if is_unanswered and call.request_id not in runs and left.get(call.entry, 0):
            left[call.entry] -= 1
            call.is_shed = True


def _check_response(
    seen: Observations, call: Call, runs: list[platform_runner.RanRequest]
) -> list[str]:
    response, name = call.response, call.request_id
    if response.is_invalid:
        return [f"{name}: {call.entry} sent bytes that form no response; {_describe_runs(runs)}"]
    if 200 <= response.status < 300:
        expected = _build_body(seen, call)
        body = platform_runner.strip_versions(response.body)
        if response.is_whole and body != expected:
            at = f"{call.entry} from {call.sent_at:.2f} to {call.ended_at:.2f}"
            return [
                f"{name}: {call.route} is complete, but its {len(body)} bytes are not its own "
                f"response of {len(expected)}, {at}; {_describe_runs(runs)}"
            ]
        is_endless = any(run.ended == broken_answers.Ending.ENDLESS for run in runs)
        if not is_endless and not expected.startswith(body):
            return [
                f"{name}: events are missing, repeated or another request's; {_describe_runs(runs)}"
            ]
    if response.status in NOT_RUN_STATUSES and runs and call.route != "price":
        return [f"{name}: got {response.status}, which guarantees that it has not run, but it ran"]
    if response.status in NOT_RUN_STATUSES and "retry-after" not in response.headers:
        return [f"{name}: got {response.status} without retry-after"]
    is_revoked = call.key in seen.revoked
    if seen.planned_only and not is_revoked and not call.has_left:
        is_refused = response.status in NOT_RUN_STATUSES
        is_whole = response.status == 200 and response.is_whole
        has_excuse = (
            call.is_shed
            or _outlasted_stop(seen, call, runs)
            or _was_sent_to_stopping(seen, call, runs)
        )
        if not is_refused and not is_whole and not has_excuse:
            at = f"{call.entry} from {call.sent_at:.2f} to {call.ended_at:.2f}"
            text = f"{call.route} was cut by planned work, status {response.status}"
            return [f"{name}: {text}, {at}; {_describe_entry(seen, call, runs)}"]
    if response.status in (401, 404) and not is_revoked:
        return [f"{name}: got {response.status} though route and key are valid"]
    return []


def _describe_entry(seen: Observations, call: Call, runs: list[platform_runner.RanRequest]) -> str:
    """Describe what is known of a call's entry and runs, to trace a call that was cut."""
    starts = [at for at in seen.entries_started.get(call.entry, []) if at < call.ended_at]
    ends = [at for at in seen.entries_ended.get(call.entry, []) if at > call.sent_at]
    stops = [stop.stopped_at for stop in seen.stops if stop.entry == call.entry]
    times = {"started": starts[-1:], "ended": ends[:1], "told to stop": stops}
    parts = [f"{name} {', '.join(f'{at:.2f}' for at in found)}" for name, found in times.items()]
    return f"connected {call.connected_at:.2f}, {len(runs)} runs; entry {'; '.join(parts)}"


def _describe_runs(runs: list[platform_runner.RanRequest]) -> str:
    """Describe the runs of a call, to trace a wrong response."""
    parts = [
        f"{run.target_id} ({run.software_version}) from {run.began:.2f} to {run.ended_at:.2f}, "
        f"events {run.first_event} to {run.events}, {run.ended or 'running'}"
        for run in runs
    ]
    return f"runs: {'; '.join(parts) or 'none'}"


def _outlasted_stop(seen: Observations, call: Call, runs: list[platform_runner.RanRequest]) -> bool:
    """Whether a target was still processing a request shortly before its entry had to exit.

    An entry cannot finish requests that take longer than its grace period.  A run that was moved
    meanwhile had begun at its first target.
    """
    return any(
        stop.entry == call.entry
        and call.sent_at <= stop.stopped_at + ACCEPT_AFTER_STOP_SECONDS
        and any(run.began < stop.outlasted_at for run in runs)
        and any(run.ended_at >= stop.outlasted_at for run in runs)
        for stop in seen.stops
    )


def _was_sent_to_stopping(
    seen: Observations, call: Call, runs: list[platform_runner.RanRequest]
) -> bool:
    """Whether a caller sent its request only after its entry had to accept no more.

    Its connection may wait in the listener's queue until then; it is closed unread, and without any
    response.
    """
    if runs or call.response.status:
        return False
    return any(
        stop.entry == call.entry
        and call.connected_at > stop.stopped_at + ACCEPT_AFTER_STOP_SECONDS
        and not any(
            stop.stopped_at < end < call.connected_at
            for end in seen.entries_ended.get(call.entry, [])
        )
        for stop in seen.stops
    )


def _build_body(seen: Observations, call: Call) -> bytes:
    if call.route in ("order", "price"):
        return b"answer to " + call.request_id.encode()
    return b"".join(
        platform_runner.build_event(call.request_id, number)
        for number in range(call.last_event + 1, seen.stream_length + 1)
    )


def _check_runs(
    seen: Observations,
    call: Call,
    runs: list[platform_runner.RanRequest],
    revoke_seconds: float,
) -> list[str]:
    problems = []
    starts = [run for run in runs if not run.is_resumed]
    if call.route in ("order", "record") and len(starts) > 1:
        problems.append(f"{call.request_id}: ran {len(starts)} times, may run once")
    if call.route == "record":
        problems += [
            f"{call.request_id}: two runners worked on it for {seconds:.2f} s, "
            f"{former.target_id} ({former.ended}) beside {later.target_id}, from {later.began:.2f}"
            for former, later, seconds in _list_overlaps(seen, call, runs)
            if seconds > MAX_OVERLAP_SECONDS
        ]
    revoked_at = seen.revoked.get(call.key)
    if revoked_at is not None and runs and call.sent_at > revoked_at + revoke_seconds:
        problems.append(f"{call.request_id}: ran with a key revoked long before")
    return problems


def _list_overlaps(
    seen: Observations, call: Call, runs: list[platform_runner.RanRequest]
) -> Iterator[tuple[platform_runner.RanRequest, platform_runner.RanRequest, float]]:
    """Yield each former runner of a request, the next one, and how long both were running it.

    The duration is the longest uninterrupted span, in seconds, in which the call's entry could have
    reached the former runner.
    """
    for former, later in itertools.pairwise(runs):
        longest, since = 0.0, later.began
        for begin, end in seen.list_unreachable_spans(former.target_id, call):
            if end > since:
                longest = max(longest, min(begin, former.ended_at) - since)
                since = end
        yield former, later, max(longest, former.ended_at - since)


def _check_leaving(seen: Observations, drain_seconds: float) -> list[str]:
    problems = []
    for leaving in seen.leavings:
        late = [
            run
            for run in seen.ran.get(leaving.target_id, [])
            if run.began > leaving.acknowledged_at + drain_seconds
            and not seen.had_fault(leaving.acknowledged_at - 3.0, run.began)
        ]
        if len(late) > MAX_LATE_REQUESTS:
            problems.append(f"{leaving.target_id}: got {len(late)} requests after it had drained")
    return problems


def _check_limits(seen: Observations) -> list[str]:
    entries = {call.request_id: call.entry for call in seen.calls}
    problems = []
    for announced in seen.limits:
        times = [
            run.began
            for run in seen.ran.get(announced.target_id, [])
            if announced.began + LIMIT_EFFECT_SECONDS <= run.began <= announced.ended
            and not is_excused(seen, entries.get(run.request_id, ""), run.began)
            and not was_delayed(seen, announced.target_id, run.began)
        ]
        peak = limit_scenes.count_peak(times)
        allowed = LIMIT_TOLERANCE_FACTOR * announced.limit * limit_scenes.WINDOW_SECONDS
        if peak > allowed + limit_scenes.LIMIT_SLACK:
            span = f"from {announced.began:.2f} to {announced.ended:.2f}"
            text = f"got {peak} requests in 4 s with a limit of {announced.limit} a second"
            problems.append(f"{announced.target_id}: {text}, {span}")
    return problems


def _check_backoffs(seen: Observations) -> list[str]:
    """Check what reached a target during each back-off from the entry that it had rejected."""
    entries = {call.request_id: call.entry for call in seen.calls}
    problems = []
    for target_id, rejected in seen.rejected.items():
        ran = [(run.began, run.request_id) for run in seen.ran.get(target_id, [])]
        arrivals = ran + [(item.at, item.request_id) for item in rejected]
        for rejection in rejected:
            entry = entries.get(rejection.request_id, "")
            since = rejection.rejected_at + IN_FLIGHT_SECONDS
            found = [
                at
                for at, request_id in arrivals
                if since < at < rejection.rejected_at + rejection.backoff
                and entries.get(request_id) == entry
                and not is_excused(seen, entry, at)
                and not was_delayed(seen, target_id, at)
            ]
            if len(found) > MAX_REQUESTS_IN_BACKOFF:
                text = f"asked {entry} for {rejection.backoff} s of back-off"
                at = f"at {rejection.rejected_at:.2f}"
                problems.append(f"{target_id}: {text} {at}, got {len(found)} requests")
    return problems


def _check_announced_leaving(seen: Observations, drain_seconds: float) -> list[str]:
    """Check for requests sent after a response had told the entry that the target leaves."""
    calls = {call.request_id: call for call in seen.calls}
    problems = []
    for leaving in seen.announced_in_responses:
        announced_times: dict[str, float] = {}
        for run in sorted(seen.ran.get(leaving.target_id, []), key=lambda run: run.began):
            call = calls.get(run.request_id)
            if call is None or run.began < leaving.acknowledged_at:
                continue
            announced_at = announced_times.get(call.entry)
            is_late = announced_at is not None and call.sent_at > announced_at + drain_seconds
            if is_late and not is_excused(seen, call.entry, run.began):
                text = f"got a request of {call.entry} sent at {call.sent_at:.2f}"
                problems.append(f"{leaving.target_id}: {text}, leaving since {announced_at:.2f}")
            if run.ended == "whole" and call.response.status == 200 and call.response.is_whole:
                announced_times.setdefault(call.entry, call.ended_at)
    return problems


def is_excused(seen: Observations, entry: str, at: float) -> bool:
    """Whether an entry was paused or has exited shortly before."""
    since = at - LIMIT_EFFECT_SECONDS
    paused = any(begin < at and end > since for begin, end in seen.entries_paused.get(entry, []))
    return paused or any(since < ended < at for ended in seen.entries_ended.get(entry, []))


def was_delayed(seen: Observations, target_id: str, at: float) -> bool:
    """Whether a link fault may have delayed requests to a target so that they arrive together."""
    since = at - LIMIT_EFFECT_SECONDS
    return any(
        begin < at and end > since for begin, end in seen.link_fault_spans.get(target_id, [])
    )


def _check_configuration(seen: Observations) -> list[str]:
    problems = []
    for (daemon, start), versions in seen.in_force.items():
        for former, later in itertools.pairwise(versions):
            if later < former:
                problems.append(f"{daemon}, start {start}: went back from {former} to {later}")
    newest = max(seen.acknowledged, default=0)
    found = [version for version in seen.read_back.values() if version is not None]
    if not found:
        problems.append("no keeper returned a configuration at the end")
    for keeper, version in seen.read_back.items():
        if version is not None and version < newest:
            problems.append(f"{keeper}: returned version {version}, {newest} was acknowledged")
        if version is not None and version not in seen.sent:
            problems.append(f"{keeper}: returned version {version}, which was never sent")
    return problems
