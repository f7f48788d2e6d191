"""What an attempt to place a waiting request gives: a target, a reason to wait, or a verdict."""

import dataclasses
import enum
from collections.abc import Callable
from typing import Protocol

from tillerlane.gateway import directory as directories

__all__ = ["Offer", "Place", "Placement", "Verdict", "VerdictKind", "Wait"]


class Wait(enum.Enum):
    """Why a request waits."""

    MEMORY = "memory"
    PREFILL = "prefill"
    """The runner's queued prefill is long enough already."""
    TARGET = "target"
    """All targets are blocked, or none is known yet."""


class VerdictKind(enum.Enum):
    """Why a request does not wait any longer."""

    NO_TARGET = "no target"
    NO_ROOM = "no memory"
    OVERFULL = "queue full"
    STOPPING = "stopping"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A request gets no target; `retry_after` is in seconds, None for the default."""

    kind: VerdictKind
    retry_after: float | None = None


@dataclasses.dataclass(slots=True)
class Placement:
    """A target for a request.

    Until the request is sent, its load is counted at the target provisionally, so that the next
    choice sees it.

    Attributes
    ----------
    add_load : callable
        Adds the request's load at the target with sign 1, or subtracts it with -1.
    """

    target: directories.Target
    add_load: Callable[[int], None]
    is_counted: bool = False

    def count(self) -> None:
        """Count the load provisionally."""
        if not self.is_counted:
            self.is_counted = True
            self.add_load(1)

    def release(self) -> None:
        """Stop counting it: the request is sent now, or not at all."""
        if self.is_counted:
            self.is_counted = False
            self.add_load(-1)


Offer = Placement | Verdict | Wait


class Place(Protocol):
    """Finds a place at a runner for one waiting request."""

    def offer(self) -> Offer:
        """Choose a target now; the load is counted provisionally."""

    def offer_claimed(self) -> Placement | None:
        """The claimed runner, if it has memory now; the load is counted provisionally."""

    def is_hopeless(self) -> bool:
        """Whether no target that could ever take the request is left."""

    def claim(self) -> None:
        """Claim memory at a runner, or at another one if that can't be used any more."""

    def release_claim(self) -> None:
        """End the claim, if there is one."""
