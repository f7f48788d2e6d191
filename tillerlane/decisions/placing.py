"""Which of a pool's runners a request goes to: how many are looked at, and what each one costs.

The load that it answers: hundreds of entries send short and long generations to runners that they
share, that read prompts between the tokens of what runs there, and that run at different speeds.

What an entry knows of a runner is some tenths of a second old.  If all took the runner that looks
best, prompts would queue there while others are idle; so each looks at a few, drawn by lot, the
fewer the more prompts it has not heard of (`count_candidates`).

A long run feels its runner's speed for seconds, a short one hardly, so long runs are worth most on
fast runners (`estimate_cost`).  Nothing is split beforehand: as the fast ones fill, what waits
and runs there outweighs their speed, and a full pool is used whole.  A cost is in seconds of
waiting.
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
]

PREFILL_TOKENS_PER_SECOND = 7_000
"""Prompt tokens that a runner reads in a second beside what it writes: seen to be some 7 a
millisecond, half of what a runner does that only reads."""
PRIOR_EVENTS = 20
"""Events seen of a runner that count as much as the mean of its pool: as many as one run of some
length writes in a second, after which its own pace is known to a tenth."""
MIN_CANDIDATES = 2
"""With two, the longest queue is already far shorter than with one drawn blindly."""
SAMPLING_FACTOR = 1.2
"""Runners are drawn so that, of the prompts not heard of, 1 / 1.2 are expected to have met the same
best runner.  Played with 30 runners, memory for all, and 49 prompts a second, six seeds:
first pieces of short answers in time 0.90 with lots among all that one prompt more would make no
worse, 0.97 with 1.0 and 1.4; with 27 a second 0.98 with 1.0, 0.99 with 1.4, but long runs take 2 in
100 longer with 1.4."""
DEFAULT_EVENT_SECONDS = 0.04
"""Pace of a pool of which nothing was seen yet; only differences between runners count."""


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a request asks of a runner.

    Attributes
    ----------
    memory_tokens : int
        Memory that it is counted with.
    prompt_tokens : int
        Prompt that has to be read; 0 for a run that comes with its memory.
    events : float
        Events that it is expected to write yet.
    """

    memory_tokens: int
    prompt_tokens: int = 0
    events: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateLoad:
    """What is under way at a runner, and what it has room for.

    Attributes
    ----------
    requests, slots : int
        Requests that it has, and that it runs at once.
    tokens, memory_tokens : int
        Memory used, and all of it.
    unread : int
        Prompt tokens that wait to be read.
    event_seconds : float
        Time from one event of a run to the next.
    """

    requests: int
    slots: int
    tokens: int
    memory_tokens: int
    unread: int
    event_seconds: float


def count_candidates(targets: int, unreported: float) -> int:
    """How many of so many targets to look at, with so many requests not heard of."""
    wished = round(targets / max(1.0, SAMPLING_FACTOR * unreported))
    return min(targets, max(MIN_CANDIDATES, wished))


def compute_pool_event_seconds(seen: Iterable[tuple[int, int]]) -> float:
    """Seconds an event over all runners of a pool, from (events, milliseconds) of each."""
    events = milliseconds = 0
    for number, took_ms in seen:
        events += number
        milliseconds += took_ms
    return milliseconds / events / 1000 if events > 0 else DEFAULT_EVENT_SECONDS


def estimate_event_seconds(events: int, event_ms: int, pool_event_seconds: float) -> float:
    """Seconds an event at one runner; the less was seen of it, the nearer to the pool's."""
    return (event_ms / 1000 + PRIOR_EVENTS * pool_event_seconds) / (events + PRIOR_EVENTS)


def estimate_cost(work: Work, load: CandidateLoad, pool_event_seconds: float) -> float:
    """Seconds that a caller waits more if this runner gets the work; only differences count.

    They are the prompts that are read before its own, and the time that its run takes beside the
    pool's mean.  Runs and memory count by their share, which spreads runs evenly and keeps room for
    what grows.

    Played with 30 runners, a third of them 1.3 times as slow, and 27 prompts a second
    (`tillerlane.testing.engine_play`, six seeds): an event of a long run takes 36.9 ms where all
    count alike and 34.4 ms with their pace.  Two further terms gained nothing and are left out:
    what a prompt's reading costs the runs beside it (34.3 in place of 34.6 ms, and with 49 prompts
    a second 0.87 in place of 0.92 of short requests' first pieces in time), and a cost of memory
    that rises faster as memory fills (up to 0.1 fewer of these with 35 prompts a second).
    """
    slowness = load.event_seconds / pool_event_seconds
    crowding = load.requests / max(1, load.slots)
    memory = (load.tokens + work.memory_tokens) / max(1, load.memory_tokens)
    waiting = (load.unread + work.prompt_tokens) / PREFILL_TOKENS_PER_SECOND * slowness
    running = work.events * (load.event_seconds - pool_event_seconds)
    return crowding + memory + waiting + running
