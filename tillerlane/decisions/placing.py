"""Selects the runner of a pool that gets a request: how many candidates, and the cost of each.

The load is hundreds of entries that send short and long generations to shared runners.  Runners
interleave prefill with the tokens of the runs in progress, and run at different speeds.

An entry's knowledge of a runner is some tenths of a second old.  If all entries chose the runner
that looks best, prompts would queue there while other runners are idle.  Each entry therefore
compares a few randomly sampled runners, fewer the more requests it has no report of
(`count_candidates`).

Long runs depend on their runner's speed for seconds and short ones hardly do, so that long runs
gain most from fast runners (`estimate_cost`).  There is no fixed division of the pool: as the fast
runners fill up, the work queued and running there outweighs their speed, so that a full pool is
used completely.  Costs are in seconds of waiting.
"""

import dataclasses
from collections.abc import Iterable

__all__ = [
    "CandidateLoad",
    "Work",
    "compute_pool_event_seconds",
    "count_candidates",
    "estimate_cost",
    "estimate_event_seconds",
    "estimate_hidden_tokens",
]

PREFILL_TOKENS_PER_SECOND = 7_000
"""Prompt tokens per second that a runner processes while it decodes: about 7 per millisecond, half
the rate of a runner that does nothing else."""
PRIOR_EVENTS = 20
"""Weight of the pool's mean event time, as a number of events of the runner itself.  A run of some
length writes that many in one second; a runner's own event time is then known to a tenth."""
MIN_CANDIDATES = 2
"""With two candidates the longest queue is already far shorter than with a single random choice."""
SAMPLING_FACTOR = 1.2
"""The number of candidates is chosen so that 1 / 1.2 of the unreported prompts are expected to have
been compared with the same best runner.  In a simulation of 30 runners with memory for all and 49
prompts per second (six seeds), the share of short requests whose first piece is in time is 0.90
when sampling among all runners that one more prompt would not slow down, and 0.97 with factors 1.0
and 1.4.  With 27 prompts per second it is 0.98 with 1.0 and 0.99 with 1.4, but long runs take 2 in
100 longer with 1.4."""
PAUSE_COST_SECONDS = 4.0
"""Cost of a pause that is certain, in seconds of waiting: a run with such a pause counts as late as
a whole, so any queue that still meets the objective (at most 4.0 s) is better."""
SLOWDOWN_COST_SECONDS = 1.5
"""Cost of a runner in a transient slowdown, which lasts for half a second more on average.  It must
stay below the cost of a pause: a long run is better off on a fast runner that is slow for a moment
than on a slow one."""
DEFAULT_EVENT_SECONDS = 0.04
"""Event time of a pool without observations; only differences between runners matter."""


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Work of a request at a runner.

    Attributes
    ----------
    memory_tokens : int
        Memory that the request is accounted with.
    prompt_tokens : int
        Prompt to prefill; 0 for a run that arrives with its memory.
    events : float
        Expected number of events still to be written.
    pause_objective_seconds : float
        Longest pause between events that meets the route's objective; 0 for no objective.
    is_repeatable : bool
        Whether another runner can serve the request if this one fails it.
    """

    memory_tokens: int
    prompt_tokens: int = 0
    events: float = 0.0
    pause_objective_seconds: float = 0.0
    is_repeatable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateLoad:
    """Load and capacity of a runner.

    Attributes
    ----------
    requests, slots : int
        Requests at the runner, and how many it can run at once.
    tokens, memory_tokens : int
        Memory in use, and its total.
    unread : int
        Prompt tokens that wait for prefill.
    event_seconds : float
        Time between two events of a run.
    read_seconds_per_token : float
        Time to prefill a prompt token; 0 if unknown.
    pause_risk : float
        Probability that the work pauses for longer than its objective allows there.
    """

    requests: int
    slots: int
    tokens: int
    memory_tokens: int
    unread: int
    event_seconds: float
    read_seconds_per_token: float = 0.0
    pause_risk: float = 0.0


def count_candidates(targets: int, unreported: float) -> int:
    """Return how many targets to compare, given the expected number of unreported requests."""
    desired = round(targets / max(1.0, SAMPLING_FACTOR * unreported))
    return min(targets, max(MIN_CANDIDATES, desired))


def estimate_hidden_tokens(
    prompt_tokens: int, candidates: int, targets: int, unreported: float
) -> int:
    """Estimate the prompt tokens that others have sent to the best candidate and not reported yet.

    They chose among as many candidates, and their prompts are taken to be of the same size.  At a
    slow runner a hidden prompt delays this one for longer, so that it counts where runners differ.
    """
    return round(prompt_tokens * unreported * candidates / max(1, targets))


def compute_pool_event_seconds(observed: Iterable[tuple[int, int]]) -> float:
    """Return the mean seconds per event of a pool, from (events, milliseconds) of each runner."""
    events = milliseconds = 0
    for number, took_ms in observed:
        events += number
        milliseconds += took_ms
    if events <= 0 or milliseconds <= 0:
        return DEFAULT_EVENT_SECONDS
    return milliseconds / events / 1000


def estimate_event_seconds(events: int, event_ms: int, pool_event_seconds: float) -> float:
    """Estimate the seconds per event of a runner, pulled to the pool's mean if observed little."""
    return (event_ms / 1000 + PRIOR_EVENTS * pool_event_seconds) / (events + PRIOR_EVENTS)


def estimate_cost(work: Work, load: CandidateLoad, pool_event_seconds: float) -> float:
    """Estimate the seconds that a caller waits if this runner gets the work.

    Only differences between runners matter.  The cost consists of the prefill queued before the
    work, its own prefill, the time that its events take above the pool's mean, and the risk that it
    pauses for too long.  Requests and memory are added as shares of the runner's capacity, which
    spreads runs evenly and keeps room for runs that grow.

    In a simulation of 30 runners, a third of them 1.3 times as slow, with 27 prompts per second
    (`tillerlane.testing.engine_play`, six seeds), an event of a long run takes 36.9 ms if event
    times are ignored and 34.4 ms if they count.  Two further terms were rejected because they
    brought no gain: the cost of a prefill for the runs beside it (34.3 instead of 34.6 ms, but with
    49 prompts per second only 0.87 instead of 0.92 of short requests' first pieces in time), and a
    memory cost that grows faster as memory fills (up to 0.1 fewer of these with 35 prompts per
    second).
    """
    slowness = load.event_seconds / pool_event_seconds
    crowding = load.requests / max(1, load.slots)
    memory = (load.tokens + work.memory_tokens) / max(1, load.memory_tokens)
    read_seconds = load.read_seconds_per_token or slowness / PREFILL_TOKENS_PER_SECOND
    waiting = (load.unread + work.prompt_tokens) * read_seconds
    running = work.events * (load.event_seconds - pool_event_seconds)
    return crowding + memory + waiting + running + PAUSE_COST_SECONDS * load.pause_risk
