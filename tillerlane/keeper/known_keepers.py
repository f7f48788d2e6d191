"""Which other keepers a keeper knows, and when it last heard of each from itself."""

import dataclasses
from collections.abc import Callable

from tillerlane.peers import messages

__all__ = ["ALIVE_TIMEOUT_SECONDS", "KnownKeeper", "KnownKeepers"]

ALIVE_TIMEOUT_SECONDS = 3.0
"""How long a keeper counts as alive after its last announcement: seven of them."""
RETENTION_SECONDS = 30.0
"""Silence after which a keeper without a vote is no longer dialed: its address may be another's."""


@dataclasses.dataclass(slots=True)
class KnownKeeper:
    """Another keeper.

    Attributes
    ----------
    seen : messages.KeeperSeen
        What was told of it last.
    heard_at : float or None
        When it last told so itself; None while others only tell of it.
    reported_at : float
        When it was last told of, by itself or by others.
    """

    seen: messages.KeeperSeen
    heard_at: float | None
    reported_at: float


class KnownKeepers:
    """The other keepers that one keeper knows.

    Parameters
    ----------
    name : str
        This keeper.
    now : callable
        Steady time in seconds.
    """

    def __init__(self, name: str, now: Callable[[], float]) -> None:
        self._name = name
        self._now = now
        self._known: dict[str, KnownKeeper] = {}

    def merge(self, announced: messages.KeeperAnnounce) -> bool:
        """Take an announcement; whether it names a keeper that was not known.

        Only what a keeper says of itself shows that it lives; what it says of others is a reason
        to speak to them.
        """
        if not announced.keepers:
            return False
        own_word, *others = announced.keepers
        now = self._now()
        former = self._known.get(own_word.name)
        self._known[own_word.name] = KnownKeeper(own_word, now, now)
        is_new = former is None or former.heard_at is None
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
        """Keepers that have told of themselves lately, by name."""
        since = self._now() - ALIVE_TIMEOUT_SECONDS
        alive = (
            item.seen
            for item in self._known.values()
            if item.heard_at is not None and item.heard_at > since
        )
        return sorted(alive, key=lambda seen: seen.name)

    def list_addresses(self) -> set[str]:
        """Addresses of all keepers known, whoever told of them."""
        return {item.seen.address for item in self._known.values()}

    def get_heard_at(self, name: str) -> float | None:
        """When a keeper last told of itself; None if it never did."""
        contact = self._known.get(name)
        return contact.heard_at if contact is not None else None

    def is_leaving(self, name: str) -> bool:
        """Whether a keeper's last word of itself is that it stops."""
        contact = self._known.get(name)
        return contact is not None and contact.heard_at is not None and contact.seen.leaving

    def expire(self) -> None:
        """Forget who has not been told of for long."""
        since = self._now() - RETENTION_SECONDS
        for name in [name for name, item in self._known.items() if item.reported_at < since]:
            del self._known[name]
