"""The view of all members, merged from whatever is heard, in any order and any number of times.

Each daemon gives its own record a rising (incarnation, sequence); the highest is the truth.  A
keeper that has lost a daemon's link says ``suspected`` and after a while ``gone``; the daemon's
next own word overrides both.  The platform's list can only say that a host is leaving.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable

from tillerlane.peers import messages

__all__ = ["GONE", "LIVE", "SUSPECTED", "MemberView"]

LIVE = "live"
SUSPECTED = "suspected"
GONE = "gone"

SUSPICION_TIMEOUT_SECONDS = 1.0
"""A member whose link is lost is suspected for this long before it is gone."""
RETENTION_SECONDS = 300.0


@dataclasses.dataclass(slots=True)
class _Known:
    """A member and when its state last changed here."""

    member: messages.Member
    changed_at: float


class MemberView:
    """All members as known on one daemon.

    Parameters
    ----------
    keeper_addresses : iterable of str
        Peer addresses of the keepers.
    """

    def __init__(self, keeper_addresses: Iterable[str] = ()) -> None:
        self._known: dict[str, _Known] = {}
        self._listeners: list[Callable[[list[messages.Member]], None]] = []
        self._platform_leaving: frozenset[str] = frozenset()
        self._first_at: float = math.inf
        self.keeper_addresses = set(keeper_addresses)

    def add_listener(self, listener: Callable[[list[messages.Member]], None]) -> None:
        """Have `listener` called with the members that changed."""
        self._listeners.append(listener)

    def get_age(self, now: float) -> float:
        """Seconds since the first member was heard of."""
        return now - self._first_at if self._first_at < math.inf else 0.0

    def merge(self, members: Iterable[messages.Member], now: float) -> list[messages.Member]:
        """Take over what is newer; give what changed."""
        changed = []
        for member in members:
            known = self._known.get(member.daemon_id)
            if known is not None and _order(member) <= _order(known.member):
                continue
            self._known[member.daemon_id] = _Known(member, now)
            changed.append(member)
        if changed:
            self._first_at = min(self._first_at, now)
            self._tell(changed)
        return changed

    def suspect(self, daemon_id: str, now: float) -> None:
        """Take note that a member's link is lost."""
        self._set_state(daemon_id, SUSPECTED, now)

    def expire_suspects(self, now: float) -> None:
        """Turn suspects of some time into gone ones; forget those gone for long."""
        for daemon_id, known in list(self._known.items()):
            age = now - known.changed_at
            if known.member.state == SUSPECTED and age > SUSPICION_TIMEOUT_SECONDS:
                self._set_state(daemon_id, GONE, now)
            elif known.member.state == GONE and age > RETENTION_SECONDS:
                del self._known[daemon_id]

    def _set_state(self, daemon_id: str, state: str, now: float) -> None:
        known = self._known.get(daemon_id)
        if known is None or known.member.state == state:
            return
        known.member = dataclasses.replace(known.member, state=state)
        known.changed_at = now
        self._tell([known.member])

    def set_platform_leaving(self, daemon_ids: Iterable[str]) -> None:
        """Take the platform's word on who is leaving."""
        leaving = frozenset(daemon_ids)
        changed = leaving ^ self._platform_leaving
        self._platform_leaving = leaving
        members = [self.find(item) for item in changed]
        self._tell([member for member in members if member is not None])

    def _tell(self, changed: list[messages.Member]) -> None:
        for listener in self._listeners:
            listener(changed)

    def _see(self, member: messages.Member) -> messages.Member:
        if member.daemon_id in self._platform_leaving and not member.leaving:
            return dataclasses.replace(member, leaving=True)
        return member

    def find(self, daemon_id: str) -> messages.Member | None:
        """One member, or None."""
        known = self._known.get(daemon_id)
        return self._see(known.member) if known is not None else None

    def list_all(self) -> list[messages.Member]:
        """Every member still remembered."""
        return [self._see(known.member) for known in self._known.values()]

    def list_live(self) -> list[messages.Member]:
        """Members that are not gone.

        A suspected one still counts: its link to a keeper says little of its link to others.
        """
        return [member for member in self.list_all() if member.state != GONE]


_STATE_ORDER = {LIVE: 0, SUSPECTED: 1, GONE: 2}


def _order(member: messages.Member) -> tuple[int, int, int]:
    return (member.incarnation, member.sequence, _STATE_ORDER[member.state])
