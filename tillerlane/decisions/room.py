"""Decides whether a request goes on waiting for memory, from a forecast of when there is some.

The load is more long and short generations than the pool's memory holds.  Callers of refused
requests retry once.  A request that is refused early and served in time at its retry earns half of
its value or more, a late one next to nothing.  So a request that can't be in time is refused early,
and one that may still be in time waits.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable

from tillerlane.decisions import ordering, returns

__all__ = [
    "DEFAULT_RETRY_SECONDS",
    "Decision",
    "Forecast",
    "can_wait",
    "compute_part",
    "compute_retry_after",
    "compute_turn",
    "decide",
]

MIN_OBJECTIVE_SECONDS = 3.0
"""Shortest objective of a request that can wait for memory and still be in time: a full pool stays
full for seconds, since a long run takes some 8 s and a runner that left is replaced after 4 s."""
EARLY_SHARE = 0.25
"""Share of the objective within which a refusal leaves the caller's retry enough time to count."""
FORECAST_FACTOR = 1.25
"""Factor by which the forecast must exceed the time left for an early refusal.  A refused request
that retries earns half of its value in most cases, so that a refusal pays only where the request
would be late with a probability above two thirds."""
LATE_DEADLINE_SHARE = 0.5
"""Share of the time to its deadline that a request whose late answer has value waits at most; the
rest is for the run itself."""
DEFAULT_RETRY_SECONDS = 3.0
"""Retry delay without a forecast: a full pool stays full for seconds, since a long run takes some
8 s and a runner that left is replaced after 4 s."""
MIN_RETRY_SECONDS = 0.1
"""A pool whose memory a request has just waited for in vain has none at once."""


class Decision(enum.Enum):
    """Whether a request waits on."""

    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """What the time until memory is free for a request is estimated from.

    Attributes
    ----------
    free_tokens : float
        Free memory at runners that have enough of it for the request.
    ahead_tokens : float
        Memory of the requests that wait ahead of it, at all entries.
    freed_tokens_per_second : float or None
        Rate at which the pool's memory is freed; None until it has been measured.
    """

    free_tokens: float
    ahead_tokens: float
    freed_tokens_per_second: float | None

    def estimate_seconds(self, tokens: int) -> float | None:
        """Estimate the seconds until so many tokens are free; None if unknown."""
        if self.freed_tokens_per_second is None:
            return None
        missing = max(0.0, self.ahead_tokens + tokens - self.free_tokens)
        return missing / max(1.0, self.freed_tokens_per_second)


def can_wait(objectives: Iterable[float]) -> bool:
    """Whether any of the objectives of a pool's routes, in seconds, leaves time to wait for memory.

    Where none does, a queue holds requests that are late in the end: on a day with little memory
    and objectives of 1.5 and 1.8 s, long runs earned 0.49 of their value with a queue.
    """
    return any(seconds >= MIN_OBJECTIVE_SECONDS for seconds in objectives)


def compute_part(
    free_tokens: float,
    own_tokens: float,
    wanted_tokens: float,
    seconds: float,
    report_age_seconds: float,
) -> float:
    """Return how many of some free tokens one of several entries that want them may take now.

    All entries see freed memory at the same time, and each other's sends only one report later.  On
    a loaded day nine entries sent 30,000 tokens within 18 ms to a runner with 10,000 free, and
    first events came after 3 to 10 s.  Where all of it is wanted, each entry therefore takes its
    part, spread over the age of a report, so that together they take what is free.

    Parameters
    ----------
    free_tokens : float
        Free memory.
    own_tokens, wanted_tokens : float
        Memory that is wanted by this entry's requests, and by those of all entries.
    seconds : float
        Time since this entry was last offered a part.
    report_age_seconds : float
        Time after which an entry knows what others have sent.

    Returns
    -------
    float
        Tokens; infinite where there is enough for all, or no other entry wants any.
    """
    if wanted_tokens <= max(free_tokens, own_tokens):
        return math.inf
    turn = compute_turn(own_tokens, wanted_tokens, seconds, report_age_seconds)
    return max(0.0, free_tokens) * turn


def compute_turn(
    own_tokens: float, wanted_tokens: float, seconds: float, report_age_seconds: float
) -> float:
    """Return the probability that it is now one entry's turn among those that want memory.

    Within the age of a report it is the turn of one entry on average, by what each wants.
    Parameters are those of `compute_part`.
    """
    if wanted_tokens <= own_tokens:
        return 1.0
    return own_tokens / wanted_tokens * min(1.0, seconds / max(1e-3, report_age_seconds))


def decide(
    item: ordering.Waiting,
    now: float,
    forecast_seconds: float | None,
    read_tokens_per_second: float,
) -> Decision:
    """Decide whether a request that finds no free memory waits on.

    Parameters
    ----------
    item : ordering.Waiting
        The request.
    now : float
        Time of the event loop.
    forecast_seconds : float or None
        Seconds until there is memory for it; None if unknown.
    read_tokens_per_second : float
        Rate at which a busy runner prefills.
    """
    seconds_left = ordering.compute_latest_start(item, read_tokens_per_second) - now
    if seconds_left >= 0:
        is_early = now - item.arrived <= EARLY_SHARE * item.objective_seconds
        if not is_early or forecast_seconds is None:
            return Decision.WAIT
        can_be_in_time = forecast_seconds <= seconds_left * FORECAST_FACTOR
        return Decision.WAIT if can_be_in_time else Decision.REFUSE
    used = now - item.arrived
    has_time = used < LATE_DEADLINE_SHARE * (item.deadline - item.arrived)
    return Decision.WAIT if item.is_long and has_time else Decision.REFUSE


def compute_retry_after(
    item: ordering.Waiting, now: float, forecast_seconds: float | None
) -> float:
    """Return the seconds after which a refused caller may retry: the forecast, bounded."""
    seconds = DEFAULT_RETRY_SECONDS if forecast_seconds is None else forecast_seconds
    remaining = max(0.0, item.deadline - now)
    return min(max(MIN_RETRY_SECONDS, seconds), remaining * returns.MAX_DELAY_SHARE)
