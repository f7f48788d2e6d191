"""Decides what a target itself says of a response: whether its connection delivers, and its end.

A connection can fall silent without an error at either end while new ones to the same runner work.
A pause alone proves nothing: a runner may be slow, or may have preempted the run.  Only events that
the runner has made, and that have not arrived, tell the two apart.

The regular end of a connection proves as little where it also marks the end of a response: the
connections of a process that is killed are closed by its operating system.
"""

import dataclasses
import enum

__all__ = ["Presence", "RunnerReport", "is_complete_after_close", "is_overdue"]


class Presence(enum.StrEnum):
    """What a new connection shows of the process that sent a response."""

    ANSWERS = "answers"
    ACCEPTS = "accepts"
    """It has accepted the connection and not answered in time."""
    ENDED = "ended"
    """Its host refuses connections, or another process answers."""
    UNKNOWN = "unknown"

    @property
    def is_present(self) -> bool:
        """Whether the process is there."""
        return self in (Presence.ANSWERS, Presence.ACCEPTS)


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReport:
    """What a runner reports of its runs; it may be some hundred milliseconds old.

    Attributes
    ----------
    events : dict of str to int
        Events made so far by each listed run, by request id.
    has_unlisted : bool
        Whether the runner has requests that are not listed: they wait, were preempted, or read
        their prompts.
    started_ms : int
        Unix milliseconds of the runner's start, by its own clock; 0 if it does not name it.
    lists_runs : bool
        Whether it tells of runs at all.
    """

    events: dict[str, int]
    has_unlisted: bool
    started_ms: int = 0
    lists_runs: bool = True


def is_overdue(report: RunnerReport, request_id: str, received: int, *, has_begun: bool) -> bool:
    """Whether something of a run's stream must have been sent that had not arrived.

    Parameters
    ----------
    report : RunnerReport
        A report requested after the last event arrived.
    request_id : str
        The request that the runner runs.
    received : int
        Number of the last event that arrived, from any runner of the run; 0 if none did.
    has_begun : bool
        Whether any event arrived from this runner.
    """
    if not report.lists_runs:
        return False
    made = report.events.get(request_id)
    if made is not None:
        return made > received
    # A run that had begun and is held nowhere has ended.  Before that, the request may be one that
    # the runner has not counted yet.
    return has_begun and not report.has_unlisted


def is_complete_after_close(
    presence: Presence, report: RunnerReport | None, request_id: str, received: int | None
) -> bool:
    """Whether a response is complete whose end is that of its connection.

    Parameters
    ----------
    presence : Presence
        Of the target's process, found out after the connection has ended.
    report : RunnerReport or None
        The runner's report from then, if it gives one.
    request_id : str
        The request that the target answered.
    received : int or None
        Number of the last event that arrived, from any runner of the run; None for a response that
        is no stream, whose run has to be over by then.

    Examples
    --------
    >>> is_complete_after_close(Presence.ENDED, None, "r1", 7)
    False
    >>> is_complete_after_close(Presence.ANSWERS, RunnerReport({"r1": 7}, False), "r1", None)
    False
    """
    if not presence.is_present:
        return False
    if report is None:
        return True
    if received is None:
        return request_id not in report.events
    return report.events.get(request_id, 0) <= received
