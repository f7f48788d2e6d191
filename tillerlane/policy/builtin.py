"""The built-in rules, in force where a policy leaves an expression out or it fails."""

__all__ = [
    "ADMIT_RISK",
    "HEADROOM",
    "may_wait",
    "place",
    "rank",
    "sacrifice",
]

ADMIT_RISK = 0.02
"""Accepted chance that the batch outgrows memory."""
HEADROOM = 0.1
"""Share of memory and batch kept for urgent work."""
_RANK_A_SECOND = 0.5
"""Rank gained by each second of waiting: age lifts a request past any priority."""
_RANK_A_LEAD_TOKEN = 0.01
"""Rank lost for each token by which the workspace leads."""
_RANK_OF_PAUSED = 1_000.0
"""A generation that was set aside goes on before new work starts."""
_HALL_PENALTY_SECONDS = 0.02
_PREFIX_GAIN_SECONDS = 0.2


def rank(*, priority: float, waited_s: float, workspace_lead: float, times_paused: float) -> float:
    """Priority, age without limit, and the lag of the workspace; paused ones first."""
    paused = _RANK_OF_PAUSED if times_paused else 0.0
    return priority + _RANK_A_SECOND * waited_s - _RANK_A_LEAD_TOKEN * workspace_lead + paused


def may_wait(*, estimated_wait_s: float, deadline_left_s: float) -> bool:
    """A request waits if it can still start before its deadline."""
    return estimated_wait_s < deadline_left_s


def sacrifice(
    *, priority: float, written_tokens: float, expected_left_tokens: float, memory_tokens: float
) -> float:
    """Little lost, much freed, far from the end, low priority."""
    lost = memory_tokens + written_tokens
    gained = memory_tokens + expected_left_tokens
    return (101.0 - priority) * gained / (lost + 1.0)


def place(
    *, estimated_wait_s: float, memory_free_share: float, prefix_hit: float, same_hall: bool
) -> float:
    """Short wait, free memory, a cached prefix, and the same data hall."""
    hall = 0.0 if same_hall else _HALL_PENALTY_SECONDS
    return memory_free_share + _PREFIX_GAIN_SECONDS * prefix_hit - estimated_wait_s - hall
