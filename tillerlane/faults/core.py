"""Faults: errors as values, and the exception that carries them."""

import dataclasses
from typing import Any

from tillerlane.faults import kinds

__all__ = ["Fault", "FaultError", "TillerlaneError", "TillerlaneWarning", "new_fault"]


class TillerlaneError(Exception):
    """Base class of all exceptions defined by tillerlane."""


class TillerlaneWarning(UserWarning):
    """Base class of all warnings defined by tillerlane."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One error of a kind listed in `kinds.ErrorKind`.

    Attributes
    ----------
    kind : kinds.ErrorKind
        Kind of the error.
    message : str
        Description for people, with the actual and the expected value.
    ran : kinds.Ran
        Whether the request reached its target.
    retry_after : float or None
        Seconds after which a retry may succeed.
    detail : dict
        Further details, such as ``{"version": 7}`` for a conflict.  JSON values only.
    """

    kind: kinds.ErrorKind
    message: str
    ran: kinds.Ran
    retry_after: float | None = None
    detail: dict[str, Any] = dataclasses.field(default_factory=dict)

    @property
    def response(self) -> kinds.FaultResponse:
        """Response for this fault's kind."""
        return kinds.RESPONSES[self.kind]

    def to_json(self) -> dict[str, Any]:
        """Return the response body, in the format that text-generation clients expect."""
        error: dict[str, Any] = {
            "type": self.kind.value,
            "code": self.kind.value,
            "message": self.message,
            "ran": self.ran.value,
            "retry": self.response.retry.value,
        }
        if self.retry_after is not None:
            error["retry_after"] = self.retry_after
        if self.detail:
            error["detail"] = self.detail
        return {"error": error}


class FaultError(TillerlaneError):
    """Carries a `Fault` to the interface that responds with it.

    Parameters
    ----------
    fault : Fault
        The error to respond with.
    """

    def __init__(self, fault: Fault) -> None:
        super().__init__(f"{fault.kind}: {fault.message}")
        self.fault = fault


def new_fault(
    kind: kinds.ErrorKind,
    message: str,
    *,
    ran: kinds.Ran | None = None,
    retry_after: float | None = None,
    detail: dict[str, Any] | None = None,
) -> Fault:
    """Build a fault, with the kind's default of ``ran`` unless it is given.

    Examples
    --------
    >>> new_fault(kinds.ErrorKind.OVER_LIMIT, "31 of 30 requests").ran
    <Ran.NO: 'no'>
    """
    return Fault(
        kind=kind,
        message=message,
        ran=kinds.RESPONSES[kind].ran if ran is None else ran,
        retry_after=retry_after,
        detail=detail or {},
    )
