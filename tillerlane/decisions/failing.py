"""Decides how targets that fail requests are avoided, and which request tries them again.

The load is some 30 requests a second at 27 entries, most of which may run only once.  A runner that
resets every request looks idle, so that each entry sends it work: one such runner, with good
health, cost 15 long runs within a day while the entries found out one by one.  A caller needs its
request to go to a target that has not just failed another entry's request, without losing targets
that are sound: a single reset may be a fault of the network, or of the request.

Variants of the trial after a back-off were compared with 27 entries, 16 once-only requests a second
and one of 12 runners that resets everything for 20 s (`gateway/failures/tests/test_reset_scale.py`,
one seed).  Lost requests: 21 if entries don't tell each other, 4 if any request may try the runner
as soon as its back-off has passed, 3 with the delays below, 2 with 10 s also after a first failure,
by which a sound runner with one reset of its network would stay unused for 11 s.
"""

import enum

__all__ = [
    "MAX_BACKOFF_SECONDS",
    "Standing",
    "compute_backoff_seconds",
    "find_standing",
    "is_pool_wide",
    "should_report",
]

MIN_BACKOFF_SECONDS = 1.0
"""How long a target is avoided after a first failure: the heartbeat interval, after which its
keepers know more."""
MAX_BACKOFF_SECONDS = 5.0
"""Longest back-off: where memory is scarce, a sound runner that stays idle for a second costs as
much as one lost request."""
MAX_REPORTED_SHARE = 0.5
"""Share of a pool's targets that may be ranked down on the word of other entries."""
STAGGER_SECONDS = 0.3
"""Time over which the entries start to try a target again, so that the first one's trial is known
to the others, some 10 ms later, before they send theirs."""
FIRST_ONCE_ONLY_DELAY_SECONDS = 1.0
ONCE_ONLY_DELAY_SECONDS = 10.0
"""How much later a request whose loss can't be made good tries a target again, as long as other
targets have free capacity: after a first failure, which is often a fault of the network, and after
a further one.  Requests that can be repeated come first, and a runner that resets everything for
20 s costs three requests where there are none of these."""


class Standing(enum.IntEnum):
    """How a target ranks for a request."""

    CLEAR = 0
    LAST_RESORT = 1
    """Used only if no other target has free capacity."""
    AVOIDED = 2
    """Used only if all targets are avoided."""


def compute_backoff_seconds(former_seconds: float) -> float:
    """Return how long to avoid a target after a failure, given the former back-off (0 for none)."""
    return min(MAX_BACKOFF_SECONDS, max(MIN_BACKOFF_SECONDS, 2 * former_seconds))


def is_pool_wide(failing: int, targets: int) -> bool:
    """Whether so many of a pool's targets fail that the fault is probably not the targets' own.

    The entries or their network are then more likely at fault, and so many targets could not be
    spared anyway.
    """
    return failing > targets * MAX_REPORTED_SHARE


def should_report(own_failing: int, targets: int, *, has_failed_others: bool) -> bool:
    """Whether an entry reports a target's failure to the others.

    Parameters
    ----------
    own_failing, targets : int
        Targets of the pool that this entry has seen failing, this one included, and all of them.
    has_failed_others : bool
        Whether the same request has ended or been broken off by another target: the fault is then
        probably the request's, and would follow it to every target.
    """
    return not has_failed_others and not is_pool_wide(own_failing, targets)


def find_standing(
    now: float, until: float, backoff_seconds: float, fraction: float, *, is_repeatable: bool
) -> Standing:
    """Return how a target ranks that has failed and not served a request since.

    Parameters
    ----------
    now, until : float
        The time, and the end of the back-off or of a trial in progress.
    backoff_seconds : float
        The latest back-off: above `MIN_BACKOFF_SECONDS` after several failures.
    fraction : float
        Uniformly distributed from 0 to 1 over entries and targets; spreads the entries' trials.
    is_repeatable : bool
        Whether another target can serve the request if this one fails it.
    """
    waited = now - until - fraction * STAGGER_SECONDS
    if waited < 0:
        return Standing.AVOIDED
    is_first = backoff_seconds <= MIN_BACKOFF_SECONDS
    delay = FIRST_ONCE_ONLY_DELAY_SECONDS if is_first else ONCE_ONLY_DELAY_SECONDS
    if is_repeatable or waited >= delay:
        return Standing.CLEAR
    return Standing.LAST_RESORT
