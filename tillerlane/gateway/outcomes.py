"""Outcomes of sending a request: of one attempt, and the state after all of them."""

import dataclasses

from tillerlane.gateway import directory as directories
from tillerlane.gateway import refusals
from tillerlane.gateway.http import http_client, http_head

__all__ = ["LABELS", "Outcome", "Response", "SendResult", "Stream", "Unknown", "merge_results"]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A target's complete response."""

    head: http_head.ResponseHead
    body: bytes | bytearray


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The target may have run the request, but no response arrived."""

    reason: str
    is_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A target has started a stream."""

    head: http_head.ResponseHead
    exchange: http_client.Exchange


Outcome = Response | refusals.NotRun | Unknown | Stream

LABELS: dict[type[Outcome], str] = {
    Response: "whole",
    refusals.NotRun: "notrun",
    Unknown: "unknown",
    Stream: "stream",
}
"""Names of outcomes in metrics and log events."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendResult:
    """State of a request after it was sent to targets.

    Attributes
    ----------
    target, backup : directories.Target or None
        The target of the last send, and the runner that receives backup copies of the run.
    sends, runs : int
        Targets that received the request, and those among them that may have run it.
    queue_rank, queue_length : int or None
        Its rank in its pool's queue when it began to wait, and the length of the queue; None if it
        did not wait.
    """

    outcome: Outcome
    target: directories.Target | None = None
    backup: directories.Target | None = None
    sends: int = 0
    runs: int = 0
    queue_rank: int | None = None
    queue_length: int | None = None


def merge_results(former: SendResult, latest: SendResult) -> SendResult:
    """Combine the result of the latest attempt with that of the former ones.

    A target that did not run the request proves nothing about a former target that may have run it:
    the caller is told that the request did not run only if this holds for all targets.
    """
    if isinstance(latest.outcome, refusals.NotRun) and not isinstance(
        former.outcome, refusals.NotRun
    ):
        return dataclasses.replace(former, sends=latest.sends, runs=latest.runs)
    return latest
