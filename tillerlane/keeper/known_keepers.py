"""Table of the other keepers known to a keeper, and when each last announced itself."""

import dataclasses
from collections.abc import Callable

from tillerlane.peers import messages

__all__ = ["ALIVE_TIMEOUT_SECONDS", "KnownKeeper", "KnownKeepers"]

ALIVE_TIMEOUT_SECONDS = 3.0
"""How long a keeper counts as alive after its last announcement: about seven intervals."""
RETENTION_SECONDS = 30.0
"""A keeper without a vote that has not been reported for so long is no longer dialed, since its
address may have been reused."""


@dataclasses.dataclass(slots=True)
class KnownKeeper:
    """A known keeper.

    Attributes
    ----------
    seen : messages.KeeperSeen
        Latest report of it.
    heard_at : float or None
        When it last announced itself; None if only others have reported it.
    reported_at : float
        When it was last reported, by itself or by others.
    """

    seen: messages.KeeperSeen
    heard_at: float | None
    reported_at: float


class KnownKeepers:
    """The other keepers that are known to one keeper.

    Parameters
    ----------
    name : str
        This keeper.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, name: str, now: Callable[[], float]) -> None:
        self._name = name
        self._now = now
        self._known: dict[str, KnownKeeper] = {}

    def merge(self, announced: messages.KeeperAnnounce) -> bool:
        """Merge an announcement; whether it is the sender's first, or reports an unknown keeper.

        Only a keeper's report of itself shows that it is alive.  Its reports of others are a reason
        to contact them.
        """
        if not announced.keepers:
            return False
        sender, *others = announced.keepers
        now = self._now()
        previous = self._known.get(sender.name)
        self._known[sender.name] = KnownKeeper(sender, now, now)
        is_new = previous is None or previous.heard_at is None
        for other in others:
            if other.name == self._name:
                continue
            known = self._known.get(other.name)
            if known is None:
                self._known[other.name] = KnownKeeper(other, None, now)
                is_new = True
            else:
                known.reported_at = now
        return is_new

    def list_alive(self) -> list[messages.KeeperSeen]:
        """List the keepers that have announced themselves recently, by name."""
        since = self._now() - ALIVE_TIMEOUT_SECONDS
        alive = (
            item.seen
            for item in self._known.values()
            if item.heard_at is not None and item.heard_at > since
        )
        return sorted(alive, key=lambda seen: seen.name)

    def list_addresses(self) -> set[str]:
        """List the addresses of all known keepers, even if only others have reported them."""
        return {item.seen.address for item in self._known.values()}

    def get_heard_at(self, name: str) -> float | None:
        """When a keeper last announced itself; None if it never did."""
        contact = self._known.get(name)
        return contact.heard_at if contact is not None else None

    def is_leaving(self, name: str) -> bool:
        """Whether a keeper's last announcement says that it is leaving."""
        contact = self._known.get(name)
        return contact is not None and contact.heard_at is not None and contact.seen.leaving

    def expire(self) -> None:
        """Remove the keepers that have not been reported within the retention period."""
        since = self._now() - RETENTION_SECONDS
        for name in [name for name, item in self._known.items() if item.reported_at < since]:
            del self._known[name]
