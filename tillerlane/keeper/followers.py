"""Replication progress of the other keepers, as known to the leader."""

import asyncio
import dataclasses
import typing

from tillerlane.decisions import voters as voter_rules
from tillerlane.keeper import commands

__all__ = ["Followers", "Progress"]

Value = typing.TypeVar("Value", int, float)

NEVER = -1e9
"""An event loop time that precedes all others."""


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of one follower.

    Attributes
    ----------
    next_index : int
        Index of the next entry to send.
    match_index : int
        Index up to which its log is known to match the leader's.
    disk_id : str
        Disk named in its latest reply.
    acked_at : float
        Time at which the latest acknowledged request was sent.
    wake : asyncio.Event
        Set when there is something to send.
    """

    next_index: int
    match_index: int = 0
    disk_id: str = ""
    acked_at: float = NEVER
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Followers:
    """Progress by keeper, and the progress of a quorum of voters.

    Parameters
    ----------
    leader : str
        The leader's name.
    """

    def __init__(self, leader: str) -> None:
        self._leader = leader
        self._progress: dict[str, Progress] = {}

    def clear(self) -> None:
        """Discard all progress, as at the start of a term."""
        self._progress = {}

    def add(self, name: str, next_index: int) -> None:
        """Start tracking a keeper that needs the entries from `next_index` on."""
        self._progress[name] = Progress(next_index)

    def remove(self, name: str) -> None:
        """Stop tracking a keeper."""
        self._progress.pop(name, None)

    def get(self, name: str) -> Progress | None:
        """Return the progress of a keeper; None if it is not tracked."""
        return self._progress.get(name)

    def wake_all(self) -> None:
        """Wake the replication tasks of all followers."""
        for progress in self._progress.values():
            progress.wake.set()

    def compute_quorum_time(self, voters: dict[str, commands.Voter], now: float) -> float | None:
        """Send time of the newest requests that a quorum has acknowledged; None without one."""
        times = [progress.acked_at for progress in self._list_on_record(voters)]
        return _find_quorum(times, now, voters, self._leader)

    def find_quorum_index(self, voters: dict[str, commands.Voter], last_index: int) -> int | None:
        """Index of the last entry that a quorum has synced; None if no quorum has replied."""
        matches = [progress.match_index for progress in self._list_on_record(voters)]
        return _find_quorum(matches, last_index, voters, self._leader)

    def _list_on_record(self, voters: dict[str, commands.Voter]) -> list[Progress]:
        """List the progress of the other voters that replied with their disk on record."""
        progresses = []
        for name, voter in voters.items():
            progress = self._progress.get(name)
            if name != self._leader and progress is not None and progress.disk_id == voter.disk_id:
                progresses.append(progress)
        return progresses


def _find_quorum(
    others: list[Value], leader_value: Value, voters: dict[str, commands.Voter], leader: str
) -> Value | None:
    values = sorted([*others, leader_value] if leader in voters else others, reverse=True)
    needed = voter_rules.compute_quorum(len(voters))
    return values[needed - 1] if len(values) >= needed else None
