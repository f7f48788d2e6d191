"""The closed list of error kinds and the response for each of them.

Every error response to a caller or an operator is built from an entry of `RESPONSES`.  A new kind
needs an entry here and nothing else.
"""

import dataclasses
import enum

__all__ = ["RESPONSES", "ErrorKind", "FaultResponse", "Ran", "Retry"]


class Ran(enum.StrEnum):
    """Whether the request reached its target; ``no`` only if that is certain."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Retry(enum.StrEnum):
    """How the caller should retry."""

    NEVER = "never"
    """The same request will fail again."""
    LATER = "later"
    """Retry after ``Retry-After`` seconds."""
    RESUME = "resume"
    """Request the remaining events with ``Last-Event-ID``."""
    ASK = "ask"
    """Send the same ``Idempotency-Key`` again to get the outcome; the request isn't run again."""


class ErrorKind(enum.StrEnum):
    """Kind of an error; values are stable and may be compared by programs."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_MODEL = "unknown_model"
    KEY_REUSED = "key_reused"
    OVER_LIMIT = "over_limit"
    NO_CAPACITY = "no_capacity"
    LEAVING = "leaving"
    DEADLINE_EXPIRED = "deadline_expired"
    CANCELLED = "cancelled"
    GENERATION_LOST = "generation_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TARGET_FAILED = "target_failed"
    STALE_FENCE = "stale_fence"
    INVALID_CONFIG = "invalid_config"
    INVALID_POLICY = "invalid_policy"
    VERSION_CONFLICT = "version_conflict"
    NO_QUORUM = "no_quorum"
    DISK_FAILED = "disk_failed"
    UNREACHABLE = "unreachable"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class FaultResponse:
    """Response for one kind of error.

    Attributes
    ----------
    status : int
        HTTP status.
    ran : Ran
        Default of ``ran`` if the fault itself doesn't set it.
    retry : Retry
        How the caller should retry.
    exit_code : int
        Exit status of the command-line tool.
    meaning : str
        Sentence for the reference page.
    """

    status: int
    ran: Ran
    retry: Retry
    exit_code: int
    meaning: str


RESPONSES: dict[ErrorKind, FaultResponse] = {
    ErrorKind.BAD_REQUEST: FaultResponse(
        400, Ran.NO, Retry.NEVER, 10, "The request cannot be parsed or violates a documented rule."
    ),
    ErrorKind.TOO_LARGE: FaultResponse(
        413, Ran.NO, Retry.NEVER, 11, "The body exceeds the size limit."
    ),
    ErrorKind.UNAUTHENTICATED: FaultResponse(
        401, Ran.NO, Retry.NEVER, 12, "No key, or a key of no workspace or operator."
    ),
    ErrorKind.FORBIDDEN: FaultResponse(
        403, Ran.NO, Retry.NEVER, 13, "The key is valid but lacks the permission."
    ),
    ErrorKind.NOT_FOUND: FaultResponse(
        404, Ran.NO, Retry.NEVER, 14, "There is no object with this name."
    ),
    ErrorKind.UNKNOWN_MODEL: FaultResponse(
        404, Ran.NO, Retry.NEVER, 15, "No class of work or pool offers this model."
    ),
    ErrorKind.KEY_REUSED: FaultResponse(
        422, Ran.NO, Retry.NEVER, 16, "The Idempotency-Key was used before for another request."
    ),
    ErrorKind.OVER_LIMIT: FaultResponse(
        429, Ran.NO, Retry.LATER, 17, "The workspace has reached one of its limits."
    ),
    ErrorKind.NO_CAPACITY: FaultResponse(
        503, Ran.NO, Retry.LATER, 18, "No target can accept the request before its deadline."
    ),
    ErrorKind.LEAVING: FaultResponse(
        503, Ran.NO, Retry.LATER, 19, "The target is leaving and accepts no new requests."
    ),
    ErrorKind.DEADLINE_EXPIRED: FaultResponse(
        504, Ran.UNKNOWN, Retry.LATER, 20, "The deadline passed before the response was complete."
    ),
    ErrorKind.CANCELLED: FaultResponse(
        499, Ran.UNKNOWN, Retry.NEVER, 21, "The caller or an operator cancelled the request."
    ),
    ErrorKind.GENERATION_LOST: FaultResponse(
        502, Ran.YES, Retry.LATER, 22, "The generation failed after part of it was delivered."
    ),
    ErrorKind.OUTCOME_UNKNOWN: FaultResponse(
        502, Ran.UNKNOWN, Retry.ASK, 23, "The request may have run; it will not be run again."
    ),
    ErrorKind.TARGET_FAILED: FaultResponse(
        502, Ran.UNKNOWN, Retry.LATER, 24, "The target responded with an error or disconnected."
    ),
    ErrorKind.STALE_FENCE: FaultResponse(
        409, Ran.NO, Retry.NEVER, 25, "The order has an older fence than one already executed."
    ),
    ErrorKind.INVALID_CONFIG: FaultResponse(
        422, Ran.NO, Retry.NEVER, 26, "The settings or configuration document is invalid."
    ),
    ErrorKind.INVALID_POLICY: FaultResponse(
        422, Ran.NO, Retry.NEVER, 27, "The policy program fails its checks."
    ),
    ErrorKind.VERSION_CONFLICT: FaultResponse(
        409,
        Ran.NO,
        Retry.NEVER,
        28,
        "Another change was accepted first; see the version in the detail.",
    ),
    ErrorKind.NO_QUORUM: FaultResponse(
        503, Ran.NO, Retry.LATER, 29, "Too few keepers respond for a quorum."
    ),
    ErrorKind.DISK_FAILED: FaultResponse(
        503, Ran.NO, Retry.LATER, 30, "A keeper's data folder cannot be read or written."
    ),
    ErrorKind.UNREACHABLE: FaultResponse(
        503, Ran.NO, Retry.LATER, 31, "The requested daemon cannot be reached."
    ),
    ErrorKind.INTERNAL: FaultResponse(
        500, Ran.UNKNOWN, Retry.LATER, 32, "An unexpected error; the log has details under its id."
    ),
}
