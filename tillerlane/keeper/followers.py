"""How far the other keepers have got, as the leader knows it."""

import asyncio
import dataclasses
import typing

from tillerlane.decisions import voters as voter_rules
from tillerlane.keeper import commands

__all__ = ["Followers", "Progress"]

Value = typing.TypeVar("Value", int, float)

NEVER = -1e9
"""A time of the event loop before everything."""


@dataclasses.dataclass(slots=True)
class Progress:
    """How far one other keeper has got.

    Attributes
    ----------
    next_index : int
        Index of the entry to send next.
    match_index : int
        Up to here its log is the leader's.
    disk_id : str
        Disk that it answered with last.
    acked_at : float
        When the last request that it answered was sent.
    wake : asyncio.Event
        Set when there is something to send.
    """

    next_index: int
    match_index: int = 0
    disk_id: str = ""
    acked_at: float = NEVER
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Followers:
    """Progress by keeper, and what a quorum of voters has reached.

    Parameters
    ----------
    own : str
        The leader's name.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._progress: dict[str, Progress] = {}

    def clear(self) -> None:
        """Forget all, as at the beginning of a term."""
        self._progress = {}

    def add(self, name: str, next_index: int) -> None:
        """Follow a keeper from the entry at an index on."""
        self._progress[name] = Progress(next_index)

    def remove(self, name: str) -> None:
        """Follow a keeper no more."""
        self._progress.pop(name, None)

    def get(self, name: str) -> Progress | None:
        """Progress of a keeper, if it is followed."""
        return self._progress.get(name)

    def wake_all(self) -> None:
        """Have something sent to each."""
        for progress in self._progress.values():
            progress.wake.set()

    def compute_quorum_time(self, voters: dict[str, commands.Voter], now: float) -> float | None:
        """When the latest requests were sent that a quorum has answered; None without one."""
        times = [progress.acked_at for progress in self._list_on_record(voters)]
        return _find_quorum(times, now, voters, self._own)

    def find_quorum_index(self, voters: dict[str, commands.Voter], last_index: int) -> int | None:
        """Index of the last entry that a quorum has synced; None without one."""
        matches = [progress.match_index for progress in self._list_on_record(voters)]
        return _find_quorum(matches, last_index, voters, self._own)

    def _list_on_record(self, voters: dict[str, commands.Voter]) -> list[Progress]:
        """Progress of those other voters that answered with the disk the log has on record."""
        found = []
        for name, voter in voters.items():
            progress = self._progress.get(name)
            if name != self._own and progress is not None and progress.disk_id == voter.disk_id:
                found.append(progress)
        return found


def _find_quorum(
    others: list[Value], own: Value, voters: dict[str, commands.Voter], own_name: str
) -> Value | None:
    values = sorted([*others, own] if own_name in voters else others, reverse=True)
    needed = voter_rules.compute_quorum(len(voters))
    return values[needed - 1] if len(values) >= needed else None
