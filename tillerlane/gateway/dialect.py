"""What the gateway needs of the way in which callers and targets speak, as functions.

An adapter fills in a `Dialect`; `tillerlane.platform` has the only one so far.
"""

import dataclasses
import enum
from collections.abc import Awaitable, Callable

from tillerlane.gateway import http_head, routes

__all__ = [
    "CopyOutcome",
    "CopyResult",
    "Dialect",
    "ForwardPlan",
    "InvalidHeader",
    "MemoryCopy",
    "RequestFacts",
    "ResponseFacts",
]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a request's head says, decoded.

    Attributes
    ----------
    request_id : str
        The caller's id of this attempt.
    wait_seconds : float or None
        How long the caller waits.
    key : str
        Secret key; empty if there is none.
    prompt_tokens : int
        0 where the request is no generation.
    output_tokens : int
        Likely length of the answer: the caller's estimate, else the most it allows.
    last_event_id : str
        The caller has this event of an earlier stream; empty for a new stream.
    """

    request_id: str
    wait_seconds: float | None
    key: str
    prompt_tokens: int
    output_tokens: int
    last_event_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryCopy:
    """Where a run's memory lies: the runner that made the copy, and its name for it."""

    address: str
    handle: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardPlan:
    """How a request is sent to one target.

    Attributes
    ----------
    wait_seconds : float
        What is left of the caller's and the route's time.
    target_id : str
        Only this incarnation may run it.
    workspace : str
        Whose request it is; empty on a public route.
    priority : int
        0 is the most urgent.
    last_event_id : str
        Go on behind this event.
    copy : MemoryCopy or None
        Go on with this memory: the same run, not a new one.
    backup_address : str
        Runner that gets the run's memory while it grows; empty for none.
    """

    wait_seconds: float
    target_id: str
    workspace: str
    priority: int
    last_event_id: str = ""
    copy: MemoryCopy | None = None
    backup_address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidHeader:
    """Something that a target says of itself and that can't be read: which word, and its text."""

    name: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseFacts:
    """What a target's head says, decoded.

    Attributes
    ----------
    did_run : bool
        False only where the target vouches.
    rate_limit : float or None
        Requests a second that the target takes from all entries together; None if it names no limit
        that can be read.
    backoff_seconds : float or None
        How long the target wants nothing more from this entry; None if it does not say so.
    is_leaving : bool
        Whether the target says that it leaves.
    invalid : tuple of InvalidHeader
        What it says of itself and can't be read.
    """

    request_id: str
    did_run: bool
    is_other_target: bool
    is_leaving: bool = False
    rate_limit: float | None = None
    backoff_seconds: float | None = None
    invalid: tuple[InvalidHeader, ...] = ()

    def has_invalid(self, name: str) -> bool:
        """Whether the target says something by a word that can't be read."""
        return any(item.name == name for item in self.invalid)


class CopyOutcome(enum.StrEnum):
    """How an order to copy a run's memory ended."""

    COPIED = "copied"
    NO_RUN = "no_run"
    BUSY = "busy"
    NO_ROOM = "no_room"
    LOST = "lost"
    """No clear answer: the runner may be gone."""
    REFUSED = "refused"
    """The runner's host refuses connections to it: its process has ended."""
    UNREACHABLE = "unreachable"
    """No connection to it came about."""
    UNSUPPORTED = "not_understood"
    """What answers there knows no such order."""

    @property
    def is_unanswered(self) -> bool:
        """Whether the runner has not answered so that anything is known of its runs."""
        return self not in (
            CopyOutcome.COPIED,
            CopyOutcome.NO_RUN,
            CopyOutcome.BUSY,
            CopyOutcome.NO_ROOM,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CopyResult:
    """Answer to such an order; `handle` is empty where no memory is kept."""

    outcome: CopyOutcome
    handle: str = ""
    events: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Functions of an adapter.

    Attributes
    ----------
    decode_request : callable
        (head) gives the facts of a caller's request.
    build_forward : callable
        (head, plan) gives the head for a target.
    decode_response : callable
        (head) gives the facts of a target's answer.
    build_refusal : callable
        (status, seconds until another try may succeed or None) gives the headers of an answer
        of our own.
    parse_table : callable
        (document) gives the routing table, or raises `faults.FaultError`.
    copy_run : callable
        (source address, request id, destination address, seconds) copies a run's memory while the
        run goes on.
    stop_run : callable
        The same, but the runner stops the run first, whatever comes of the copy, and keeps its
        memory for a while.
    drop_copy : callable
        (copy) frees a copy that will not be used.
    """

    decode_request: Callable[[http_head.RequestHead], RequestFacts]
    build_forward: Callable[[http_head.RequestHead, ForwardPlan], http_head.RequestHead]
    decode_response: Callable[[http_head.ResponseHead], ResponseFacts]
    build_refusal: Callable[[int, float | None], http_head.ResponseHead]
    parse_table: Callable[[bytes], routes.RoutingTable]
    copy_run: Callable[[str, str, str, float], Awaitable[CopyResult]]
    stop_run: Callable[[str, str, str, float], Awaitable[CopyResult]]
    drop_copy: Callable[[MemoryCopy], Awaitable[None]]
