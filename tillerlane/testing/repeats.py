"""Checks what reached targets against the bounds on repeated sends (rule BUDGET of the platform).

Three bounds hold: on all repeats that a pool gets within a window, on the targets that run one
request, and on the time that targets are given.
"""

import bisect
import collections
import dataclasses
import math
from collections.abc import Iterable
from typing import Any

from tillerlane.gateway import budget as budgets
from tillerlane.testing import gateway_lab, platform_checker, platform_runner

__all__ = ["Arrival", "check", "find_excess", "list_arrivals"]

MAX_REQUESTS_ABOVE_ATTEMPTS = 3
"""Requests that may have run on more targets than their routes allow."""
DEADLINE_TOLERANCE_SECONDS = 0.5
"""Difference between deadlines, and age of a request from which a repeat of it counts as late."""
MAX_EXCESSIVE_DEADLINES = 20
MAX_EXCESSIVE_SHARE = 0.2
"""Share of the arrivals with too much time, and of all late repeats, that may have too much."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a target.

    Attributes
    ----------
    at : float
        Event-loop time.
    is_resumed : bool
        Whether a run was resumed from its memory, which counts as the same run.
    seconds_left : float or None
        Time after which the target stops working on it; None if it was told none.
    """

    request_id: str
    target_id: str
    at: float
    has_run: bool
    is_resumed: bool
    seconds_left: float | None


def list_arrivals(seen: platform_checker.Observations) -> list[Arrival]:
    """List all arrivals at targets, in order."""
    found = [
        Arrival(run.request_id, target_id, run.began, True, run.is_resumed, _get_seconds_left(run))
        for target_id, ran in seen.ran.items()
        for run in ran
    ]
    found += [
        Arrival(item.request_id, target_id, item.at, False, False, None)
        for target_id, rejected in seen.rejected.items()
        for item in rejected
    ]
    return sorted(found, key=lambda arrival: arrival.at)


def _get_seconds_left(run: platform_runner.RanRequest) -> float | None:
    milliseconds = run.headers.get("deadline-ms")
    return float(milliseconds) / 1000 if milliseconds is not None else None


def find_excess(
    sent_at: list[float], arrivals: Iterable[Arrival], bounds: budgets.RetryBounds
) -> tuple[float, int, float] | None:
    """Find the first window with too many repeats.

    Parameters
    ----------
    sent_at : list of float
        When callers sent requests for the pool, in order, whether they arrived or not.
    arrivals : iterable of Arrival
        Arrivals at the pool, in order.
    bounds : budgets.RetryBounds
        What is allowed.

    Returns
    -------
    tuple or None
        End of the window, repeats in it, and how many were allowed.
    """

    def count(since: float, until: float) -> int:
        return bisect.bisect_right(sent_at, until) - bisect.bisect_right(sent_at, since)

    known: set[str] = set()
    repeats: collections.deque[float] = collections.deque()
    length = bounds.window_seconds
    for arrival in arrivals:
        if arrival.request_id not in known:
            known.add(arrival.request_id)
            continue
        if arrival.is_resumed:
            continue
        now = arrival.at
        repeats.append(now)
        while repeats[0] <= now - length:
            repeats.popleft()
        requests = max(count(now - back - length, now - back) for back in (0, length / 2, length))
        allowed = bounds.ratio * requests + bounds.allowance
        if len(repeats) > allowed:
            return now, len(repeats), allowed
    return None


def check(seen: platform_checker.Observations, bounds: budgets.RetryBounds) -> list[str]:
    """Describe every broken bound; empty if there is none."""
    document = gateway_lab.build_document(1)
    routes = {item["name"]: item for item in document["routes"]}
    calls = {call.request_id: call for call in seen.calls}
    arrivals = [item for item in list_arrivals(seen) if item.request_id in calls]
    problems = []
    for pool in sorted({item["service"] for item in routes.values()}):
        names = {name for name, item in routes.items() if item["service"] == pool}
        sent_at = sorted(call.sent_at for call in seen.calls if call.route in names)
        at_pool = [item for item in arrivals if calls[item.request_id].route in names]
        excess = find_excess(sent_at, at_pool, bounds)
        if excess is not None:
            at, number, allowed = excess
            text = f"{number} repeats in {bounds.window_seconds} s until {at:.2f}"
            problems.append(f"{pool}: got {text}, {allowed:.1f} are allowed")
    return problems + _check_attempts(seen, calls, routes) + _check_deadlines(seen, calls, arrivals)


def _check_attempts(
    seen: platform_checker.Observations,
    calls: dict[str, platform_checker.Call],
    routes: dict[str, dict[str, Any]],
) -> list[str]:
    """Check on how many targets each request ran; those that crashed are not counted."""
    targets: dict[str, set[str]] = collections.defaultdict(set)
    for target_id, ran in seen.ran.items():
        for run in ran:
            is_cut_off = any(
                begin < run.ended_at and end > run.began
                for begin, end in seen.link_fault_spans.get(target_id, [])
            )
            is_counted = run.ended != "crashed" and not is_cut_off and not run.is_resumed
            if run.request_id in calls and is_counted:
                targets[run.request_id].add(target_id)
    above = [
        name
        for name, found in targets.items()
        if len(found) > routes[calls[name].route]["max_attempts"]
    ]
    if len(above) <= MAX_REQUESTS_ABOVE_ATTEMPTS:
        return []
    return [f"{len(above)} requests ran on more targets than allowed: {', '.join(above[:10])}"]


def _check_deadlines(
    seen: platform_checker.Observations,
    calls: dict[str, platform_checker.Call],
    arrivals: list[Arrival],
) -> list[str]:
    """Check the time that targets were given, against the time that callers wait."""
    excessive: list[str] = []
    late_repeats = 0
    by_request: dict[str, list[Arrival]] = collections.defaultdict(list)
    for arrival in arrivals:
        entry = calls[arrival.request_id].entry
        is_in_touch = not platform_checker.is_excused(seen, entry, arrival.at)
        was_delayed = platform_checker.was_delayed(seen, arrival.target_id, arrival.at)
        if arrival.has_run and is_in_touch and not was_delayed:
            by_request[arrival.request_id].append(arrival)
    for name, found in by_request.items():
        wait_seconds = calls[name].wait_seconds
        end = calls[name].sent_at + wait_seconds
        if found[0].seconds_left is not None:
            end = max(end, found[0].at + found[0].seconds_left)
        for item in found:
            is_late_repeat = item.at > found[0].at + DEADLINE_TOLERANCE_SECONDS
            late_repeats += is_late_repeat
            left = math.inf if item.seconds_left is None else item.seconds_left
            is_too_long = left > wait_seconds + DEADLINE_TOLERANCE_SECONDS
            ends_late = is_late_repeat and item.at + left > end + DEADLINE_TOLERANCE_SECONDS
            if is_too_long or ends_late:
                excessive.append(name)
    allowed = max(MAX_EXCESSIVE_DEADLINES, MAX_EXCESSIVE_SHARE * (len(excessive) + late_repeats))
    if len(excessive) <= allowed:
        return []
    names = ", ".join(excessive[:10])
    return [f"{len(excessive)} arrivals had more time than was left: {names}"]
