"""Target states that an entry announces again when the keeper that told it is lost.

A target's heartbeat reaches one keeper.  If that keeper is lost before the other keepers know the
target, only the entries subscribed to it do, until the target's next heartbeat.
"""

import collections
from collections.abc import Iterable

from tillerlane.gateway import directory as directories
from tillerlane.peers import link as links

__all__ = ["RecentStates"]

RETENTION_SECONDS = 1.5
"""How long a state is kept: a target's next heartbeat comes after 1.2 s and reaches another keeper.
A lost keeper may have been cut off from the other keepers for some tenths of a second before."""
MAX_STATES = 200
"""Bound on memory, and on what an entry sends when a keeper is lost, 20 kB."""


class RecentStates:
    """Changes of targets that one entry has learned recently, with the links they came by."""

    def __init__(self) -> None:
        self._states: collections.deque[tuple[float, links.Link, str]] = collections.deque(
            maxlen=MAX_STATES
        )

    def record(self, link: links.Link, changed: Iterable[directories.Target], now: float) -> None:
        """Record changes that were learned by a link."""
        self._states.extend((now, link, target.target_id) for target in changed)

    def pop_learned_by(self, link: links.Link, now: float) -> list[str]:
        """Remove and return the ids of targets whose changes were learned by a link recently."""
        found = [
            target_id
            for at, other, target_id in self._states
            if other is link and now - at <= RETENTION_SECONDS
        ]
        kept = [item for item in self._states if item[1] is not link]
        self._states.clear()
        self._states.extend(kept)
        return list(dict.fromkeys(found))
