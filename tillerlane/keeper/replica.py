"""One keeper's part in the replicated log: proposals, commit, a follower's entries and snapshots.

Elections (`keeper.elections`) and the leader's sending (`keeper.replication`) are parts of it.

The algorithm is Raft with pre-vote and a leader lease.  What differs:

- A keeper's identity is its disk.  Every reply names the disk, and candidate and leader count
  only replies of the disk that the log has on record for that voter, so a keeper whose disk is
  new never votes with the old one's identity.  It is brought up to date as a learner and gets
  its vote through the log.
- The first log is founded only when every configured keeper says that its disk is fresh.
- Voters change one at a time, and a change counts from when it stands in the log.

References
----------
Ongaro, "Consensus: Bridging Theory and Practice" (2014), chapters 3, 4, 6 and 9.
"""

import asyncio
import enum
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from tillerlane.faults import core as faults
from tillerlane.keeper import (
    commands,
    elections,
    followers,
    pending,
    proposals,
    replication,
    snapshots,
    state_machine,
)
from tillerlane.keeper import storage as storages
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["Replica", "Role"]

COMMIT_TIMEOUT_SECONDS = 3.0
"""How long a proposal waits to be committed."""
MAX_BATCH_ENTRIES = 512
SNAPSHOT_ENTRIES = 4_000
"""Entries behind the last snapshot after which a new one is made."""
SNAPSHOT_BYTES = 8 * 1024 * 1024
"""Bytes of commands behind the last snapshot after which a new one is made: a sixteenth of the
smallest disk that a keeper has had (128 MB), and bounded memory for the entries held."""
CANCEL_RETRY_DELAY_SECONDS = 0.1
"""Pause before tasks that are still there are cancelled again."""
DISK_STALL_TIMEOUT_SECONDS = 1.0
"""A leader whose disk has been silent in a write for so long lets another one lead: below the
time after which callers of the log ask elsewhere, above a slow sync."""

_VOTER_MARKS = (b'"voter_add"', b'"voter_remove"', b'"found"')
"""One of these stands in every command that changes the voters."""

Run = Callable[..., Awaitable[Any]]


class Role(enum.StrEnum):
    """What a keeper is at the moment."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Replica:
    """One keeper.

    Parameters
    ----------
    name : str
        Its daemon id.
    configured : dict
        Keepers of the settings: daemon id to peer address.
    storage : storages.Storage
        Its durable state.
    state : state_machine.StateMachine
        The replicated state.
    timeline : timelines.Timeline
        Takes the events.
    get_link : callable
        (address) gives the link to a keeper, or None.
    run_blocking : callable
        Runs a blocking function without holding the event loop.
    rng : random.Random
        Draws election timeouts.
    list_bootstrap_peers : callable, optional
        Gives the first voters, name to address, if this keeper may found the log now; empty
        otherwise.  By default the configured keepers, for the one of the lowest name.
    """

    def __init__(
        self,
        name: str,
        configured: dict[str, str],
        storage: storages.Storage,
        state: state_machine.StateMachine,
        timeline: timelines.Timeline,
        get_link: Callable[[str], links.Link | None],
        run_blocking: Run,
        rng: random.Random,
        list_bootstrap_peers: Callable[[], dict[str, str]] | None = None,
    ) -> None:
        self.name = name
        self.state_machine = state
        self.storage = storage
        self._configured = configured
        self._timeline = timeline
        self._run_blocking = run_blocking
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = storage.snapshot.last_index
        self.applied_index = storage.snapshot.last_index
        self.elections = elections.Elections(
            self,
            len(configured),
            get_link,
            timeline,
            rng,
            list_bootstrap_peers or self._list_configured,
        )
        self.write_lock = asyncio.Lock()
        self.replication = replication.Replication(self, get_link)
        self._pending = pending.PendingProposals()
        self._snapshot_assembler = snapshots.SnapshotAssembler()
        self._noop_index = 0
        self._voters: dict[str, commands.Voter] = {}
        self._voters_mark: tuple[int, int, int] | None = None
        self._adding_voter = False
        self._bytes_behind_snapshot = 0
        self._writing_since: float | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.disk_fault: faults.Fault | None = None
        self.on_role_change: Callable[[], None] = lambda: None
        self.on_commit: Callable[[], None] = lambda: None
        if storage.snapshot.data:
            state.load(storage.snapshot.data)

    # Life

    def start(self) -> None:
        """Start the keeper's tasks."""
        self.elections.start()
        self._tasks = [
            asyncio.create_task(self.elections.run()),
            asyncio.create_task(self._write_proposals()),
        ]

    async def stop(self) -> None:
        """End the keeper's tasks; what is synced stays."""
        pending = {*self._tasks, *self.replication.list_tasks()}
        while pending:
            # More than once: `asyncio.wait_for` of Python 3.11 drops a cancellation that comes
            # in the moment in which its work ends.
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_DELAY_SECONDS)
        self._pending.fail_all("the keeper stops")

    def _is_running(self, name: str) -> bool:
        """Whether something that `_run_beside` began under this name still runs."""
        return any(task.get_name() == name and not task.done() for task in self._tasks)

    def _run_beside(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Run something beside the keeper's tasks; it ends with them."""
        self._tasks = [task for task in self._tasks if not task.done()]
        self._tasks.append(asyncio.create_task(work, name=name))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def voters(self) -> dict[str, commands.Voter]:
        """Voters by the latest entry of the log, committed or not; empty before it is founded."""
        mark = (self.applied_index, self.storage.last_index, self.storage.last_term)
        if mark != self._voters_mark:
            self._voters_mark = mark
            self._voters = self._read_voters()
        return self._voters

    def _read_voters(self) -> dict[str, commands.Voter]:
        voters = dict(self.state_machine.voters)
        ahead = self.storage.last_index - self.applied_index
        for entry in self.storage.entries[len(self.storage.entries) - ahead :]:
            if not any(mark in entry.command for mark in _VOTER_MARKS):
                continue
            command = commands.decode(entry.command)
            if isinstance(command, commands.Bootstrap):
                voters = dict(command.voters)
            elif isinstance(command, commands.VoterAdd):
                voters[command.name] = commands.Voter(command.address, command.disk_id)
            elif isinstance(command, commands.VoterRemove):
                voters.pop(command.name, None)
        return voters

    @property
    def is_voter(self) -> bool:
        """Whether this keeper, with the disk that it has, may vote."""
        voter = self.voters.get(self.name)
        return voter is not None and voter.disk_id == self.storage.disk_id

    @property
    def has_leader(self) -> bool:
        """Whether a leader was heard of lately."""
        if self.is_leading:
            return self.has_lease
        return bool(self.leader) and self.elections.has_heard_leader(
            elections.ELECTION_TIMEOUT_SECONDS[1]
        )

    @property
    def has_lease(self) -> bool:
        """Whether no other keeper can be leader yet: a quorum answered lately."""
        if not self.is_leading or self.disk_fault is not None:
            return False
        confirmed_at = self._read_quorum_time()
        return confirmed_at is not None and self._now() - confirmed_at < elections.LEASE_SECONDS

    def _read_quorum_time(self) -> float | None:
        """When the latest requests were sent that a quorum has answered; None without one."""
        return self.replication.compute_quorum_time(self.voters)

    def get_confirmed_at(self) -> float | None:
        """Time of the event loop at which this keeper was surely the only leader.

        What is committed here now includes all that was committed anywhere by then.  None if this
        keeper does not lead, or has not yet committed an entry of its own term.
        """
        if not self.has_lease or self.commit_index < self._noop_index:
            return None
        return self._read_quorum_time()

    def get_last_ack_at(self, name: str) -> float:
        """When the last request was sent that another keeper has answered; leaders only."""
        if name == self.name:
            return self._now()
        progress = self.replication.get(name)
        return progress.acked_at if progress is not None else followers.NEVER

    def _stand_down(self, fault: faults.Fault) -> None:
        """The disk failed: answer nothing more that depends on it."""
        if self.disk_fault is None:
            self.disk_fault = fault
            self._timeline.record("keeper.disk_failed", message=fault.message)
            self.become_follower(self.storage.term, "")

    def _check_disk(self) -> None:
        if self.disk_fault is not None:
            raise faults.FaultError(self.disk_fault)

    async def write(self, work: Callable[..., None], *arguments: Any) -> None:
        """Run a blocking write of the storage; one at a time is the callers' lock."""
        self._writing_since = self._now()
        try:
            await self._run_blocking(work, *arguments)
        except faults.FaultError as error:
            self._stand_down(error.fault)
            raise
        finally:
            self._writing_since = None

    @property
    def is_stalled(self) -> bool:
        """Whether a write has been with the disk for longer than `DISK_STALL_TIMEOUT_SECONDS`."""
        since = self._writing_since
        return since is not None and self._now() - since > DISK_STALL_TIMEOUT_SECONDS

    async def handle_vote_request(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Answer a candidate."""
        self._check_disk()
        return await self.elections.handle_vote_request(request)

    def _list_configured(self) -> dict[str, str]:
        """All configured keepers, for the one of the lowest name: so two never found at once."""
        return self._configured if self.name == min(self._configured) else {}

    # Standing

    def become_candidate(self) -> None:
        """Stand for election in the term that the disk names."""
        self.role = Role.CANDIDATE
        self.leader = ""

    def become_leader(self) -> None:
        """Lead the term that the disk names; an entry of the term is the first to be committed."""
        self.role = Role.LEADER
        self.leader = self.name
        self.elections.heard_at = self._now()
        self._adding_voter = False
        self._timeline.record("keeper.lead", term=self.storage.term)
        self._pending.fail_all("a new term began")
        self._pending.add(commands.encode(commands.Noop()), first=True)
        self._noop_index = self.storage.last_index + 1
        self.replication.start(self.voters)
        self.on_role_change()

    def become_follower(self, term: int, leader: str) -> None:
        """Lead no more, or follow another leader."""
        was = (self.role, self.leader)
        self.role = Role.FOLLOWER
        self.leader = leader
        if was[0] is Role.LEADER:
            self._timeline.record("keeper.follow", term=term, leader=leader)
            self.replication.stop()
            self._pending.fail_all("another keeper leads")
        if was != (self.role, self.leader):
            self.on_role_change()

    async def follow_term(self, term: int, leader: str = "") -> None:
        """Enter a later term, or take its leader's name to the disk.

        The name is written before the leader gets its first answer, so that after a restart this
        keeper knows whose lease may rest on its word.  It may stand in the place of a vote: once
        a term has a leader, no vote of that term matters.
        """
        async with self.write_lock:
            is_later = term > self.storage.term
            is_unnamed = term == self.storage.term and leader not in ("", self.storage.voted_for)
            if is_later or is_unnamed:
                await self.write(self.storage.save_vote, term, leader)
        self.become_follower(term, leader)

    # Proposals

    async def propose(self, command: bytes) -> dict[str, Any]:
        """Commit a command and give its answer; only the leader can.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` with ``ran: no`` if it was not taken at all, with ``ran: unknown`` if
            it may still be committed.
        """
        self._check_disk()
        if not self.has_lease:
            message = f"{self.name} is {self.role} without a lease"
            detail = {"leader": self.leader}
            raise proposals.build_no_quorum(message, detail=detail)
        proposal = self._pending.add(command)
        try:
            return await asyncio.wait_for(asyncio.shield(proposal.answer), COMMIT_TIMEOUT_SECONDS)
        except TimeoutError as error:
            raise pending.build_outcome_unknown("not committed in time") from error

    async def _write_proposals(self) -> None:
        """Append what is queued; all that gathers during one sync shares the next."""
        while True:
            await self._pending.queued.wait()
            self._pending.queued.clear()
            if not self.is_leading or not self._pending.has_queued:
                continue
            async with self.write_lock:
                await self._append_batch()

    async def _append_batch(self) -> None:
        if not self.is_leading:
            return
        batch = self._pending.pop_batch(MAX_BATCH_ENTRIES)
        term = self.storage.term
        first = self.storage.last_index + 1
        entries = []
        for position, proposal in enumerate(batch):
            entries.append(messages.LogEntry(term, first + position, proposal.command))
            self._pending.record_appended(first + position, proposal)
        try:
            await self.write(self.storage.append, entries)
        except faults.FaultError:
            return
        if self.is_leading:
            self._advance_commit()
            self.replication.wake_all()

    def _advance_commit(self) -> None:
        """Commit what a quorum of voters has synced, in this term."""
        if not self.is_leading:
            return
        index = self.replication.find_quorum_index(self.voters)
        if index is None:
            return
        if index > self.commit_index and self.storage.get_term(index) == self.storage.term:
            self.commit_index = index
            self._apply_committed()
            self.replication.wake_all()

    def _apply_committed(self) -> None:
        while self.applied_index < self.commit_index:
            entries = self.storage.get_entries(self.applied_index + 1, 1_000, 1 << 30)
            if not entries:
                return
            for entry in entries:
                if entry.index > self.commit_index:
                    return self._after_apply()
                self._apply_entry(entry)
        return self._after_apply()

    def _apply_entry(self, entry: messages.LogEntry) -> None:
        answer = self.state_machine.apply(entry.term, entry.index, commands.decode(entry.command))
        self.applied_index = entry.index
        self._bytes_behind_snapshot += len(entry.command)
        self._pending.resolve(entry.index, {**answer, "index": entry.index, "term": entry.term})

    def _after_apply(self) -> None:
        if self.voters == self.state_machine.voters:
            self._adding_voter = False
        if self.is_leading:
            if self.name not in self.voters:
                self.become_follower(self.storage.term, "")
                return
            self.replication.follow(self.voters)
        self.on_commit()
        behind = self.applied_index - self.storage.snapshot.last_index
        if behind >= SNAPSHOT_ENTRIES or self._bytes_behind_snapshot >= SNAPSHOT_BYTES:
            self._start_snapshot()

    def _start_snapshot(self) -> None:
        """Write a snapshot in the background; a few entries in front of it are kept."""
        if self._is_running("snapshot"):
            return
        index = self.applied_index
        term = self.storage.get_term(index)
        snapshot = storages.Snapshot(index, term or 0, self.state_machine.dump())
        self._bytes_behind_snapshot = 0
        self._run_beside("snapshot", self._save_snapshot(snapshot))

    async def _save_snapshot(self, snapshot: storages.Snapshot) -> None:
        async with self.write_lock:
            try:
                await self.write(self.storage.save_snapshot, snapshot)
            except faults.FaultError:
                return
        self._timeline.record(
            "keeper.snapshot", index=snapshot.last_index, bytes=len(snapshot.data)
        )

    # The leader's side of replication

    @property
    def is_leading(self) -> bool:
        """Whether this keeper leads; it may have lost its lease."""
        return self.role is Role.LEADER

    def add_learner(self, name: str, address: str) -> None:
        """Bring a keeper up to date and then make it a voter."""
        self.replication.learners[name] = address
        if self.is_leading:
            self.replication.follow(self.voters)

    def record_progress(self, name: str, address: str) -> None:
        """Commit what a quorum holds now, and give a keeper that has caught up its vote.

        It is the vote of the disk that the keeper has now.  The proposal runs beside the
        replication to that keeper, whose own acknowledgement may be needed to commit it.  It needs
        a lease: a former leader may not give votes.
        """
        self._advance_commit()
        progress = self.replication.get(name)
        if progress is None:
            return
        voter = self.voters.get(name)
        if voter is not None and voter.disk_id == progress.disk_id:
            self.replication.learners.pop(name, None)
            return
        if voter is None and name not in self.replication.learners:
            return  # a standby; `keeper.reconfiguration` decides
        is_ready = progress.disk_id and progress.match_index >= max(self.commit_index, 1)
        is_changing = self._adding_voter or self._is_running("promote")
        if not is_ready or is_changing or not self.has_lease:
            return
        command = commands.VoterAdd(name, address, progress.disk_id)
        self._run_beside("promote", self._promote(command))

    async def _promote(self, command: commands.VoterAdd) -> None:
        self._timeline.record("keeper.promote", keeper=command.name, disk_id=command.disk_id)
        try:
            await self.change_voters(command)
        except faults.FaultError as error:
            self._timeline.record("keeper.not_promoted", reason=error.fault.message)

    async def change_voters(
        self, command: commands.VoterAdd | commands.VoterRemove
    ) -> dict[str, Any]:
        """Change one voter; the former change, and an entry of this term, are committed first.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` if another change is still on its way.
        """
        if self._adding_voter or self.commit_index < self._noop_index:
            raise proposals.build_no_quorum("another change of voters is on its way")
        self._adding_voter = True
        try:
            return await self.propose(commands.encode(command))
        finally:
            self._adding_voter = self.voters != self.state_machine.voters

    # The follower's side of replication

    async def handle_append(self, request: messages.AppendRequest) -> messages.AppendReply:
        """Take entries from the leader."""
        self._check_disk()
        if not await self._take_leader(request.term, request.leader):
            return self._reply_append(False, self.storage.last_index)
        async with self.write_lock:
            storage = self.storage
            if request.term < storage.term:
                return self._reply_append(False, storage.last_index)
            prev_term = storage.get_term(request.prev_index)
            if request.prev_index < storage.snapshot.last_index:
                prev_term = request.prev_term
            if prev_term != request.prev_term:
                hint = min(storage.last_index, max(0, request.prev_index - 1))
                return self._reply_append(False, hint)
            if request.entries:
                await self.write(storage.append, request.entries)
        known = request.prev_index + len(request.entries)
        self.commit_index = max(self.commit_index, min(request.commit, known))
        self._apply_committed()
        return self._reply_append(True, known)

    def _reply_append(self, success: bool, last_index: int) -> messages.AppendReply:
        storage = self.storage
        return messages.AppendReply(storage.term, success, last_index, storage.disk_id)

    async def _take_leader(self, term: int, leader: str) -> bool:
        """Follow the leader of a term; False for a former one."""
        if term < self.storage.term:
            return False
        if term > self.storage.term or self.storage.voted_for != leader:
            await self.follow_term(term, leader)
        self.elections.record_leader_contact()
        if self.leader != leader or self.role is not Role.FOLLOWER:
            self.become_follower(term, leader)
        return True

    async def handle_snapshot_piece(self, piece: messages.SnapshotPiece) -> messages.SnapshotReply:
        """Take a piece of the leader's snapshot; the last one puts it in force."""
        self._check_disk()
        storage = self.storage
        if not await self._take_leader(piece.term, piece.leader):
            return messages.SnapshotReply(storage.term, 0, storage.disk_id)
        received = self._snapshot_assembler.add(piece)
        if received == piece.total:
            await self._install(self._snapshot_assembler.finish())
        return messages.SnapshotReply(storage.term, received, storage.disk_id)

    async def _install(self, snapshot: storages.Snapshot) -> None:
        if snapshot.last_index <= self.applied_index:
            return
        async with self.write_lock:
            await self.write(self.storage.save_snapshot, snapshot)
        self.state_machine.load(snapshot.data)
        self.commit_index = max(self.commit_index, snapshot.last_index)
        self.applied_index = snapshot.last_index
        self._timeline.record("keeper.install", index=snapshot.last_index)
