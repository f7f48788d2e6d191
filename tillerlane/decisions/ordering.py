"""Order in which the requests that wait for a pool of model runners are offered free memory.

The load is hundreds of entries that send long and short generations to runners whose memory is
full.  Requests differ in the time by which their first event is due, in prompt length and in
priority.  If whichever request fits first is sent, small ones fill every gap, and the large ones
are delayed most: of short requests with 3,500 tokens and more 0.28 to 0.56 were late, of those
below 1,550 tokens 0.05.

The order is by latest start: the time at which a request must be sent for its first event to be in
time.  Long prompts take longer to prefill and are therefore sent earlier, and long runs, which hold
memory for seconds, go behind short ones of about the same time.  A request that can't be
in time any more would only make others late, and goes behind those that can.  Its rank is fixed
from then on, while that of later requests grows with their arrival, so that none starves.
"""

import dataclasses

__all__ = [
    "Waiting",
    "can_be_in_time",
    "compute_key",
    "compute_latest_start",
    "compute_priority_key",
]

MARGIN_SHARE = 0.2
"""Share of the objective that a request needs at a runner besides its own prefill: others' prompts
are queued there.  ``docs/design/queue.md`` compares shares of 0, 0.1, 0.2 and 0.3."""
LONG_DELAY_SECONDS = 3.0
"""How much later a long run is ranked than by its latest start.  It holds memory for 5 to 9 s and a
short one for half a second, so that a short one that goes first delays it little, while one that
has to wait for a long run is late."""
LATE_SECONDS = 10.0
"""How far behind a request goes that can't be in time: longer than callers of the shortest and of
the longest objective in use (1.5 to 4 s) are apart, so that any request that can still be in time
goes first, and shorter than half of the longest deadline (39 s), so that a late request is served
before that."""
MAX_DEBT_SECONDS = 5.0
"""How far behind a request of a workspace above its share goes at most: above the longest objective
in use, so that requests of workspaces within their share go first, and bounded, so that a workspace
in debt is not starved."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits for memory; times are those of the event loop.

    Attributes
    ----------
    arrived : float
        When it arrived.
    first_arrived : float
        When the caller's first attempt arrived, where that is known; otherwise `arrived`.
    objective_seconds : float
        Time from `arrived` within which the first event is due; 0 if unknown.
    deadline : float
        Time after which the caller does not wait for an answer.
    priority : int
        0 is the most urgent.
    prompt_tokens, memory_tokens : int
        Prompt to prefill, and memory that the request is counted with at its start.
    is_long : bool
        Whether the run writes for long, so that a late answer still has value.
    debt_tokens : float
        Tokens by which its workspace is above its share; 0 within it.
    """

    arrived: float
    first_arrived: float
    objective_seconds: float
    deadline: float
    priority: int
    prompt_tokens: int
    memory_tokens: int
    is_long: bool
    debt_tokens: float = 0.0


def compute_latest_start(item: Waiting, read_tokens_per_second: float) -> float:
    """Return the latest time of a send whose first event is in time; the deadline bounds it."""
    seconds = item.deadline - item.arrived
    if item.objective_seconds > 0:
        seconds = min(seconds, item.objective_seconds)
    prefill_seconds = item.prompt_tokens / read_tokens_per_second
    return item.arrived + seconds * (1 - MARGIN_SHARE) - prefill_seconds


def can_be_in_time(item: Waiting, now: float, read_tokens_per_second: float) -> bool:
    """Whether a request that is sent now still meets its objective, in most cases."""
    return now <= compute_latest_start(item, read_tokens_per_second)


def compute_key(
    item: Waiting, now: float, read_tokens_per_second: float
) -> tuple[float, int, float]:
    """Return the sort key of a request, the lowest first: its latest start, later for long runs.

    A request that returns after a refusal ranks by its first arrival.  Among requests with an equal
    latest start the more urgent goes first.

    In a simulation of 25 runners whose memory is short (``docs/design/queue.md``), it brings as
    much as `compute_priority_key` within what seeds differ by, and starves nothing.
    """
    latest_start = compute_latest_start(item, read_tokens_per_second)
    rank = latest_start - (item.arrived - item.first_arrived)
    rank += LONG_DELAY_SECONDS * item.is_long
    rank += min(MAX_DEBT_SECONDS, max(0.0, item.debt_tokens) / read_tokens_per_second)
    if not can_be_in_time(item, now, read_tokens_per_second):
        rank += LATE_SECONDS
    return rank, item.priority, item.arrived


def compute_priority_key(
    item: Waiting, now: float, read_tokens_per_second: float
) -> tuple[float, ...]:
    """Return the sort key of the rejected variant, priority first and then latest start.

    Less urgent requests starve while there are enough urgent ones, which only a bound on their wait
    (`LATE_SECONDS` after their latest start) ends.
    """
    key = compute_key(item, now, read_tokens_per_second)
    is_aged = now > compute_latest_start(item, read_tokens_per_second) + LATE_SECONDS
    return (-1 if is_aged else item.priority, *key)
