"""Decides whether a run may be resumed at another runner, from what is known of the former one.

At most one runner may work on a run.  An entry's own actions, such as closing the connection, prove
nothing: some runners keep working after that, and a connection can break while its runner is
healthy.  Only the former runner's own answer or the end of its process counts as proof.

That a run is gone does not say that it was complete: a runner forgets a run that it has stopped as
it forgets one that has ended, and closes the streams of both.
"""

import dataclasses
import enum
from collections.abc import Iterable

__all__ = [
    "Evidence",
    "OrderRecord",
    "StopOutcome",
    "can_resume",
    "derive_evidence",
    "is_declined",
    "is_released",
    "may_have_stopped",
]


class StopOutcome(enum.StrEnum):
    """Outcome of one order to a runner to stop a run."""

    STOPPED = "stopped"
    """The runner names the run's memory as it was when the run stopped."""
    NO_RUN = "no_run"
    """The runner is not working on this run."""
    ORDER_IN_PROGRESS = "order_under_way"
    """The runner is already carrying out an order for this run."""
    REFUSED = "refused"
    """The host is up and refuses connections to the runner's port."""
    UNREACHABLE = "unreachable"
    """No connection could be established."""
    UNCLEAR = "nothing"
    """No conclusive answer."""


class Evidence(enum.StrEnum):
    """What is known of whether a former runner still works on a run."""

    NONE = "none"
    """The runner is reachable and has not answered."""
    STOPPED = "stopped"
    """The runner has stopped the run."""
    NO_RUN = "no_run"
    """The runner did not have the run after the run's stream had ended."""
    PROCESS_ENDED = "process_ended"
    EXPIRED = "expired"
    """The time limit that was sent to the runner with the run has passed."""
    UNREACHABLE = "out_of_reach"
    """No order can be delivered to the runner."""


_RELEASED = frozenset(Evidence) - {Evidence.NONE, Evidence.UNREACHABLE}


def derive_evidence(
    outcome: StopOutcome, *, is_stream_open: bool, may_be_copying: bool
) -> Evidence:
    """Return what the outcome of an order to stop a run proves.

    Parameters
    ----------
    is_stream_open : bool
        Whether the run's stream was still open when the order was sent.  A run that is paused to
        free memory is not being worked on and resumes later; a runner that is shutting down may
        refuse new connections and continue the runs it has.
    may_be_copying : bool
        Whether the order in progress may be one that copies the run without stopping it.
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


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRecord:
    """What is known of one order to stop a run.

    Attributes
    ----------
    answered_at : float or None
        Time at which a clear answer arrived; None without one, in which case the runner may carry
        out the order at any time.
    is_declined : bool
        Whether the answer proves that the runner did not carry out the order.
    """

    answered_at: float | None = None
    is_declined: bool = False


def is_declined(outcome: StopOutcome, *, may_be_copying: bool) -> bool:
    """Whether the outcome of an order proves that the order did not stop the run.

    Parameters
    ----------
    may_be_copying : bool
        Whether the order in progress at the runner may be one of ours that copies the run without
        stopping it.  Otherwise it may be another process's order to stop the run.
    """
    if outcome is StopOutcome.ORDER_IN_PROGRESS:
        return may_be_copying
    return outcome in (StopOutcome.NO_RUN, StopOutcome.REFUSED, StopOutcome.UNREACHABLE)


def may_have_stopped(orders: Iterable[OrderRecord], began_at: float) -> bool:
    """Whether one of the orders may be what ended the stream of a run.

    Parameters
    ----------
    orders : iterable of OrderRecord
        All orders to the run's runner to stop a run of the same request.
    began_at : float
        Time at which the run was requested; orders answered by then concern an earlier one.

    Examples
    --------
    >>> may_have_stopped([OrderRecord(answered_at=2.0, is_declined=True)], 1.0)
    False
    >>> may_have_stopped([OrderRecord(), OrderRecord(answered_at=2.0, is_declined=True)], 1.0)
    True
    """
    return any(
        order.answered_at is None or (order.answered_at > began_at and not order.is_declined)
        for order in orders
    )


def is_released(evidence: Evidence) -> bool:
    """Whether the evidence proves that the former runner no longer works on the run."""
    return evidence in _RELEASED


def can_resume(evidence: Evidence, last_event_id: str) -> bool:
    """Whether a run may be resumed elsewhere from a copy of its memory.

    This includes runs whose former runner is unreachable: most of these runners have ended, and the
    caller would wait in vain.  The order to stop is then repeated for as long as the former runner
    could still be working.  A run without any event has no position to resume from; what would
    start elsewhere is a different run.
    """
    return bool(last_event_id) and (is_released(evidence) or evidence is Evidence.UNREACHABLE)
