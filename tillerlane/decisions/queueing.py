"""Decides where a request waits: at its entry, or in a runner's own queue.

Prompts arrive in bursts of up to the prefill capacity of all runners together, while each runner
processes its prompts one after another.  A request in a runner's queue is bound to that runner: it
can't move when another runner is free first, and it is lost when its own runner leaves.  A request
that waits at its entry goes to whichever runner is ready for it, so that the entries together hold
one queue for all runners.
"""

from tillerlane.decisions import placing

__all__ = ["RUNNER_RANK", "can_start"]

RUNNER_RANK = 5
"""Rank at a runner of all runs whose workspace sets none.

A runner prefills more urgent prompts first.  Where memory is short it preempts less urgent runs for
them in the middle of their answers, and a long run then pauses until its whole context has been
prefilled again.  In the simulation described at `LONG_PREFILL_SHARE`, at 0.8 of the prefill
capacity, the routes' own ranks (short ones first) give 0.989 of the short requests in time and
0.899 of the long ones unbroken, and a common rank gives 0.988 and 0.982; at 0.95 it is 0.846 and
0.611 against 0.805 and 0.824.
"""

LONG_PREFILL_SHARE = 0.63
SHORT_PREFILL_SHARE = 0.48
"""Share of the first-piece objective that a runner's queued prefill, the new prompt included, may
take, for long and for short runs.  A prompt is then in time even at a runner half as slow again,
and no runner idles while the next prompt is on its way.

In a simulation of 15 runners with memory for six long runs each, a third of them slow, at 0.8 and
0.95 of the prefill capacity (`tillerlane.testing.engine_play`, three seeds), the shares of short
requests with the first piece in time and of long runs in time and unbroken are: if all are sent at
once, 0.962 and 0.941, 0.782 and 0.727; with 0.57 and 0.48 of the objectives (6,000 tokens), 0.976
and 0.973, 0.808 and 0.749; with these shares (5,000 and 8,000 tokens), 0.980 and 0.985, 0.814 and
0.817; the other way round (8,000 and 5,000), 0.977 and 0.949, 0.830 and 0.642.
"""


def can_start(
    unread: int,
    prompt_tokens: int,
    objective_seconds: float,
    *,
    is_long: bool,
    rate: float = placing.PREFILL_TOKENS_PER_SECOND,
) -> bool:
    """Whether a prompt may be sent now to a runner with this much queued prefill.

    Parameters
    ----------
    unread : int
        Prompt tokens that wait for prefill at the runner.
    prompt_tokens : int
        Tokens of the new prompt; a prompt of any size may start at a runner with an empty queue.
    objective_seconds : float
        Time from the request within which the first piece is due; 0 if unknown.
    is_long : bool
        Whether the run holds memory for long and can't be repeated.
    rate : float
        Prompt tokens that the runner processes in a second.
    """
    if unread <= 0 or objective_seconds <= 0:
        return True
    share = LONG_PREFILL_SHARE if is_long else SHORT_PREFILL_SHARE
    return unread + prompt_tokens <= share * objective_seconds * rate
