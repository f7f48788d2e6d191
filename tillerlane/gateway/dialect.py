"""Functions through which the gateway decodes and encodes the messages of callers and targets.

An adapter provides a `Dialect`; `tillerlane.platform` has the only one.
"""

import dataclasses
import enum
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from tillerlane.decisions import delivery
from tillerlane.gateway import routes
from tillerlane.gateway.http import http_head

__all__ = [
    "CopyOutcome",
    "CopyResult",
    "Dialect",
    "ForwardPlan",
    "HoldOutcome",
    "HoldResult",
    "InvalidHeader",
    "MemoryCopy",
    "RequestFacts",
    "ResponseFacts",
    "RunnerReport",
]

RunnerReport = delivery.RunnerReport


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFacts:
    """Decoded head of a caller's request.

    Attributes
    ----------
    request_id : str
        The caller's id of this attempt.
    wait_seconds : float or None
        Time within which the caller expects a response.
    key : str
        Secret key; empty if there is none.
    prompt_tokens : int
        0 if the request is not a generation.
    output_tokens : int
        Expected length of the output: the caller's estimate, otherwise the caller's maximum.
    last_event_id : str
        Last event that the caller has of an earlier stream; empty for a new stream.
    resumes : str
        Id of the caller's attempt that brought the first event of that stream; empty if unknown.
    shared_parts : tuple of str
        Ids of the parts of its prompt that other requests may have too, in order.  The last part,
        which is the request's own, is left out.
    """

    request_id: str
    wait_seconds: float | None
    key: str
    prompt_tokens: int
    output_tokens: int
    last_event_id: str
    resumes: str = ""
    shared_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryCopy:
    """Location of a copy of a run's memory: the runner that made it, and the runner's handle."""

    address: str
    handle: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardPlan:
    """How a request is sent to one target.

    Attributes
    ----------
    wait_seconds : float
        Time left to the caller's and the route's deadline.
    target_id : str
        Only this incarnation of a target may run the request.
    workspace : str
        Workspace of the request; empty on a public route.
    priority : int
        0 is the most urgent.
    last_event_id : str
        Continue after this event.
    copy : MemoryCopy or None
        Resume the run from this copy instead of starting a new one.
    backup_address : str
        Runner that receives backup copies of the run's memory; empty for none.
    hold : str
        Id of the memory that the target has reserved for the request; empty for none.
    """

    wait_seconds: float
    target_id: str
    workspace: str
    priority: int
    last_event_id: str = ""
    copy: MemoryCopy | None = None
    backup_address: str = ""
    hold: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidHeader:
    """A header by which a target reports its state and whose value is invalid."""

    name: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseFacts:
    """Decoded head of a target's response.

    Attributes
    ----------
    did_run : bool
        False only if the target guarantees that the request did not run.
    rate_limit : float or None
        Requests a second that the target accepts from all entries together; None if it reports no
        valid limit.
    backoff_seconds : float or None
        How long this entry should send the target no requests; None if the target asks for no
        back-off.
    is_leaving : bool
        Whether the target reports that it is leaving.
    invalid : tuple of InvalidHeader
        Reports with invalid values.
    """

    request_id: str
    did_run: bool
    is_other_target: bool
    is_leaving: bool = False
    rate_limit: float | None = None
    backoff_seconds: float | None = None
    invalid: tuple[InvalidHeader, ...] = ()

    def has_invalid(self, name: str) -> bool:
        """Whether the target's report of this name is invalid."""
        return any(item.name == name for item in self.invalid)


class CopyOutcome(enum.StrEnum):
    """Outcome of an order to copy a run's memory."""

    COPIED = "copied"
    NO_RUN = "no_run"
    BUSY = "busy"
    NO_ROOM = "no_room"
    LOST = "lost"
    """No clear answer; the runner may have exited."""
    REFUSED = "refused"
    """The runner's host refuses connections, so its process has exited."""
    UNREACHABLE = "unreachable"
    """No connection could be established."""
    UNSUPPORTED = "not_understood"
    """The process at the runner's address does not support the order."""

    @property
    def is_unanswered(self) -> bool:
        """Whether the runner gave no answer from which anything is known about its runs."""
        return self not in (
            CopyOutcome.COPIED,
            CopyOutcome.NO_RUN,
            CopyOutcome.BUSY,
            CopyOutcome.NO_ROOM,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CopyResult:
    """Answer to such an order; `handle` is empty if no copy is kept."""

    outcome: CopyOutcome
    handle: str = ""
    events: int = 0


class HoldOutcome(enum.StrEnum):
    """Outcome of a call that reserves memory at a runner."""

    TAKEN = "taken"
    FULL = "full"
    """The runner has no free memory or no free slot."""
    UNSUPPORTED = "not_understood"
    LOST = "lost"
    """No clear answer: the memory may be reserved until the lease ends."""
    UNREACHABLE = "unreachable"
    """No connection could be established, so that nothing is reserved."""


@dataclasses.dataclass(frozen=True, slots=True)
class HoldResult:
    """Answer to such a call; `hold` is the reservation's id, empty unless it was taken."""

    outcome: HoldOutcome
    hold: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Functions of an adapter.

    Attributes
    ----------
    decode_request : callable
        (head) decodes the head of a caller's request.
    build_forward : callable
        (head, plan) gives the head of the request to a target.
    decode_response : callable
        (head) decodes the head of a target's response.
    build_refusal : callable
        (status, retry delay in seconds or None) gives the head of a refusal by the entry itself.
    parse_table : callable
        (document) gives the routing table, or raises `faults.FaultError`.
    copy_run : callable
        (source address, request id, destination address, seconds) copies a run's memory while the
        run continues.
    stop_run : callable
        The same, but the runner first stops the run, whether or not the copy succeeds, and keeps
        its memory for a while.
    drop_copy : callable
        (copy) frees an unused copy.
    reserve_memory : callable
        (runner's address, tokens, seconds of the lease, seconds to wait for the answer) reserves
        memory and a slot at a runner for one request.
    drop_reservation : callable
        (runner's address, id) frees an unused reservation; gives whether the runner answered.
    read_report : callable
        (runner's address, seconds) gives what a runner reports of itself; None if its answer is
        not such a report.  Raises `http_client.ExchangeError` without an answer.
    check_target : callable
        (address, path of health checks, target id, seconds) gives whether the target's own process
        answers at its address.  Raises `http_client.ExchangeError` without an answer.
    """

    decode_request: Callable[[http_head.RequestHead], RequestFacts]
    build_forward: Callable[[http_head.RequestHead, ForwardPlan], http_head.RequestHead]
    decode_response: Callable[[http_head.ResponseHead], ResponseFacts]
    build_refusal: Callable[[int, float | None], http_head.ResponseHead]
    parse_table: Callable[[bytes], routes.RoutingTable]
    copy_run: Callable[[str, str, str, float], Awaitable[CopyResult]]
    stop_run: Callable[[str, str, str, float], Awaitable[CopyResult]]
    drop_copy: Callable[[MemoryCopy], Awaitable[None]]
    reserve_memory: Callable[[str, int, float, float], Coroutine[Any, Any, HoldResult]]
    drop_reservation: Callable[[str, str], Awaitable[bool]]
    read_report: Callable[[str, float], Coroutine[Any, Any, RunnerReport | None]]
    check_target: Callable[[str, str, str, float], Coroutine[Any, Any, bool]]
