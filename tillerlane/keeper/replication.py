"""The leader's side of replication: one task for each keeper that follows the log."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from tillerlane.faults import core as faults
from tillerlane.keeper import commands, followers, votes
from tillerlane.keeper import storage as storages
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["HEARTBEAT_INTERVAL_SECONDS", "Leader", "Replication"]

HEARTBEAT_INTERVAL_SECONDS = 0.25
MAX_BATCH_ENTRIES = 512
MAX_BATCH_BYTES = 512 * 1024
SNAPSHOT_PIECE_BYTES = 256 * 1024


class Leader(Protocol):
    """What replication needs of the replica that leads."""

    name: str
    storage: storages.Storage
    commit_index: int

    @property
    def is_leading(self) -> bool:
        """Whether it leads; replication ends when it doesn't."""

    async def follow_term(self, term: int) -> None:
        """Enter a later term that a follower told."""

    def record_progress(self, name: str, address: str) -> None:
        """Take note that a keeper holds more, or answered."""


class Replication:
    """What a leader sends to the others, and how far each has got.

    Parameters
    ----------
    leader : Leader
        The replica that this is a part of.
    get_link : callable
        (address) gives the link to a keeper, or None.

    Attributes
    ----------
    learners : dict
        Keepers to be brought up to date and made voters: name to address.
    standbys : dict
        Keepers that follow the log without a vote: name to address.
    """

    def __init__(self, leader: Leader, get_link: Callable[[str], links.Link | None]) -> None:
        self._leader = leader
        self._get_link = get_link
        self._followers = followers.Followers(leader.name)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.learners: dict[str, str] = {}
        self.standbys: dict[str, str] = {}

    # Life

    def start(self, voters: dict[str, commands.Voter]) -> None:
        """Begin a term as its leader."""
        self._followers.clear()
        self.follow(voters)

    def stop(self) -> None:
        """Send nothing more; progress is forgotten with the next term."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks = {}

    def list_tasks(self) -> list[asyncio.Task[None]]:
        """Tasks to be waited for when the keeper stops."""
        return list(self._tasks.values())

    def follow(self, voters: dict[str, commands.Voter]) -> None:
        """Have one task for each other voter, learner and standby."""
        wanted = {name: voter.address for name, voter in voters.items()}
        for name, address in {**self.standbys, **self.learners}.items():
            wanted.setdefault(name, address)
        wanted.pop(self._leader.name, None)
        for name, address in wanted.items():
            if name not in self._tasks:
                self._followers.add(name, self._leader.storage.last_index + 1)
                self._tasks[name] = asyncio.create_task(self._replicate(name, address))
        for name in set(self._tasks) - set(wanted):
            self._tasks.pop(name).cancel()
            self._followers.remove(name)

    # What is known of the others

    def get(self, name: str) -> followers.Progress | None:
        """Progress of a keeper, if it is followed."""
        return self._followers.get(name)

    def wake_all(self) -> None:
        """Have something sent to each."""
        self._followers.wake_all()

    def compute_quorum_time(self, voters: dict[str, commands.Voter]) -> float | None:
        """When the latest requests were sent that a quorum has answered; None without one."""
        return self._followers.compute_quorum_time(voters, _now())

    def find_quorum_index(self, voters: dict[str, commands.Voter]) -> int | None:
        """Index of the last entry that a quorum has synced; None without one."""
        return self._followers.find_quorum_index(voters, self._leader.storage.last_index)

    # Sending

    async def _replicate(self, name: str, address: str) -> None:
        progress = self._followers.get(name)
        assert progress is not None
        while self._leader.is_leading:
            progress.wake.clear()
            link = self._get_link(address)
            if link is not None:
                try:
                    await self._send_next(progress, link)
                except (links.LinkLost, faults.FaultError):
                    await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
                    continue
                self._leader.record_progress(name, address)
            if progress.match_index >= self._leader.storage.last_index or link is None:
                try:
                    await asyncio.wait_for(progress.wake.wait(), HEARTBEAT_INTERVAL_SECONDS)
                except TimeoutError:
                    continue

    async def _send_next(self, progress: followers.Progress, link: links.Link) -> None:
        """Send one request and take its answer."""
        storage = self._leader.storage
        prev_index = progress.next_index - 1
        prev_term = storage.get_term(prev_index)
        if prev_term is None:
            await self._send_snapshot(progress, link)
            return
        entries = storage.get_entries(progress.next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
        term = storage.term
        request = messages.AppendRequest(
            term, self._leader.name, prev_index, prev_term, self._leader.commit_index, entries
        )
        sent_at = _now()
        reply = await link.call(request, votes.CALL_TIMEOUT_SECONDS)
        if not isinstance(reply, messages.AppendReply) or storage.term != term:
            return
        if not await self._note_answer(progress, reply, term, sent_at):
            return
        if reply.success:
            progress.match_index = prev_index + len(entries)
            progress.next_index = progress.match_index + 1
        else:
            progress.match_index = 0
            progress.next_index = max(1, min(reply.last_index + 1, progress.next_index - 1))

    async def _note_answer(
        self,
        progress: followers.Progress,
        reply: messages.AppendReply | messages.SnapshotReply,
        term: int,
        sent_at: float,
    ) -> bool:
        """Take what each answer of a follower tells; False if a later term has begun."""
        if reply.term > term:
            await self._leader.follow_term(reply.term)
            return False
        progress.acked_at = sent_at
        progress.disk_id = reply.disk_id
        return True

    async def _send_snapshot(self, progress: followers.Progress, link: links.Link) -> None:
        """Send the last snapshot in bounded pieces."""
        storage = self._leader.storage
        snapshot = storage.snapshot
        term = storage.term
        offset = 0
        while offset < len(snapshot.data):
            piece = messages.SnapshotPiece(
                term,
                self._leader.name,
                snapshot.last_index,
                snapshot.last_term,
                offset,
                len(snapshot.data),
                snapshot.data[offset : offset + SNAPSHOT_PIECE_BYTES],
            )
            sent_at = _now()
            reply = await link.call(piece, votes.CALL_TIMEOUT_SECONDS * 4)
            if not isinstance(reply, messages.SnapshotReply) or storage.term != term:
                return
            if not await self._note_answer(progress, reply, term, sent_at):
                return
            offset = reply.received
        progress.match_index = snapshot.last_index
        progress.next_index = snapshot.last_index + 1


def _now() -> float:
    return asyncio.get_running_loop().time()
