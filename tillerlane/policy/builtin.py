"""The built-in rules, used where a policy omits an expression or its evaluation fails."""

__all__ = [
    "ADMIT_RISK",
    "HEADROOM",
    "may_wait",
    "place",
    "rank",
    "sacrifice",
]

ADMIT_RISK = 0.02
"""Accepted probability that the batch outgrows memory."""
HEADROOM = 0.1
"""Share of memory and batch reserved for urgent work."""
_RANK_PER_SECOND = 0.5
"""Rank gained per second of waiting, so that no request starves: age outweighs any priority."""
_RANK_PER_LEAD_TOKEN = 0.01
"""Rank lost per token by which the workspace leads."""
_PAUSED_RANK = 1_000.0
"""Rank added to paused generations, so that they resume before new work starts."""
_HALL_PENALTY_SECONDS = 0.02
_PREFIX_BONUS_SECONDS = 0.2


def rank(*, priority: float, waited_s: float, workspace_lead: float, times_paused: float) -> float:
    """Rank by priority, unbounded age and the lead of the workspace; paused generations first."""
    paused = _PAUSED_RANK if times_paused else 0.0
    return priority + _RANK_PER_SECOND * waited_s - _RANK_PER_LEAD_TOKEN * workspace_lead + paused


def may_wait(*, estimated_wait_s: float, deadline_left_s: float) -> bool:
    """Whether a request may wait: only if it is expected to start before its deadline."""
    return estimated_wait_s < deadline_left_s


def sacrifice(
    *, priority: float, written_tokens: float, expected_left_tokens: float, memory_tokens: float
) -> float:
    """Preemption score: high for little work lost, much memory freed, far end, low priority."""
    lost = memory_tokens + written_tokens
    gained = memory_tokens + expected_left_tokens
    return (101.0 - priority) * gained / (lost + 1.0)


def place(
    *, estimated_wait_s: float, memory_free_share: float, prefix_hit: float, same_hall: bool
) -> float:
    """Placement score: high for a short wait, free memory, a cached prefix, the same data hall."""
    hall = 0.0 if same_hall else _HALL_PENALTY_SECONDS
    return memory_free_share + _PREFIX_BONUS_SECONDS * prefix_hit - estimated_wait_s - hall
