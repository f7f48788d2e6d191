"""Where a request waits: at its entry, or in a runner's own queue.

The load that it answers: prompts come in rushes, up to what all runners together can read, while
each runner reads one after another.  What waits in a runner's queue can't go elsewhere any more:
not when another runner is free first, and not when its own runner leaves, which takes it along.
What waits at its entry goes to whichever runner has read enough, so that the entries together hold
one queue for all runners.
"""

from tillerlane.decisions import placing

__all__ = ["RUNNER_RANK", "can_start"]

RUNNER_RANK = 5
"""Rank at a runner of all runs whose workspace has none of its own.

A runner reads more urgent prompts first and pushes less urgent runs aside for them, in the middle
of their answer, where memory is short: a long run then pauses for as long as all of it takes to be
read again.  With the routes' own ranks (short ones first) in the play that `LONG_PREFILL_SHARE`
names, at 0.8 of what runners can read 0.989 of the short requests come in time and 0.899 of the
long ones unbroken, with one rank 0.988 and 0.982; at 0.95 it is 0.846 and 0.611, and 0.805 and
0.824.
"""

LONG_PREFILL_SHARE = 0.63
SHORT_PREFILL_SHARE = 0.48
"""Share of the time within which a first piece is in time that a runner may take to read what it
has, the new prompt included, for long runs and for short ones: a prompt that is sent then comes in
time at a runner half as slow again, and no runner is idle while the next prompt is on its way.

Played with 15 runners, memory for six long runs each, a third of them slow, at 0.8 and 0.95 of what
they can read (`tillerlane.testing.engine_play`, three seeds), short requests' first pieces in time
and long runs in time and unbroken: all sent at once 0.962 and 0.941, 0.782 and 0.727; with 0.57
and 0.48 of the aims (6,000 tokens) 0.976 and 0.973, 0.808 and 0.749; with these shares (5,000 and
8,000 tokens) 0.980 and 0.985, 0.814 and 0.817; the other way round (8,000 and 5,000) 0.977 and
0.949, 0.830 and 0.642.
"""


def can_start(unread: int, prompt_tokens: int, objective_seconds: float, *, is_long: bool) -> bool:
    """Whether a runner that has so many prompt tokens to read may get a prompt now.

    Parameters
    ----------
    unread : int
        Prompt tokens that wait at the runner.
    prompt_tokens : int
        Those of the new prompt; one that finds none before it may begin whatever its size.
    aim_seconds : float
        Time from the request to a first piece that is in time; 0 where none is known.
    is_long : bool
        Whether it is a run that holds memory for long and can't be run again.
    """
    if unread <= 0 or objective_seconds <= 0:
        return True
    share = LONG_PREFILL_SHARE if is_long else SHORT_PREFILL_SHARE
    return unread + prompt_tokens <= share * objective_seconds * placing.PREFILL_TOKENS_PER_SECOND
