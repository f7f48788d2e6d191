"""A fault: one error as a value, and the exception that carries it."""

import dataclasses
from typing import Any

from tillerlane.faults import kinds

__all__ = ["Fault", "FaultError", "TillerlaneError", "TillerlaneWarning", "new_fault"]


class TillerlaneError(Exception):
    """Base of every exception that tillerlane raises on purpose."""


class TillerlaneWarning(UserWarning):
    """Base of every warning that tillerlane gives."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One error of a listed kind.

    Attributes
    ----------
    kind : kinds.ErrorKind
        Row of the table in `tillerlane.faults.kinds`.
    message : str
        What was got and what was expected, for a person.
    ran : kinds.Ran
        Whether the request reached its target.
    retry_after : float or None
        Seconds after which another try may succeed.
    detail : dict
        Further facts, such as ``{"version": 7}`` of a conflict.  JSON values only.
    """

    kind: kinds.ErrorKind
    message: str
    ran: kinds.Ran
    retry_after: float | None = None
    detail: dict[str, Any] = dataclasses.field(default_factory=dict)

    @property
    def response(self) -> kinds.FaultResponse:
        """Row of the table for this fault's kind."""
        return kinds.RESPONSES[self.kind]

    def to_json(self) -> dict[str, Any]:
        """Body that callers and operators get, in the form text-generation clients read."""
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
    """Carries a `Fault` up to the border that answers with it.

    Parameters
    ----------
    fault : Fault
        The error to answer with.
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
    """Build a fault, with ``ran`` from the table unless it is given.

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
