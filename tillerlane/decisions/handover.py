"""Whether a run may go on at another runner: what is known of the former one.

A run must not be worked on by two runners.  What an entry does itself, as closing a connection,
proves nothing about that: some runners work on, and a connection can break while its runner is
well.  What counts is the former runner's word, or that its process has ended.
"""

import enum

__all__ = ["Evidence", "has_let_go", "may_go_on"]


class Evidence(enum.StrEnum):
    """What is known of whether a former runner still works on a run."""

    NONE = "none"
    """It can be reached and has not said, or its answer was lost."""
    STOPPED = "stopped"
    """Its own word: it has stopped the run, as it was told to."""
    CLOSED = "closed"
    """It ended the run's stream after it was told to stop.  The order is given again until it is
    answered, so that a stream which broke just then by itself means some 0.1 s at most."""
    NO_RUN = "no_run"
    """Its own word: it works on no such run."""
    PROCESS_ENDED = "process_ended"
    """Its host is there and refuses connections to it."""
    EXPIRED = "expired"
    """The time limit that it was sent with the run has passed."""
    OUT_OF_REACH = "out_of_reach"
    """No connection to it comes about, so that it can be told nothing."""


_LET_GO = frozenset(Evidence) - {Evidence.NONE, Evidence.OUT_OF_REACH}


def has_let_go(evidence: Evidence) -> bool:
    """Whether a former runner certainly works on a run no more."""
    return evidence in _LET_GO


def may_go_on(evidence: Evidence, last_event_id: str) -> bool:
    """Whether a run may go on elsewhere with a copy of its memory.

    It may also where nobody reaches the former runner: most of these have ended, and a caller would
    wait for nothing.  The order to stop is then given for as long as that one could work on.
    Without an event to go on behind, it would be another run.
    """
    return bool(last_event_id) and (has_let_go(evidence) or evidence is Evidence.OUT_OF_REACH)
