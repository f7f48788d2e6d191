"""Memory that is reserved at a runner before a request is sent to it.

This implementation reserves nothing: requests are sent without a hold.
"""

import dataclasses

from tillerlane.gateway import admission as admissions
from tillerlane.gateway import directory as directories

__all__ = ["Full", "Hold", "Reservations", "Unknown"]


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Reserved memory; `hold_id` is the runner's name for it."""

    hold_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Full:
    """The runner has no free memory for the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The runner did not answer, or does not support holds; the request is sent without one."""


class Reservations:
    """Reserves memory at runners."""

    def is_needed(self, admission: admissions.Admission, target: directories.Target) -> bool:
        """Whether a request should reserve memory before it is sent to a target."""
        return False

    async def take(
        self, admission: admissions.Admission, target: directories.Target
    ) -> Hold | Full | Unknown:
        """Reserve memory for a request at a target."""
        return Unknown()

    async def drop(self, hold: Hold) -> None:
        """Release a reservation whose request was not sent."""
