"""Whether a run may go on at another runner: what is known of the former one.

A run must not be worked on by two runners.  What an entry does itself, as closing a connection,
proves nothing about that: some runners work on, and a connection can break while its runner is
well.  What counts is the former runner's word, or that its process has ended.
"""

import enum

__all__ = ["Evidence", "StopOutcome", "can_resume", "derive_evidence", "is_released"]


class StopOutcome(enum.StrEnum):
    """What came of one order to a runner to stop a run."""

    STOPPED = "stopped"
    """It names the run's memory as it was when it stopped."""
    NO_RUN = "no_run"
    """It works on no such run now."""
    ORDER_IN_PROGRESS = "order_under_way"
    """An order for this run is being carried out already."""
    REFUSED = "refused"
    """Its host is there and refuses connections to it."""
    UNREACHABLE = "unreachable"
    """No connection to it came about."""
    UNCLEAR = "nothing"
    """No clear answer."""


class Evidence(enum.StrEnum):
    """What is known of whether a former runner still works on a run."""

    NONE = "none"
    """It can be reached and has not said."""
    STOPPED = "stopped"
    """It has stopped the run."""
    NO_RUN = "no_run"
    """It had no such run when its stream had ended."""
    PROCESS_ENDED = "process_ended"
    EXPIRED = "expired"
    """The time limit that it was sent with the run has passed."""
    UNREACHABLE = "out_of_reach"
    """It can't be told anything."""


_RELEASED = frozenset(Evidence) - {Evidence.NONE, Evidence.UNREACHABLE}


def derive_evidence(
    outcome: StopOutcome, *, is_stream_open: bool, may_be_copying: bool
) -> Evidence:
    """What a runner's word on an order to stop a run proves.

    Parameters
    ----------
    is_stream_open : bool
        Whether the run's stream had not ended when the order was given.  A run that is pushed
        aside for memory is none that a runner works on, and goes on later; a runner that leaves may
        take no more connections and go on with what it has.
    may_be_copying : bool
        Whether the order under way may be one to copy the run while it goes on, and not to stop it.
    """
    if is_stream_open and outcome in (StopOutcome.NO_RUN, StopOutcome.REFUSED):
        return Evidence.NONE
    if outcome is StopOutcome.ORDER_IN_PROGRESS:
        return Evidence.NONE if may_be_copying else Evidence.STOPPED
    return {
        StopOutcome.STOPPED: Evidence.STOPPED,
        StopOutcome.NO_RUN: Evidence.NO_RUN,
        StopOutcome.REFUSED: Evidence.PROCESS_ENDED,
        StopOutcome.UNREACHABLE: Evidence.UNREACHABLE,
        StopOutcome.UNCLEAR: Evidence.NONE,
    }[outcome]


def is_released(evidence: Evidence) -> bool:
    """Whether a former runner certainly works on a run no more."""
    return evidence in _RELEASED


def can_resume(evidence: Evidence, last_event_id: str) -> bool:
    """Whether a run may go on elsewhere with a copy of its memory.

    It may also where nobody reaches the former runner: most of these have ended, and a caller would
    wait for nothing.  The order to stop is then given for as long as that one could work on.
    Without an event to go on behind, it would be another run.
    """
    return bool(last_event_id) and (is_released(evidence) or evidence is Evidence.UNREACHABLE)
