"""Rushes of the soak: most new connections go to one entry, and callers open more than usual."""

import dataclasses
from collections.abc import Iterable

from tillerlane.testing import platform_checker

__all__ = ["Rush", "check"]

REACTION_SECONDS = 3.0
"""Time from the begin of a rush until it counts."""
MIN_CALLS = 20
MIN_SHARE = 0.75
"""Share of the calls served before that must be served during a rush, at their first attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rush:
    """A rush between two event-loop times."""

    entry: str
    began: float
    ended: float


def check(seen: platform_checker.Observations, rushes: Iterable[Rush]) -> list[str]:
    """Return a description of each rush during which too few calls were served.

    Only where nothing but planned work was done: a fault may end more calls than a rush.
    """
    if not seen.planned_only:
        return []
    problems = []
    for rush in rushes:
        seconds = rush.ended - rush.began
        before = _list_served(seen, rush.began - seconds, rush.began)
        during = _list_served(seen, rush.began + REACTION_SECONDS, rush.ended, rush.entry)
        if min(len(before), len(during)) < MIN_CALLS:
            continue
        share_before, share = sum(before) / len(before), sum(during) / len(during)
        if share < MIN_SHARE * share_before:
            text = f"{share:.2f} of the calls served, {share_before:.2f} before"
            problems.append(f"rush to {rush.entry}: {text}")
    return problems


def _list_served(
    seen: platform_checker.Observations, since: float, until: float, entry: str = ""
) -> list[bool]:
    """Whether each call of a span was served, of one entry or all.

    Calls with a key that was revoked, whose callers left, or that were closed unread do not count.
    """
    return [
        call.response.status == 200 and call.response.is_whole
        for call in seen.calls
        if since <= call.sent_at < until
        and entry in ("", call.entry)
        and call.key not in seen.revoked
        and not call.has_left
        and not call.resumes
        and call.response.status
    ]
