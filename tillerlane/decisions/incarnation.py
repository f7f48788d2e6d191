"""Decides whether a stream may be resumed over a connection to a target, which may have restarted.

A target may restart under its id and address with other software, and entries learn of it from its
next heartbeat only.  What it reports of its start over a later connection than the stream's tells
which incarnation the stream's connection was made to.
"""

import dataclasses
import enum

from tillerlane.decisions import delivery

__all__ = ["Answer", "Verdict", "is_served_by", "judge"]


class Verdict(enum.StrEnum):
    """What is known of the incarnation behind a connection."""

    CONFIRMED = "confirmed"
    """It is the known one."""
    REPLACED = "replaced"
    """It is another one, whose software may differ."""
    UNNAMED = "unnamed"
    """The target's reports never name a start; it is used as if it did not restart."""
    UNANSWERED = "unanswered"
    """The target gave no report in time, so that it is not used now."""

    @property
    def may_resume(self) -> bool:
        """Whether a stream may be resumed over the connection."""
        return self in (Verdict.CONFIRMED, Verdict.UNNAMED)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a request for a target's report, which was sent after the connection was made.

    Attributes
    ----------
    is_answered : bool
        Whether there was a response.
    started_ms : int
        Start that it names; 0 if it names none.
    is_report : bool
        Whether the response is a report: a target may refuse to give one.
    """

    is_answered: bool
    started_ms: int = 0
    is_report: bool = True


def judge(expected_ms: int, answer: Answer, *, is_usually_named: bool) -> Verdict:
    """Judge the incarnation behind a connection.

    Parameters
    ----------
    expected_ms : int
        Start of the known incarnation.
    is_usually_named : bool
        Whether reports of targets with its software version name their start.  A report without one
        then comes from other software.
    """
    if not answer.is_answered or (is_usually_named and not answer.is_report):
        return Verdict.UNANSWERED
    if answer.started_ms == expected_ms:
        return Verdict.CONFIRMED
    if answer.started_ms or is_usually_named:
        return Verdict.REPLACED
    return Verdict.UNNAMED


def is_served_by(report: delivery.RunnerReport, started_ms: int, request_id: str) -> bool:
    """Whether a report proves that an incarnation works on a run.

    A run that is missing proves nothing: it may read its prompt, and reports are out of date.

    Parameters
    ----------
    report : delivery.RunnerReport
        A report from the incarnation's address.
    started_ms : int
        Start of the incarnation, by its heartbeat.
    """
    return report.started_ms in (started_ms, 0) and request_id in report.events
