"""The view of all members, merged from records that arrive in any order and any number of times.

Each daemon versions its own record with an increasing (incarnation, sequence); the highest one
wins.  A keeper that has lost a daemon's link marks it ``suspected`` and, after a time-out,
``gone``; the daemon's next record overrides both.  The platform's list can only mark a host as
leaving.
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
"""Time for which a member whose link is lost is suspected before it counts as gone."""
RETENTION_SECONDS = 300.0


@dataclasses.dataclass(slots=True)
class _Known:
    """A member, and when its state last changed in this view."""

    member: messages.Member
    changed_at: float


class MemberView:
    """All members as known to one daemon.

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
        """Call `listener` with the changed members after each change."""
        self._listeners.append(listener)

    def get_age(self, now: float) -> float:
        """Return the seconds since the first member became known."""
        return now - self._first_at if self._first_at < math.inf else 0.0

    def merge(self, members: Iterable[messages.Member], now: float) -> list[messages.Member]:
        """Apply records that are newer than the known ones, and return the changed members."""
        changed = []
        for member in members:
            known = self._known.get(member.daemon_id)
            if known is not None and _get_order(member) <= _get_order(known.member):
                continue
            self._known[member.daemon_id] = _Known(member, now)
            changed.append(member)
        if changed:
            self._first_at = min(self._first_at, now)
            self._notify_listeners(changed)
        return changed

    def suspect(self, daemon_id: str, now: float) -> None:
        """Mark a member whose link is lost as suspected."""
        self._set_state(daemon_id, SUSPECTED, now)

    def expire_suspects(self, now: float) -> None:
        """Mark suspects as gone after a time-out, and discard members gone for long."""
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
        self._notify_listeners([known.member])

    def set_platform_leaving(self, daemon_ids: Iterable[str]) -> None:
        """Set which daemons the platform lists as leaving."""
        leaving = frozenset(daemon_ids)
        changed = leaving ^ self._platform_leaving
        self._platform_leaving = leaving
        members = [self.find(item) for item in changed]
        self._notify_listeners([member for member in members if member is not None])

    def _notify_listeners(self, changed: list[messages.Member]) -> None:
        for listener in self._listeners:
            listener(changed)

    def _apply_platform_list(self, member: messages.Member) -> messages.Member:
        if member.daemon_id in self._platform_leaving and not member.leaving:
            return dataclasses.replace(member, leaving=True)
        return member

    def find(self, daemon_id: str) -> messages.Member | None:
        """Return one member, or None if it is unknown."""
        known = self._known.get(daemon_id)
        return self._apply_platform_list(known.member) if known is not None else None

    def list_all(self) -> list[messages.Member]:
        """Return all known members, including gone ones that have not been discarded yet."""
        return [self._apply_platform_list(known.member) for known in self._known.values()]

    def list_live(self) -> list[messages.Member]:
        """Return the members that are not gone.

        Suspected members are included: a lost link to one keeper says little about their links to
        other daemons.
        """
        return [member for member in self.list_all() if member.state != GONE]


_STATE_ORDER = {LIVE: 0, SUSPECTED: 1, GONE: 2}


def _get_order(member: messages.Member) -> tuple[int, int, int]:
    return (member.incarnation, member.sequence, _STATE_ORDER[member.state])
